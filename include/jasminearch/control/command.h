#ifndef JASMINEARCH_CONTROL_COMMAND_H
#define JASMINEARCH_CONTROL_COMMAND_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace jasminearch::control {

/// An agent's announcement of its upstream.
struct UpstreamAnnouncement {
  std::string Name;
  std::string ServiceName;
  std::string DataCentre;
  Endpoint Agent;
  std::uint32_t Slots = 1;
  /// Identifies one run of the agent process. An announcement resent by the
  /// same run keeps the upstream's incarnation.
  std::uint64_t RunId = 0;

  auto operator<=>(const UpstreamAnnouncement &) const = default;
};

/// An entry host's announcement of itself.
struct EntryAnnouncement {
  std::string Name;
  std::string DataCentre;
  Endpoint Tunnel;
  /// Identifies one run of the entry process.
  std::uint64_t RunId = 0;

  auto operator<=>(const EntryAnnouncement &) const = default;
};

/// Creates a profile, if Expected is zero, or replaces an existing one.
struct PutProfile {
  Profile Value;
  /// Revision of the object that the operator last read. The command is refused
  /// if the object has changed since then.
  Revision Expected;
  auto operator<=>(const PutProfile &) const = default;
};

/// Removes a profile; refused while a service uses it.
struct RemoveProfile {
  std::string Name;
  Revision Expected;
  auto operator<=>(const RemoveProfile &) const = default;
};

/// Creates a service, if Expected is zero, or changes its address or profile.
/// The control hosts assign the id.
struct PutService {
  Service Value;
  Revision Expected;
  auto operator<=>(const PutService &) const = default;
};

/// Starts or ends the drain of an upstream on an operator's order.
struct SetDrain {
  std::string UpstreamName;
  bool Draining = true;
  /// Revision at which the operator read the upstream. The command is refused
  /// if another operator's order has been committed since then; warm-up steps
  /// and agent restarts do not count as conflicts.
  Revision Expected;
  auto operator<=>(const SetDrain &) const = default;
};

/// Registers an upstream, or updates it if its name is known.
struct AnnounceUpstream {
  UpstreamAnnouncement Value;
  auto operator<=>(const AnnounceUpstream &) const = default;
};

/// Registers an entry host, or updates it if its name is known.
struct AnnounceEntry {
  EntryAnnouncement Value;
  auto operator<=>(const AnnounceEntry &) const = default;
};

/// Raises the traffic share of a cold upstream to \p Step / WarmUpSteps.
struct AdvanceWarmUp {
  UpstreamId Id;
  Incarnation Instance;
  std::uint8_t Step = 1;
  auto operator<=>(const AdvanceWarmUp &) const = default;
};

/// Ends the warm-up of an upstream, which then receives its full share.
struct ActivateUpstream {
  UpstreamId Id;
  Incarnation Instance;
  auto operator<=>(const ActivateUpstream &) const = default;
};

/// Marks an upstream as lost, because the lease of its agent expired or the
/// agent deregistered.
struct RetireUpstream {
  UpstreamId Id;
  Incarnation Instance;
  auto operator<=>(const RetireUpstream &) const = default;
};

/// Marks an entry host as not alive, because its lease expired.
struct RetireEntry {
  std::string Name;
  auto operator<=>(const RetireEntry &) const = default;
};

/// Removes a lost upstream from the configuration for good.
struct ForgetUpstream {
  std::string UpstreamName;
  /// See SetDrain::Expected.
  Revision Expected;
  auto operator<=>(const ForgetUpstream &) const = default;
};

using CommandBody =
    std::variant<PutProfile, RemoveProfile, PutService, SetDrain,
                 AnnounceUpstream, AnnounceEntry, ActivateUpstream,
                 RetireUpstream, RetireEntry, AdvanceWarmUp, ForgetUpstream>;

/// A command as it is stored in one entry of the replicated log.
struct Command {
  /// Idempotency key chosen by the sender: a resend with the same id returns
  /// the first result. Empty for commands that a control host proposes itself.
  std::string Id;
  CommandBody Body;

  auto operator<=>(const Command &) const = default;
};

/// Result of a command; identical on every control host.
struct CommandResult {
  /// Revision at which the command was decided.
  Revision At;
  /// Whether the command was accepted.
  bool Accepted = false;
  /// Why the command was refused; unset if it was accepted.
  Error Reason;

  auto operator<=>(const CommandResult &) const = default;
};

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_COMMAND_H
