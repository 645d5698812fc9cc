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

/// Results of commands that are kept for resends.
inline constexpr std::size_t CommandRecordsKept = 10'000;

/// Lost upstreams that stay listed, so that operators can see them: this many
/// without and this many with an ordered drain. The longest lost are forgotten
/// first.
inline constexpr std::size_t LostUpstreamsKept = 4'096;

/// Entry hosts that are not alive and stay listed.
inline constexpr std::size_t LostEntriesKept = 1'024;

/// Longest name of a profile, service, upstream, entry host or data centre.
inline constexpr std::size_t MaxNameLength = 64;

/// Longest command id.
inline constexpr std::size_t MaxCommandIdLength = 128;

/// Lookups that follow from the configuration. Rebuilt after a snapshot, so
/// that apply never scans all upstreams.
struct StateIndex {
  std::map<std::string, ServiceId> ServicesByName;
  std::map<Endpoint, ServiceId> ServicesByAddress;
  std::map<std::string, std::set<ServiceId>> ServicesByProfile;
  std::map<std::string, UpstreamId> UpstreamsByName;
  std::map<ServiceId, std::set<UpstreamId>> UpstreamsByService;
  /// Lost upstreams without an ordered drain, longest lost first.
  std::set<std::pair<Revision, UpstreamId>> Lost;
  /// Lost upstreams with an ordered drain, longest lost first.
  std::set<std::pair<Revision, UpstreamId>> LostWhileDrained;
  /// Entry hosts that are not alive, longest lost first.
  std::set<std::pair<Revision, std::string>> LostEntries;

  bool operator==(const StateIndex &) const = default;
};

/// The replicated state above the log.
struct State {
  Configuration Config;
  /// Results by command id, for resends.
  std::map<std::string, CommandResult> Results;
  /// Command ids in the order of their decision, oldest first.
  std::deque<std::string> ResultOrder;
  /// Run of the agent or entry host behind each name.
  std::map<std::string, std::uint64_t> RunIds;
  std::uint32_t NextService = 1;
  std::uint32_t NextUpstream = 1;
  StateIndex Index;

  bool operator==(const State &) const = default;
};

/// \returns the lookups for \p Config.
StateIndex buildIndex(const Configuration &Config);

/// Decides \p Entry, committed at \p At, and changes \p Current. Deterministic.
/// A refused command changes nothing but the command record.
/// Config.InForce becomes \p At when the configuration changed.
CommandResult apply(State &Current, const Command &Entry, Revision At);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_STATE_MACHINE_H
