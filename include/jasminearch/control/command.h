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

/// What an agent tells about its upstream.
struct UpstreamAnnouncement {
  std::string Name;
  std::string ServiceName;
  std::string DataCentre;
  Endpoint Agent;
  std::uint32_t Slots = 1;
  /// Differs between runs of the agent; a resent announcement of the same run
  /// keeps its incarnation.
  std::uint64_t RunId = 0;

  auto operator<=>(const UpstreamAnnouncement &) const = default;
};

/// What an entry host tells about itself.
struct EntryAnnouncement {
  std::string Name;
  std::string DataCentre;
  Endpoint Tunnel;
  std::uint64_t RunId = 0;

  auto operator<=>(const EntryAnnouncement &) const = default;
};

/// Creates a profile (Expected zero) or changes it.
struct PutProfile {
  Profile Value;
  /// Revision at which the operator saw the object.
  Revision Expected;
  auto operator<=>(const PutProfile &) const = default;
};

/// Removes a profile that no service uses.
struct RemoveProfile {
  std::string Name;
  Revision Expected;
  auto operator<=>(const RemoveProfile &) const = default;
};

/// Creates a service (Expected zero) or changes its address or profile. Id is
/// assigned by the control hosts.
struct PutService {
  Service Value;
  Revision Expected;
  auto operator<=>(const PutService &) const = default;
};

/// Starts or ends the drain of an upstream.
struct SetDrain {
  std::string UpstreamName;
  bool Draining = true;
  /// Any revision at which the operator saw the upstream. Refused if an
  /// operator has given an order since; warm-up steps and restarts don't
  /// matter.
  Revision Expected;
  auto operator<=>(const SetDrain &) const = default;
};

struct AnnounceUpstream {
  UpstreamAnnouncement Value;
  auto operator<=>(const AnnounceUpstream &) const = default;
};

struct AnnounceEntry {
  EntryAnnouncement Value;
  auto operator<=>(const AnnounceEntry &) const = default;
};

/// A cold upstream takes a larger share: \p Step parts of WarmUpSteps.
struct AdvanceWarmUp {
  UpstreamId Id;
  Incarnation Instance;
  std::uint8_t Step = 1;
  auto operator<=>(const AdvanceWarmUp &) const = default;
};

/// An upstream is ready after its cold start.
struct ActivateUpstream {
  UpstreamId Id;
  Incarnation Instance;
  auto operator<=>(const ActivateUpstream &) const = default;
};

/// An agent's lease ended (Lost), or it left on purpose.
struct RetireUpstream {
  UpstreamId Id;
  Incarnation Instance;
  auto operator<=>(const RetireUpstream &) const = default;
};

/// An entry host's lease ended.
struct RetireEntry {
  std::string Name;
  auto operator<=>(const RetireEntry &) const = default;
};

/// Removes a lost upstream that won't return from the list of upstreams.
struct ForgetUpstream {
  std::string UpstreamName;
  /// As in SetDrain.
  Revision Expected;
  auto operator<=>(const ForgetUpstream &) const = default;
};

using CommandBody =
    std::variant<PutProfile, RemoveProfile, PutService, SetDrain,
                 AnnounceUpstream, AnnounceEntry, ActivateUpstream,
                 RetireUpstream, RetireEntry, AdvanceWarmUp, ForgetUpstream>;

/// One entry of the replicated log above the consensus layer.
struct Command {
  /// Chosen by the sender; a resend carries the same id and gets the first
  /// result. Empty for the control hosts' own commands.
  std::string Id;
  CommandBody Body;

  auto operator<=>(const Command &) const = default;
};

/// What became of a command. The same on every control host.
struct CommandResult {
  /// Revision at which it was decided.
  Revision At;
  /// Set when the command was accepted.
  bool Accepted = false;
  /// Failure when it was not accepted.
  Error Reason;

  auto operator<=>(const CommandResult &) const = default;
};

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_COMMAND_H
