#ifndef JASMINEARCH_CONTROL_CTL_OPTIONS_H
#define JASMINEARCH_CONTROL_CTL_OPTIONS_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Command line parser of jasminectl.
namespace jasminearch::control {

/// Exit statuses of jasminectl. Part of its stable interface.
enum class CtlStatus : std::uint8_t {
  Done = 0,
  /// The control hosts refused the command; nothing was changed.
  Refused = 1,
  /// The command line is invalid; nothing was sent.
  Usage = 2,
  /// The settings file is unusable; nothing was sent.
  Settings = 3,
  /// The object changed after the expected revision; nothing was changed.
  Conflict = 4,
  /// No control leader gave a usable answer, and no command was sent.
  Unreachable = 5,
  /// The command was sent and may or may not have been accepted.
  OutcomeUnknown = 6,
  /// The query was answered, and an operator has to act: a promise is broken or
  /// unknown, an error budget burns too fast, a host is silent, or the revision
  /// is not in force on all hosts.
  NeedsPerson = 7,
};

/// What a command line asks for.
enum class CtlAction : std::uint8_t {
  Help,
  Version,
  ProfilePut,
  ProfileGet,
  ProfileList,
  ProfileRemove,
  ProfileDiff,
  ServicePut,
  ServiceList,
  UpstreamList,
  UpstreamForget,
  Drain,
  Undrain,
  InForce,
  Outcomes,
  Members,
  Status,
  ReportBurn,
  EvacuationShow,
  EvacuationStart,
  EvacuationWithdraw,
  ExplainPlacement,
};

/// Profile fields set on the command line; unset fields keep their values.
struct ProfileChanges {
  std::optional<double> MaxImbalance;
  std::optional<std::chrono::milliseconds> Deadline;
  std::optional<std::chrono::milliseconds> ColdStart;
  std::optional<std::chrono::milliseconds> LineIdleLimit;
  std::optional<double> RetryBudget;
  std::optional<bool> Offload;
  std::optional<double> Answered;
  std::optional<double> LinesWhole;
  std::optional<double> WithinDeadline;

  auto operator<=>(const ProfileChanges &) const = default;
};

/// A parsed command line.
struct CtlRequest {
  CtlAction Action{};
  /// Positional arguments after the command.
  std::vector<std::string> Arguments;
  std::string ConfigFile;
  /// Whether to print JSON instead of text.
  bool Json = false;
  /// Time limit for each query or command.
  std::chrono::milliseconds Timeout{15'000};
  /// Expected revision of the object; queried first if it is not given.
  std::optional<Revision> Expected;
  /// Id of an earlier command to resend, because its outcome is unknown.
  std::string CommandId;
  ProfileChanges Changes;
  std::optional<Endpoint> Address;
  std::optional<std::string> ProfileName;
  /// File to which `report burn` writes its HTML page; empty for none.
  std::string HtmlFile;
  /// Of explain-placement: metrics address of the entry host, and the flow.
  std::optional<Endpoint> Entry;
  std::optional<Endpoint> Caller;
  std::optional<Endpoint> Service;

  auto operator<=>(const CtlRequest &) const = default;
};

/// Parses a command line with getopt_long. Not thread-safe, because getopt
/// keeps its state in global variables.
/// \returns the request, or InvalidArgument with the problem and the allowed
/// values.
Expected<CtlRequest> parseCtlArguments(int Argc, char **Argv);

/// \returns the text that `jasminectl --help` prints.
std::string ctlHelp();

/// \returns \p Base with \p Changes applied.
Profile applyChanges(Profile Base, const ProfileChanges &Changes);

/// \returns whether the action sends a command, rather than only queries.
bool changesState(CtlAction Action);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_OPTIONS_H
