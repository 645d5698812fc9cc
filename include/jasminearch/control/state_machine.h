#ifndef JASMINEARCH_CONTROL_STATE_MACHINE_H
#define JASMINEARCH_CONTROL_STATE_MACHINE_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace jasminearch::control {

/// Number of command results that are kept to answer resends.
inline constexpr std::size_t MaxCommandResults = 10'000;

/// Number of lost upstreams that stay listed for operators, counted separately
/// for upstreams with and without an ordered drain. Those lost the longest are
/// removed first.
inline constexpr std::size_t MaxLostUpstreams = 4'096;

/// Number of entry hosts that stay listed while they are not alive.
inline constexpr std::size_t MaxLostEntries = 1'024;

/// Maximum length, in characters, of the name of a profile, service, upstream,
/// entry host or data centre.
inline constexpr std::size_t MaxNameLength = 64;

/// Maximum length of a command id, in characters.
inline constexpr std::size_t MaxCommandIdLength = 128;

/// Lookup tables derived from the configuration, so that apply() never scans
/// all upstreams. Rebuilt when a snapshot is restored.
struct StateIndex {
  std::map<std::string, ServiceId> ServicesByName;
  std::map<Endpoint, ServiceId> ServicesByAddress;
  std::map<std::string, std::set<ServiceId>> ServicesByProfile;
  std::map<std::string, UpstreamId> UpstreamsByName;
  std::map<ServiceId, std::set<UpstreamId>> UpstreamsByService;
  /// Lost upstreams without an ordered drain; those lost the longest first.
  std::set<std::pair<Revision, UpstreamId>> Lost;
  /// Lost upstreams with an ordered drain; those lost the longest first.
  std::set<std::pair<Revision, UpstreamId>> LostDraining;
  /// Entry hosts that are not alive; those lost the longest first.
  std::set<std::pair<Revision, std::string>> LostEntries;

  bool operator==(const StateIndex &) const = default;
};

/// The state that results from applying the replicated log.
struct State {
  Configuration Config;
  /// Results by command id, to answer resends.
  std::map<std::string, CommandResult> Results;
  /// Command ids in the order in which they were decided, oldest first.
  std::deque<std::string> ResultOrder;
  /// Run id of the agent or entry host that last announced each name.
  std::map<std::string, std::uint64_t> RunIds;
  /// Next unused service id; zero once all are used.
  std::uint32_t NextService = 1;
  /// Next unused upstream id; zero once all are used.
  std::uint32_t NextUpstream = 1;
  StateIndex Index;

  bool operator==(const State &) const = default;
};

/// Builds the lookup tables for \p Config.
StateIndex buildIndex(const Configuration &Config);

/// Applies \p Entry, committed at \p At, to \p Current. Deterministic, so that
/// all replicas reach the same state. A refused command changes nothing but the
/// stored results. Config.InForce becomes \p At if the configuration changed.
/// \returns the result, or the first result if the command id is known.
CommandResult apply(State &Current, const Command &Entry, Revision At);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_STATE_MACHINE_H
