#ifndef JASMINEARCH_AGENT_HANDOVER_H
#define JASMINEARCH_AGENT_HANDOVER_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <vector>

/// Passing an agent's state to its successor at a planned restart.
namespace jasminearch::agent {

/// Version of the encoding, first element of the first part.
inline constexpr unsigned HandoverVersion = 1;

/// Flows or records in one part. Keeps a part below a megabyte for usual
/// answers, and far below the link's message limit for the largest ones.
inline constexpr std::size_t ItemsPerPart = 128;

/// Progress of a successor.
struct HandoverProgress {
  std::size_t PartsSeen = 0;
  bool Complete = false;
};

/// Stops \p Current for good and encodes what a successor needs: permit key,
/// incarnation, run id, agent time, configuration in force, flows with their
/// local ports, request records, issued permits, routes and promise counts.
/// The configuration is passed so that a successor serves at once, also while
/// no control host can be reached. Times are passed as
/// durations, because monotonic clocks of two processes can't be compared.
/// \returns parts in the order in which they must be read.
std::vector<Bytes> encodeHandover(State &Current, TimePoint Now);

/// Reads the next part into a State that has not served yet. \returns
/// TakeOverRefused for another version, MessageMalformed for anything that
/// encodeHandover doesn't write; the state must not serve then.
Expected<void> applyHandoverPart(State &Into, HandoverProgress &Progress,
                                 const Bytes &Part, TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_HANDOVER_H
