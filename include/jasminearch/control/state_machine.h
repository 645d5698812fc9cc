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
#include <string>

namespace jasminearch::control {

/// Results of commands that are kept for resends.
inline constexpr std::size_t CommandRecordsKept = 10'000;

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

  bool operator==(const State &) const = default;
};

/// Decides \p Entry, committed at \p At, and changes \p Current. Deterministic.
/// A refused command changes nothing but the command record.
/// Config.InForce becomes \p At when the configuration changed.
CommandResult apply(State &Current, const Command &Entry, Revision At);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_STATE_MACHINE_H
