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

/// A command: its words, its action, and how many arguments follow.
struct CommandForm {
  const char *First;
  const char *Second;
  CtlAction Action;
  std::size_t LeastArguments;
  std::size_t MostArguments;
  const char *Arguments;
  const char *Purpose;
};

constexpr std::array CommandForms{
    CommandForm{"profile", "put", CtlAction::ProfilePut, 1, 1, "NAME",
                "create or change a profile; options set its fields"},
    CommandForm{"profile", "get", CtlAction::ProfileGet, 1, 1, "NAME",
                "show a profile"},
    CommandForm{"profile", "list", CtlAction::ProfileList, 0, 0, "",
                "show all profiles"},
    CommandForm{"profile", "remove", CtlAction::ProfileRemove, 1, 1, "NAME",
                "remove a profile that no service uses"},
    CommandForm{"profile", "diff", CtlAction::ProfileDiff, 1, 2, "NAME [OTHER]",
                "show where two profiles differ, or what the options would "
                "change"},
    CommandForm{"service", "put", CtlAction::ServicePut, 1, 1, "NAME",
                "create or change a service"},
    CommandForm{"service", "list", CtlAction::ServiceList, 0, 0, "",
                "show all services"},
    CommandForm{"upstream", "list", CtlAction::UpstreamList, 0, 0, "",
                "show all upstreams with their phases and buckets"},
    CommandForm{"upstream", "forget", CtlAction::UpstreamForget, 1, 1,
                "UPSTREAM", "remove a lost upstream from the list"},
    CommandForm{"drain", "", CtlAction::Drain, 1, 1, "UPSTREAM",
                "give an upstream no new work"},
    CommandForm{"undrain", "", CtlAction::Undrain, 1, 1, "UPSTREAM",
                "end a drain"},
    CommandForm{"in-force", "", CtlAction::InForce, 1, 1, "REVISION",
                "show where a revision is in force; 0 means the latest"},
    CommandForm{"outcomes", "", CtlAction::Outcomes, 0, 0, "",
                "show whether the promises held"},
    CommandForm{"members", "", CtlAction::Members, 0, 0, "",
                "show the control hosts"},
    CommandForm{"status", "", CtlAction::Status, 0, 0, "",
                "show the leader, the revision and totals"},
    CommandForm{"report", "burn", CtlAction::ReportBurn, 0, 0, "",
                "show how fast error budgets are spent"},
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
    option{nullptr, 0, nullptr, 0},
};

using Check = Expected<void>;

Check wrong(const std::string &What) {
  return fail(ErrorCode::InvalidArgument, What);
}

// Values ----------------------------------------------------------------------

Check readNumber(const char *Name, const std::string &Text,
                 std::optional<double> &Value) {
  double Number = 0;
  if (!absl::SimpleAtod(Text, &Number))
    return wrong(
        absl::StrCat("--", Name, " needs a number, not \"", Text, "\""));
  Value = Number;
  return {};
}

Check readWhole(const char *Name, const std::string &Text,
                std::uint64_t &Value) {
  if (absl::SimpleAtoi(Text, &Value))
    return {};
  return wrong(absl::StrCat(Name, " needs a whole number, not \"", Text, "\""));
}

/// Reads a time in milliseconds. The bound keeps it far from overflow; the
/// control hosts check the range of each field.
Check readTime(const char *Name, const std::string &Text,
               std::optional<std::chrono::milliseconds> &Value) {
  constexpr std::int32_t Least = 0;
  std::int32_t Number = 0;
  if (!absl::SimpleAtoi(Text, &Number) || Number < Least)
    return wrong(absl::StrCat("--", Name, " needs milliseconds from 0 to ",
                              std::numeric_limits<std::int32_t>::max(),
                              ", not \"", Text, "\""));
  Value = std::chrono::milliseconds(Number);
  return {};
}

Check readBool(const char *Name, const std::string &Text,
               std::optional<bool> &Value) {
  if (Text != "yes" && Text != "no")
    return wrong(
        absl::StrCat("--", Name, " needs yes or no, not \"", Text, "\""));
  Value = Text == "yes";
  return {};
}

Check readTimeout(const std::string &Text, CtlRequest &Request) {
  constexpr std::uint64_t LongestSeconds = 600;
  std::uint64_t Seconds = 0;
  if (Check Read = readWhole("--timeout", Text, Seconds); !Read)
    return Read;
  if (Seconds == 0 || Seconds > LongestSeconds)
    return wrong(absl::StrCat("--timeout needs 1 to ", LongestSeconds,
                              " seconds, not ", Seconds));
  Request.Timeout = std::chrono::seconds(Seconds);
  return {};
}

Check readAddress(const std::string &Text, CtlRequest &Request) {
  const Expected<Endpoint> Address = parseEndpoint(Text);
  if (!Address)
    return tl::make_unexpected(Address.error());
  Request.Address = *Address;
  return {};
}

Check readExpect(const std::string &Text, CtlRequest &Request) {
  Revision Seen;
  Check Read = readWhole("--expect", Text, Seen.Number);
  if (Read)
    Request.Expected = Seen;
  return Read;
}

// Options ---------------------------------------------------------------------

Check readProfileOption(int Which, const std::string &Text,
                        ProfileChanges &Changes) {
  switch (Which) {
  case MaxImbalanceOption:
    return readNumber("max-imbalance", Text, Changes.MaxImbalance);
  case DeadlineOption:
    return readTime("deadline", Text, Changes.Deadline);
  case ColdStartOption:
    return readTime("cold-start", Text, Changes.ColdStart);
  case LineIdleOption:
    return readTime("line-idle", Text, Changes.LineIdleLimit);
  case RetryBudgetOption:
    return readNumber("retry-budget", Text, Changes.RetryBudget);
  case OffloadOption:
    return readBool("offload", Text, Changes.Offload);
  case AnsweredOption:
    return readNumber("answered", Text, Changes.Answered);
  case LinesWholeOption:
    return readNumber("lines-whole", Text, Changes.LinesWhole);
  default:
    return readNumber("within-deadline", Text, Changes.WithinDeadline);
  }
}

Check readOption(int Which, const std::string &Text, CtlRequest &Request) {
  switch (Which) {
  case ConfigOption:
    Request.ConfigFile = Text;
    return {};
  case JsonOption:
    Request.Json = true;
    return {};
  case TimeoutOption:
    return readTimeout(Text, Request);
  case ExpectOption:
    return readExpect(Text, Request);
  case CommandIdOption:
    Request.CommandId = Text;
    return {};
  case AddressOption:
    return readAddress(Text, Request);
  case ProfileOption:
    Request.ProfileName = Text;
    return {};
  case HtmlOption:
    Request.HtmlFile = Text;
    return {};
  default:
    return readProfileOption(Which, Text, Request.Changes);
  }
}

// Commands --------------------------------------------------------------------

std::string wordsOf(const CommandForm &Form) {
  return Form.Second[0] == '\0' ? Form.First
                                : absl::StrCat(Form.First, " ", Form.Second);
}

const CommandForm *findForm(const std::vector<std::string> &Words) {
  for (const CommandForm &Form : CommandForms) {
    if (Words.empty() || Words[0] != Form.First)
      continue;
    const bool Single = Form.Second[0] == '\0';
    if (Single || (Words.size() > 1 && Words[1] == Form.Second))
      return &Form;
  }
  return nullptr;
}

Check readCommand(const std::vector<std::string> &Words, CtlRequest &Request) {
  const CommandForm *Form = findForm(Words);
  if (Form == nullptr)
    return wrong(Words.empty() ? "no command given; see jasminectl --help"
                               : absl::StrCat("unknown command \"",
                                              absl::StrJoin(Words, " "),
                                              "\"; see jasminectl --help"));
  const std::size_t Used = Form->Second[0] == '\0' ? 1 : 2;
  Request.Action = Form->Action;
  Request.Arguments.assign(Words.begin() + static_cast<std::ptrdiff_t>(Used),
                           Words.end());
  const std::size_t Count = Request.Arguments.size();
  if (Count < Form->LeastArguments || Count > Form->MostArguments)
    return wrong(absl::StrCat("usage: jasminectl ", wordsOf(*Form),
                              Form->Arguments[0] == '\0' ? "" : " ",
                              Form->Arguments));
  return {};
}

/// Refuses options that the command would silently ignore.
Check checkUse(const CtlRequest &R) {
  const bool Profiles =
      R.Action == CtlAction::ProfilePut || R.Action == CtlAction::ProfileDiff;
  if (R.Changes != ProfileChanges{} && !Profiles)
    return wrong("options that set profile fields go with profile put and "
                 "profile diff only");
  const bool Services = R.Action == CtlAction::ServicePut;
  if ((R.Address || R.ProfileName) && !Services)
    return wrong("--address and --profile go with service put only");
  if (!R.HtmlFile.empty() && R.Action != CtlAction::ReportBurn)
    return wrong("--html goes with report burn only");
  if ((R.Expected || !R.CommandId.empty()) && !changesState(R.Action))
    return wrong("--expect and --command-id go with commands that change "
                 "something only");
  if (R.ConfigFile.empty())
    return wrong("--config FILE is missing");
  std::uint64_t Number = 0;
  if (R.Action == CtlAction::InForce)
    return readWhole("in-force", R.Arguments[0], Number);
  return {};
}

template <typename Field, typename Value>
void set(Field &Target, const std::optional<Value> &Change) {
  if (Change)
    Target = *Change;
}

} // namespace

Expected<CtlRequest> parseCtlArguments(int Argc, char **Argv) {
  CtlRequest Request;
  // Zero makes glibc start anew; messages are ours.
  optind = 0;
  opterr = 0;
  for (;;) {
    const int Which = getopt_long(Argc, Argv, ":", LongOptions.data(), nullptr);
    if (Which == -1)
      break;
    if (Which == HelpOption || Which == VersionOption) {
      Request.Action =
          Which == HelpOption ? CtlAction::Help : CtlAction::Version;
      return Request;
    }
    if (Which == '?')
      return fail(ErrorCode::InvalidArgument,
                  absl::StrCat("unknown or ambiguous option \"",
                               Argv[optind - 1], "\""));
    if (Which == ':')
      return fail(ErrorCode::InvalidArgument,
                  absl::StrCat(Argv[optind - 1], " needs a value"));
    if (const Check Read =
            readOption(Which, optarg == nullptr ? "" : optarg, Request);
        !Read)
      return tl::make_unexpected(Read.error());
  }
  const std::vector<std::string> Words(Argv + optind, Argv + Argc);
  Check Valid = readCommand(Words, Request);
  if (Valid)
    Valid = checkUse(Request);
  if (!Valid)
    return tl::make_unexpected(Valid.error());
  return Request;
}

std::string ctlHelp() {
  std::string Text =
      "Usage: jasminectl --config FILE COMMAND [OPTION...]\n\nCommands:\n";
  for (const CommandForm &Form : CommandForms) {
    std::string Usage = absl::StrCat(wordsOf(Form), " ", Form.Arguments);
    Usage.resize(std::max<std::size_t>(Usage.size() + 1, 28), ' ');
    absl::StrAppend(&Text, "  ", Usage, Form.Purpose, "\n");
  }
  return Text + R"(
General options:
  --config FILE          settings file (TOML) with the control hosts
  --json                 print JSON instead of a table
  --timeout SECONDS      give up after this time, 1 to 600 (default 15)
  --help, --version      print this text or the version

Options of commands that change something:
  --expect REVISION      refuse if the object changed after this revision;
                         without it, the revision is read first
  --command-id ID        resend a command whose outcome is unknown

Options of profile put and profile diff:
  --max-imbalance RATIO  busiest over mean that is tolerated, 1 to 100
  --deadline MS          10 to 240000
  --cold-start MS        0 to 600000
  --line-idle MS         1000 to 604800000
  --retry-budget SHARE   retries per first attempt, 0 to 1
  --offload yes|no       whether full agents pass requests to siblings
  --answered SHARE       objective, 0 to 1
  --lines-whole SHARE    objective, 0 to 1
  --within-deadline SHARE  objective, 0 to 1

Options of service put:
  --address A.B.C.D:PORT
  --profile NAME

Options of report burn:
  --html FILE            write a page with a plot

Exit status:
  0  done
  1  refused by the control hosts; nothing changed
  2  wrong command line
  3  unusable settings file
  4  the object changed since it was seen; nothing changed
  5  no control leader gave a usable answer; nothing was sent
  6  the outcome of the command is unknown; resend it with --command-id
  7  answered, and the answer needs a person
)";
}

Profile changed(Profile Base, const ProfileChanges &Changes) {
  set(Base.MaxImbalance, Changes.MaxImbalance);
  set(Base.Deadline, Changes.Deadline);
  set(Base.ColdStart, Changes.ColdStart);
  set(Base.LineIdleLimit, Changes.LineIdleLimit);
  set(Base.RetryBudget, Changes.RetryBudget);
  set(Base.Offload, Changes.Offload);
  set(Base.Targets.Answered, Changes.Answered);
  set(Base.Targets.LinesWhole, Changes.LinesWhole);
  set(Base.Targets.WithinDeadline, Changes.WithinDeadline);
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
