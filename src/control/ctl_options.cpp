#include "jasminearch/control/ctl_options.h"
#include "jasminearch/settings.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <array>
#include <functional>
#include <getopt.h>
#include <map>
#include <utility>

namespace jasminearch::control {

namespace {

/// Syntax of a command: one or two command words, and its arguments.
struct CommandSyntax {
  const char *First;
  const char *Second;
  CtlAction Action;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  const char *Arguments;
  const char *Description;
};

constexpr std::array CommandTable{
    CommandSyntax{"profile", "put", CtlAction::ProfilePut, 1, 1, "NAME",
                  "create or change a profile; options set its fields"},
    CommandSyntax{"profile", "get", CtlAction::ProfileGet, 1, 1, "NAME",
                  "show a profile"},
    CommandSyntax{"profile", "list", CtlAction::ProfileList, 0, 0, "",
                  "show all profiles"},
    CommandSyntax{"profile", "remove", CtlAction::ProfileRemove, 1, 1, "NAME",
                  "remove a profile that no service uses"},
    CommandSyntax{
        "profile", "diff", CtlAction::ProfileDiff, 1, 2, "NAME [OTHER]",
        "compare two profiles, or show what the options would change"},
    CommandSyntax{"service", "put", CtlAction::ServicePut, 1, 1, "NAME",
                  "create or change a service"},
    CommandSyntax{"service", "list", CtlAction::ServiceList, 0, 0, "",
                  "show all services"},
    CommandSyntax{"upstream", "list", CtlAction::UpstreamList, 0, 0, "",
                  "show all upstreams with their phases and buckets"},
    CommandSyntax{"upstream", "forget", CtlAction::UpstreamForget, 1, 1,
                  "UPSTREAM", "remove a lost upstream from the list"},
    CommandSyntax{"drain", "", CtlAction::Drain, 1, 1, "UPSTREAM",
                  "stop giving new work to an upstream"},
    CommandSyntax{"undrain", "", CtlAction::Undrain, 1, 1, "UPSTREAM",
                  "end a drain"},
    CommandSyntax{
        "in-force", "", CtlAction::InForce, 1, 1, "REVISION",
        "show on which hosts a revision is in force; 0 means the latest"},
    CommandSyntax{"outcomes", "", CtlAction::Outcomes, 0, 0, "",
                  "show whether the promises were kept"},
    CommandSyntax{"members", "", CtlAction::Members, 0, 0, "",
                  "show the control hosts"},
    CommandSyntax{"status", "", CtlAction::Status, 0, 0, "",
                  "show the control leader, the revision and totals"},
    CommandSyntax{"report", "burn", CtlAction::ReportBurn, 0, 0, "",
                  "show the burn rates of the error budgets"},
    CommandSyntax{
        "evacuation", "show", CtlAction::EvacuationShow, 0, 0, "",
        "show which data centres of a fleet are evacuated, and where that is "
        "in force"},
    CommandSyntax{"evacuation", "start", CtlAction::EvacuationStart, 1, 1,
                  "NAME", "send nothing new to a data centre of a fleet"},
    CommandSyntax{"evacuation", "withdraw", CtlAction::EvacuationWithdraw, 1, 1,
                  "NAME", "return a data centre of a fleet to service"},
    CommandSyntax{"explain-placement", "", CtlAction::ExplainPlacement, 0, 0,
                  "",
                  "show where an entry host would send the opening of a flow"},
};

enum Option : int {
  ConfigOption = 256,
  JsonOption,
  HelpOption,
  VersionOption,
  TimeoutOption,
  ExpectOption,
  CommandIdOption,
  MaxImbalanceOption,
  DeadlineOption,
  ColdStartOption,
  LineIdleOption,
  RetryBudgetOption,
  OffloadOption,
  AnsweredOption,
  LinesWholeOption,
  WithinDeadlineOption,
  AddressOption,
  ProfileOption,
  HtmlOption,
  EntryOption,
  CallerOption,
  ServiceOption,
};

constexpr std::array LongOptions{
    option{"config", required_argument, nullptr, ConfigOption},
    option{"json", no_argument, nullptr, JsonOption},
    option{"help", no_argument, nullptr, HelpOption},
    option{"version", no_argument, nullptr, VersionOption},
    option{"timeout", required_argument, nullptr, TimeoutOption},
    option{"expect", required_argument, nullptr, ExpectOption},
    option{"command-id", required_argument, nullptr, CommandIdOption},
    option{"max-imbalance", required_argument, nullptr, MaxImbalanceOption},
    option{"deadline", required_argument, nullptr, DeadlineOption},
    option{"cold-start", required_argument, nullptr, ColdStartOption},
    option{"line-idle", required_argument, nullptr, LineIdleOption},
    option{"retry-budget", required_argument, nullptr, RetryBudgetOption},
    option{"offload", required_argument, nullptr, OffloadOption},
    option{"answered", required_argument, nullptr, AnsweredOption},
    option{"lines-whole", required_argument, nullptr, LinesWholeOption},
    option{"within-deadline", required_argument, nullptr, WithinDeadlineOption},
    option{"address", required_argument, nullptr, AddressOption},
    option{"profile", required_argument, nullptr, ProfileOption},
    option{"html", required_argument, nullptr, HtmlOption},
    option{"entry", required_argument, nullptr, EntryOption},
    option{"caller", required_argument, nullptr, CallerOption},
    option{"service", required_argument, nullptr, ServiceOption},
    option{nullptr, 0, nullptr, 0},
};

using CheckResult = Expected<void>;

CheckResult invalidArgument(const std::string &What) {
  return fail(ErrorCode::InvalidArgument, What);
}

// Values ----------------------------------------------------------------------

CheckResult parseNumber(const char *Name, const std::string &Text,
                        std::optional<double> &Value) {
  double Number = 0;
  if (!absl::SimpleAtod(Text, &Number))
    return invalidArgument(
        absl::StrCat("--", Name, " must be a number, not \"", Text, "\""));
  Value = Number;
  return {};
}

CheckResult parseInteger(const char *Name, const std::string &Text,
                         std::uint64_t &Value) {
  if (absl::SimpleAtoi(Text, &Value))
    return {};
  return invalidArgument(absl::StrCat(
      Name, " must be a non-negative integer, not \"", Text, "\""));
}

/// Parses a duration in milliseconds. The upper bound only prevents overflow;
/// the control hosts check the range of each field.
CheckResult parseMilliseconds(const char *Name, const std::string &Text,
                              std::optional<std::chrono::milliseconds> &Value) {
  constexpr std::int32_t MinMilliseconds = 0;
  std::int32_t Number = 0;
  if (!absl::SimpleAtoi(Text, &Number) || Number < MinMilliseconds)
    return invalidArgument(absl::StrCat(
        "--", Name, " must be a number of milliseconds from 0 to ",
        std::numeric_limits<std::int32_t>::max(), ", not \"", Text, "\""));
  Value = std::chrono::milliseconds(Number);
  return {};
}

CheckResult parseBool(const char *Name, const std::string &Text,
                      std::optional<bool> &Value) {
  if (Text != "yes" && Text != "no")
    return invalidArgument(
        absl::StrCat("--", Name, " must be yes or no, not \"", Text, "\""));
  Value = Text == "yes";
  return {};
}

CheckResult parseTimeout(const std::string &Text, CtlRequest &Request) {
  constexpr std::uint64_t MaxSeconds = 600;
  std::uint64_t Seconds = 0;
  if (CheckResult Parsed = parseInteger("--timeout", Text, Seconds); !Parsed)
    return Parsed;
  if (Seconds == 0 || Seconds > MaxSeconds)
    return invalidArgument(absl::StrCat("--timeout must be from 1 to ",
                                        MaxSeconds, " seconds, not ", Seconds));
  Request.Timeout = std::chrono::seconds(Seconds);
  return {};
}

CheckResult parseAddress(const std::string &Text,
                         std::optional<Endpoint> &Value) {
  const Expected<Endpoint> Address = parseEndpoint(Text);
  if (!Address)
    return tl::make_unexpected(Address.error());
  Value = *Address;
  return {};
}

CheckResult parseExpectedRevision(const std::string &Text,
                                  CtlRequest &Request) {
  Revision ExpectedRevision;
  CheckResult Parsed = parseInteger("--expect", Text, ExpectedRevision.Number);
  if (Parsed)
    Request.Expected = ExpectedRevision;
  return Parsed;
}

// Options ---------------------------------------------------------------------

CheckResult parseProfileOption(int OptionId, const std::string &Text,
                               ProfileChanges &Changes) {
  switch (OptionId) {
  case MaxImbalanceOption:
    return parseNumber("max-imbalance", Text, Changes.MaxImbalance);
  case DeadlineOption:
    return parseMilliseconds("deadline", Text, Changes.Deadline);
  case ColdStartOption:
    return parseMilliseconds("cold-start", Text, Changes.ColdStart);
  case LineIdleOption:
    return parseMilliseconds("line-idle", Text, Changes.LineIdleLimit);
  case RetryBudgetOption:
    return parseNumber("retry-budget", Text, Changes.RetryBudget);
  case OffloadOption:
    return parseBool("offload", Text, Changes.Offload);
  case AnsweredOption:
    return parseNumber("answered", Text, Changes.Answered);
  case LinesWholeOption:
    return parseNumber("lines-whole", Text, Changes.LinesWhole);
  default:
    return parseNumber("within-deadline", Text, Changes.WithinDeadline);
  }
}

CheckResult parseOption(int OptionId, const std::string &Text,
                        CtlRequest &Request) {
  switch (OptionId) {
  case ConfigOption:
    Request.ConfigFile = Text;
    return {};
  case JsonOption:
    Request.Json = true;
    return {};
  case TimeoutOption:
    return parseTimeout(Text, Request);
  case ExpectOption:
    return parseExpectedRevision(Text, Request);
  case CommandIdOption:
    Request.CommandId = Text;
    return {};
  case AddressOption:
    return parseAddress(Text, Request.Address);
  case ProfileOption:
    Request.ProfileName = Text;
    return {};
  case HtmlOption:
    Request.HtmlFile = Text;
    return {};
  case EntryOption:
    return parseAddress(Text, Request.Entry);
  case CallerOption:
    return parseAddress(Text, Request.Caller);
  case ServiceOption:
    return parseAddress(Text, Request.Service);
  default:
    return parseProfileOption(OptionId, Text, Request.Changes);
  }
}

// Commands --------------------------------------------------------------------

std::string commandWords(const CommandSyntax &Syntax) {
  return Syntax.Second[0] == '\0'
             ? Syntax.First
             : absl::StrCat(Syntax.First, " ", Syntax.Second);
}

const CommandSyntax *findCommand(const std::vector<std::string> &Words) {
  for (const CommandSyntax &Syntax : CommandTable) {
    if (Words.empty() || Words[0] != Syntax.First)
      continue;
    const bool Single = Syntax.Second[0] == '\0';
    if (Single || (Words.size() > 1 && Words[1] == Syntax.Second))
      return &Syntax;
  }
  return nullptr;
}

CheckResult parseCommand(const std::vector<std::string> &Words,
                         CtlRequest &Request) {
  const CommandSyntax *Syntax = findCommand(Words);
  if (Syntax == nullptr)
    return invalidArgument(Words.empty()
                               ? "no command given; see jasminectl --help"
                               : absl::StrCat("unknown command \"",
                                              absl::StrJoin(Words, " "),
                                              "\"; see jasminectl --help"));
  const std::size_t Used = Syntax->Second[0] == '\0' ? 1 : 2;
  Request.Action = Syntax->Action;
  Request.Arguments.assign(Words.begin() + static_cast<std::ptrdiff_t>(Used),
                           Words.end());
  const std::size_t Count = Request.Arguments.size();
  if (Count < Syntax->MinArguments || Count > Syntax->MaxArguments)
    return invalidArgument(absl::StrCat(
        "usage: jasminectl ", commandWords(*Syntax),
        Syntax->Arguments[0] == '\0' ? "" : " ", Syntax->Arguments));
  return {};
}

/// Checks the options of explain-placement, which asks an entry host and so
/// needs no settings file.
CheckResult checkPlacementOptions(const CtlRequest &R) {
  const bool Explains = R.Action == CtlAction::ExplainPlacement;
  if (!Explains && (R.Entry || R.Caller || R.Service))
    return invalidArgument("--entry, --caller and --service are allowed only "
                           "with explain-placement");
  if (Explains && !(R.Entry && R.Caller && R.Service))
    return invalidArgument(
        "explain-placement requires --entry, --caller and --service, each "
        "with A.B.C.D:PORT");
  return {};
}

/// Refuses options that the command would ignore.
CheckResult checkOptionUse(const CtlRequest &R) {
  const bool Profiles =
      R.Action == CtlAction::ProfilePut || R.Action == CtlAction::ProfileDiff;
  if (R.Changes != ProfileChanges{} && !Profiles)
    return invalidArgument(
        "options that set profile fields are allowed only with profile "
        "put and profile diff");
  const bool Services = R.Action == CtlAction::ServicePut;
  if ((R.Address || R.ProfileName) && !Services)
    return invalidArgument(
        "--address and --profile are allowed only with service put");
  if (!R.HtmlFile.empty() && R.Action != CtlAction::ReportBurn)
    return invalidArgument("--html is allowed only with report burn");
  if ((R.Expected || !R.CommandId.empty()) && !changesState(R.Action))
    return invalidArgument(
        "--expect and --command-id are allowed only with commands that "
        "change something");
  if (CheckResult Valid = checkPlacementOptions(R); !Valid)
    return Valid;
  if (R.ConfigFile.empty() && R.Action != CtlAction::ExplainPlacement)
    return invalidArgument("option --config FILE is required");
  std::uint64_t Number = 0;
  if (R.Action == CtlAction::InForce)
    return parseInteger("in-force", R.Arguments[0], Number);
  return {};
}

template <typename Field, typename Value>
void setIfGiven(Field &Target, const std::optional<Value> &Change) {
  if (Change)
    Target = *Change;
}

} // namespace

Expected<CtlRequest> parseCtlArguments(int Argc, char **Argv) {
  CtlRequest Request;
  // Setting optind to zero makes glibc reinitialize its parser. With opterr at
  // zero it prints no messages of its own.
  optind = 0;
  opterr = 0;
  for (;;) {
    const int OptionId =
        getopt_long(Argc, Argv, ":", LongOptions.data(), nullptr);
    if (OptionId == -1)
      break;
    if (OptionId == HelpOption || OptionId == VersionOption) {
      Request.Action =
          OptionId == HelpOption ? CtlAction::Help : CtlAction::Version;
      return Request;
    }
    if (OptionId == '?')
      return fail(ErrorCode::InvalidArgument,
                  absl::StrCat("unknown or ambiguous option \"",
                               Argv[optind - 1], "\""));
    if (OptionId == ':')
      return fail(ErrorCode::InvalidArgument,
                  absl::StrCat(Argv[optind - 1], " requires a value"));
    if (const CheckResult Parsed =
            parseOption(OptionId, optarg == nullptr ? "" : optarg, Request);
        !Parsed)
      return tl::make_unexpected(Parsed.error());
  }
  const std::vector<std::string> Words(Argv + optind, Argv + Argc);
  CheckResult Valid = parseCommand(Words, Request);
  if (Valid)
    Valid = checkOptionUse(Request);
  if (!Valid)
    return tl::make_unexpected(Valid.error());
  return Request;
}

std::string ctlHelp() {
  std::string Text =
      "Usage: jasminectl --config FILE COMMAND [OPTION...]\n\nCommands:\n";
  for (const CommandSyntax &Syntax : CommandTable) {
    std::string Usage =
        absl::StrCat(commandWords(Syntax), " ", Syntax.Arguments);
    Usage.resize(std::max<std::size_t>(Usage.size() + 1, 28), ' ');
    absl::StrAppend(&Text, "  ", Usage, Syntax.Description, "\n");
  }
  return Text + R"(
General options:
  --config FILE          settings file (TOML) with the control hosts
  --json                 print JSON instead of text
  --timeout SECONDS      time limit, 1 to 600 (default 15)
  --help, --version      print this help or the version

Options of commands that change something:
  --expect REVISION      refuse if the object has changed since this revision;
                         if omitted, the current revision is queried first
  --command-id ID        resend a command whose outcome is unknown

Options of profile put and profile diff:
  --max-imbalance RATIO  highest ratio of the busiest upstream's share to the
                         mean share, 1 to 100
  --deadline MS          time limit of a request, 10 to 240000
  --cold-start MS        duration of the warm-up, 0 to 600000
  --line-idle MS         idle time after which a line is dropped, 1000 to
                         604800000
  --retry-budget SHARE   highest ratio of retries to first attempts, 0 to 1
  --offload yes|no       whether agents without a free slot pass requests to
                         other agents
  --answered SHARE       objective: share of good events, 0 to 1
  --lines-whole SHARE    objective: share of good events, 0 to 1
  --within-deadline SHARE  objective: share of good events, 0 to 1

Options of service put:
  --address A.B.C.D:PORT  address at which callers reach the service
  --profile NAME         profile of the service

Options of report burn:
  --html FILE            also write an HTML page with a plot to this file

Options of explain-placement, which needs no --config:
  --entry A.B.C.D:PORT   metrics address of the entry host
  --caller A.B.C.D:PORT  address and port of the caller
  --service A.B.C.D:PORT  address and port that the caller opens

Exit status:
  0  success
  1  refused by the control hosts; nothing was changed
  2  invalid command line; nothing was sent
  3  unusable settings file; nothing was sent
  4  the object has changed since the expected revision; nothing was changed
  5  no usable answer from a control leader; no command was sent
  6  the outcome of the command is unknown; resend it with --command-id
  7  answered, and an operator has to act
)";
}

Profile applyChanges(Profile Base, const ProfileChanges &Changes) {
  setIfGiven(Base.MaxImbalance, Changes.MaxImbalance);
  setIfGiven(Base.Deadline, Changes.Deadline);
  setIfGiven(Base.ColdStart, Changes.ColdStart);
  setIfGiven(Base.LineIdleLimit, Changes.LineIdleLimit);
  setIfGiven(Base.RetryBudget, Changes.RetryBudget);
  setIfGiven(Base.Offload, Changes.Offload);
  setIfGiven(Base.Targets.Answered, Changes.Answered);
  setIfGiven(Base.Targets.LinesWhole, Changes.LinesWhole);
  setIfGiven(Base.Targets.WithinDeadline, Changes.WithinDeadline);
  return Base;
}

bool changesState(CtlAction Action) {
  switch (Action) {
  case CtlAction::ProfilePut:
  case CtlAction::ProfileRemove:
  case CtlAction::ServicePut:
  case CtlAction::UpstreamForget:
  case CtlAction::Drain:
  case CtlAction::Undrain:
    return true;
  default:
    return false;
  }
}

} // namespace jasminearch::control
