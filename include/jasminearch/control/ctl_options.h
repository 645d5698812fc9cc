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

/// Command line of jasminectl.
namespace jasminearch::control {

/// Exit statuses of jasminectl. Part of its interface.
enum class CtlStatus : std::uint8_t {
  Done = 0,
  /// The control hosts refused the command; nothing changed.
  Refused = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// The settings file can't be used; nothing was sent.
  Settings = 3,
  /// The object changed since it was seen; nothing changed.
  Conflict = 4,
  /// No control leader gave a usable answer, and no command was sent.
  Unreachable = 5,
  /// The command was sent and may or may not have been accepted.
  OutcomeUnknown = 6,
  /// The question was answered, and the answer needs a person: a promise broke
  /// or is unknown, a budget burns too fast, a host can't tell, or the revision
  /// is not in force everywhere.
  NeedsPerson = 7,
};

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
};

/// Profile fields that the command line sets; others keep their values.
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

/// What the operator asks for.
struct CtlRequest {
  CtlAction Action{};
  /// Names or numbers after the command, in their order.
  std::vector<std::string> Arguments;
  std::string ConfigFile;
  bool Json = false;
  /// Time after which jasminectl gives up.
  std::chrono::milliseconds Timeout{15'000};
  /// Revision at which the operator saw the object; read anew if it is missing.
  std::optional<Revision> Expected;
  /// Id of an earlier command whose outcome is unknown.
  std::string CommandId;
  ProfileChanges Changes;
  std::optional<Endpoint> Address;
  std::optional<std::string> ProfileName;
  /// Where report burn writes its page; empty for none.
  std::string HtmlFile;

  auto operator<=>(const CtlRequest &) const = default;
};

/// Parses a command line with getopt_long. Not thread-safe, because getopt
/// keeps its state in globals.
/// \returns InvalidArgument that tells what is wrong and what is allowed.
Expected<CtlRequest> parseCtlArguments(int Argc, char **Argv);

/// \returns the text of jasminectl --help.
std::string ctlHelp();

/// \returns \p Base with \p Changes applied.
Profile changed(Profile Base, const ProfileChanges &Changes);

/// \returns whether the action sends a command, not only a query.
bool changesState(CtlAction Action);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_OPTIONS_H
