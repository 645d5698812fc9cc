#ifndef JASMINEARCH_FLEET_AGENT_DIRECTORY_H
#define JASMINEARCH_FLEET_AGENT_DIRECTORY_H

#include "jasminearch/fleet/messages.h"
#include "jasminearch/types.h"
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The newest statement about each agent, free of links and clocks. All hosts
/// that merged the same records hold the same directory, whatever the order in
/// which the records arrived and however often.
namespace jasminearch::fleet {

/// Departures are remembered for this time, so that a record that an agent made
/// before it left doesn't add it again.
inline constexpr std::chrono::milliseconds DepartureLifetime{600'000};

/// Maximum number of departures that are remembered; the oldest are forgotten
/// first. About 0.5 MB.
inline constexpr std::size_t MaxDepartures = 4096;

/// What a host holds about one agent.
struct DirectoryEntry {
  AgentRecord Record;
  /// When the record was merged, or its agent was last heard from directly.
  TimePoint HeardAt{};
  /// Some control host has heard from the agent since this host started. Other
  /// records come from the store, and their agents may have left while this
  /// host was down.
  bool Confirmed = true;
};

/// Bucket hashes of all confirmed agents that haven't departed. Equal hashes
/// mean equal records.
using DirectoryHashes = std::array<std::uint64_t, DirectoryBucketCount>;

struct AgentDirectory {
  std::map<Endpoint, DirectoryEntry> Entries;
  /// Number of departures in Entries.
  std::size_t Departures = 0;
  DirectoryHashes Hashes{};
};

enum class MergeResult : std::uint8_t {
  /// A newer record of the agent is held.
  Superseded,
  /// The same record is held.
  Unchanged,
  Changed,
};

/// \returns whether \p A is a later statement about its agent than \p B.
bool supersedes(const AgentRecord &A, const AgentRecord &B);

/// Stores \p Record unless it is superseded. \p Confirmed is false for records
/// from the store.
MergeResult merge(AgentDirectory &D, const AgentRecord &Record, bool Confirmed,
                  TimePoint Now);

/// Records that the agent of an entry was heard from at \p Now.
void touch(AgentDirectory &D, const Endpoint &Tunnel, TimePoint Now);

/// \returns the entry of an agent, or null.
const DirectoryEntry *find(const AgentDirectory &D, const Endpoint &Tunnel);

/// \returns the number of agents that haven't departed.
std::size_t presentAgents(const AgentDirectory &D);

/// \returns the bucket of an agent, less than DirectoryBucketCount.
std::size_t bucketOf(const Endpoint &Tunnel);

/// \returns one hash of all buckets.
std::uint64_t combinedHash(const AgentDirectory &D);

/// \returns the buckets whose hashes differ, as a mask.
std::uint64_t differingBuckets(const AgentDirectory &D,
                               const DirectoryHashes &Other);

/// \returns the confirmed records, without departures, in the buckets of
/// \p Mask.
std::vector<AgentRecord> recordsIn(const AgentDirectory &D, std::uint64_t Mask);

/// \returns the records, departures too, that supersede one of \p Theirs, and
/// the confirmed ones in the buckets of \p Mask that \p Theirs lacks.
std::vector<AgentRecord> newerThan(const AgentDirectory &D,
                                   const std::vector<AgentRecord> &Theirs,
                                   std::uint64_t Mask);

/// Forgets departures that are too old or too many.
void forgetDepartures(AgentDirectory &D, TimePoint Now);

} // namespace jasminearch::fleet

#endif // JASMINEARCH_FLEET_AGENT_DIRECTORY_H
