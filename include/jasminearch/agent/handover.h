#ifndef JASMINEARCH_AGENT_HANDOVER_H
#define JASMINEARCH_AGENT_HANDOVER_H

#include "jasminearch/agent/agent_state.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <vector>

/// Transfer of an agent's state to its successor at a planned restart.
namespace jasminearch::agent {

/// Version of the encoding, sent in the first part.
inline constexpr unsigned HandoverVersion = 1;

/// Maximum number of flows or records in one part. With usual answers a part
/// stays below 1 MB; with the largest answers it stays far below the message
/// size limit of the link.
inline constexpr std::size_t ItemsPerPart = 128;

/// Progress of a successor in reading the parts.
struct HandoverProgress {
  std::size_t PartsSeen = 0;
  bool Complete = false;
};

/// Permanently stops \p AgentState from handling events and encodes what a
/// successor needs: permit key, incarnation, run id, agent time, configuration
/// in force, flows with their local ports, request records, issued permits,
/// hashes of delivered upload blocks, routes and promise counts. The
/// configuration is included so that the successor can serve immediately, even
/// if no control host is reachable. Times are encoded as durations because the
/// monotonic clocks of two processes are not comparable.
/// \returns the parts in the order in which they must be read.
std::vector<Bytes> encodeHandover(State &AgentState, TimePoint Now);

/// Applies the next part to a State that has not handled any traffic yet.
/// \returns TakeOverRefused for an unsupported version, and MessageMalformed
/// for anything that encodeHandover() doesn't write. After an error the state
/// must not be used.
Expected<void> applyHandoverPart(State &Target, HandoverProgress &Progress,
                                 const Bytes &Part, TimePoint Now);

} // namespace jasminearch::agent

#endif // JASMINEARCH_AGENT_HANDOVER_H
