#include "jasminearch/control/ctl_output.h"
#include "jasminearch/control/burn_report.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/control/outcomes.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <exception>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace jasminearch::control {

using nlohmann::json;

namespace {

/// Formats a JSON value as indented text; invalid UTF-8 is replaced.
std::string dump(const json &Value) {
  return Value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

/// Reads the member \p Name of a document, which is a list of objects.
template <typename Object>
std::vector<Object> readList(const json &Document, const char *Name) {
  return Document.at(Name).get<std::vector<Object>>();
}

template <typename Object>
std::optional<Object> findByName(const json &Document, const char *List,
                                 const std::string &Name) {
  for (Object &Candidate : readList<Object>(Document, List))
    if (Candidate.Name == Name)
      return std::move(Candidate);
  return std::nullopt;
}

// Profiles --------------------------------------------------------------------

using Fields = std::vector<std::pair<const char *, std::string>>;

Fields profileFields(const Profile &P) {
  return {
      {"max-imbalance", absl::StrFormat("%g", P.MaxImbalance)},
      {"deadline", absl::StrCat(P.Deadline.count(), " ms")},
      {"cold-start", absl::StrCat(P.ColdStart.count(), " ms")},
      {"line-idle", absl::StrCat(P.LineIdleLimit.count(), " ms")},
      {"retry-budget", absl::StrFormat("%g", P.RetryBudget)},
      {"offload", P.Offload ? "yes" : "no"},
      {"answered", absl::StrFormat("%g", P.Targets.Answered)},
      {"lines-whole", absl::StrFormat("%g", P.Targets.LinesWhole)},
      {"within-deadline", absl::StrFormat("%g", P.Targets.WithinDeadline)},
  };
}

std::string profileText(const Profile &P) {
  std::string Text =
      absl::StrCat("profile ", P.Name, " at revision ", P.Changed.Number, "\n");
  for (const auto &[Name, Value] : profileFields(P))
    absl::StrAppendFormat(&Text, "  %-16s %s\n", Name, Value);
  return Text;
}

std::string profileTable(const std::vector<Profile> &Profiles) {
  std::string Text = absl::StrFormat("%-24s %9s %13s %11s\n", "PROFILE",
                                     "REVISION", "MAX-IMBALANCE", "DEADLINE");
  for (const Profile &P : Profiles)
    absl::StrAppendFormat(&Text, "%-24s %9d %13g %8d ms\n", P.Name,
                          P.Changed.Number, P.MaxImbalance, P.Deadline.count());
  return Text;
}

CtlOutput unknownProfile(const CtlRequest &Request, const std::string &Name) {
  return formatFailure(Request, {ErrorCode::UnknownProfile,
                                 "profile " + Name + " doesn't exist"});
}

CtlOutput formatProfile(const CtlRequest &Request, const json &Document) {
  const std::string &Name = Request.Arguments.at(0);
  const auto P = findByName<Profile>(Document, "profiles", Name);
  if (!P)
    return unknownProfile(Request, Name);
  return {Request.Json ? dump(json(*P)) : profileText(*P), "", {}};
}

CtlOutput formatProfileDiff(const CtlRequest &Request, const json &Document) {
  const std::string &Name = Request.Arguments.at(0);
  const auto Left = findByName<Profile>(Document, "profiles", Name);
  if (!Left)
    return unknownProfile(Request, Name);
  Profile Right = applyChanges(*Left, Request.Changes);
  if (Request.Arguments.size() > 1) {
    const auto Other =
        findByName<Profile>(Document, "profiles", Request.Arguments[1]);
    if (!Other)
      return unknownProfile(Request, Request.Arguments[1]);
    Right = applyChanges(*Other, Request.Changes);
  }
  json Differences = json::object();
  std::string Text;
  const Fields Before = profileFields(*Left);
  const Fields After = profileFields(Right);
  for (std::size_t I = 0; I < Before.size(); ++I) {
    if (Before[I].second == After[I].second)
      continue;
    Differences[Before[I].first] = {Before[I].second, After[I].second};
    absl::StrAppendFormat(&Text, "%-16s %s -> %s\n", Before[I].first,
                          Before[I].second, After[I].second);
  }
  if (Text.empty())
    Text = "no difference\n";
  return {Request.Json ? dump(Differences) : Text, "", {}};
}

// Lists -----------------------------------------------------------------------

std::string serviceTable(const std::vector<Service> &Services) {
  std::string Text =
      absl::StrFormat("%6s %-24s %-21s %-24s %9s\n", "ID", "SERVICE", "ADDRESS",
                      "PROFILE", "REVISION");
  for (const Service &S : Services)
    absl::StrAppendFormat(&Text, "%6d %-24s %-21s %-24s %9d\n", S.Id.Number,
                          S.Name, toString(S.Address), S.ProfileName,
                          S.Changed.Number);
  return Text;
}

std::map<ServiceId, std::string> serviceNames(const json &Document) {
  std::map<ServiceId, std::string> Names;
  for (const Service &S : readList<Service>(Document, "services"))
    Names[S.Id] = S.Name;
  return Names;
}

const char *name(UpstreamPhase Phase) {
  switch (Phase) {
  case UpstreamPhase::Cold:
    return "cold";
  case UpstreamPhase::Active:
    return "active";
  case UpstreamPhase::Draining:
    return "draining";
  case UpstreamPhase::Lost:
    return "lost";
  }
  return "unknown phase";
}

/// Parses an upstream, ignoring the members that the leader adds to its answer.
Upstream parseUpstream(json Answer) {
  Answer.erase("silent");
  Answer.erase("applied");
  return Answer.get<Upstream>();
}

/// \returns the upstreams with names instead of numbers, for output.
json readableUpstreams(const json &Document) {
  const auto Services = serviceNames(Document);
  json List = json::array();
  for (const json &Answer : Document.at("upstreams")) {
    const Upstream U = parseUpstream(Answer);
    const auto Service = Services.find(U.Service);
    List.push_back(
        {{"id", U.Id.Number},
         {"name", U.Name},
         {"service", Service == Services.end() ? "" : Service->second},
         {"data_centre", U.DataCentre},
         {"agent", toString(U.Agent)},
         {"slots", U.Slots},
         {"incarnation", U.Instance.Number},
         {"phase", name(U.Phase)},
         {"warm_up", absl::StrCat(U.WarmUp, "/", WarmUpSteps)},
         {"drain_ordered", U.DrainOrdered},
         {"silent", Answer.at("silent")},
         {"in_force", Answer.at("applied")},
         {"revision", U.Changed.Number}});
  }
  return {{"upstreams", List}};
}

std::string formatNotes(const json &Upstream) {
  std::string Notes;
  if (Upstream.at("drain_ordered").get<bool>())
    Notes += "  drain ordered";
  if (Upstream.at("silent").get<bool>())
    Notes += "  silent";
  return Notes;
}

std::string upstreamTable(const json &Readable) {
  std::string Text = absl::StrFormat(
      "%6s %-24s %-20s %-12s %-21s %-9s %8s %8s\n", "ID", "UPSTREAM", "SERVICE",
      "DATA CENTRE", "AGENT", "PHASE", "REVISION", "IN FORCE");
  for (const json &U : Readable.at("upstreams"))
    absl::StrAppendFormat(
        &Text, "%6d %-24s %-20s %-12s %-21s %-9s %8d %8d%s\n",
        U.at("id").get<std::uint64_t>(), U.at("name").get<std::string>(),
        U.at("service").get<std::string>(),
        U.at("data_centre").get<std::string>(),
        U.at("agent").get<std::string>(), U.at("phase").get<std::string>(),
        U.at("revision").get<std::uint64_t>(),
        U.at("in_force").get<std::uint64_t>(), formatNotes(U));
  return Text;
}

json readableServices(const json &Document) {
  json List = json::array();
  for (const Service &S : readList<Service>(Document, "services"))
    List.push_back({{"id", S.Id.Number},
                    {"name", S.Name},
                    {"address", toString(S.Address)},
                    {"profile", S.ProfileName},
                    {"revision", S.Changed.Number}});
  return {{"services", List}};
}

std::string memberTable(const json &Document) {
  std::string Text = absl::StrFormat("%-24s %-8s %-7s %s\n", "CONTROL HOST",
                                     "ROLE", "LEADER", "STORAGE ID");
  for (const json &M : Document.at("members")) {
    const bool Leads = M.at("host") == Document.at("leader");
    absl::StrAppendFormat(
        &Text, "%-24s %-8s %-7s %s\n", M.at("host").get<std::string>(),
        M.at("voter").get<bool>() ? "voter" : "learner", Leads ? "yes" : "no",
        M.value("storage_id", std::string()));
  }
  return Text;
}

// Revisions -------------------------------------------------------------------

/// \returns a line for a host without the revision, or an empty string if the
/// host has it in force.
std::string formatOutdatedHost(const json &Host,
                               const std::set<std::string> &Silent) {
  if (Host.at("in_force").get<bool>())
    return "";
  const auto Name = Host.at("name").get<std::string>();
  const auto Applied = Host.at("applied").get<std::uint64_t>();
  if (Silent.count(Name) != 0)
    return absl::StrCat("    ", Name, ": can't tell, it is silent; last known ",
                        Applied, "\n");
  return absl::StrCat("    ", Name, ": behind, at ", Applied, "\n");
}

CtlOutput formatInForce(const CtlRequest &Request, const json &Document) {
  const bool Everywhere = Document.at("everywhere").get<bool>();
  const auto Requested = Document.at("revision").get<std::uint64_t>();
  const auto Silent = Document.at("silent").get<std::set<std::string>>();
  std::string OutdatedHosts;
  std::size_t Count = 0;
  for (const json &Host : Document.at("hosts")) {
    const std::string Line = formatOutdatedHost(Host, Silent);
    Count += Line.empty() ? 0 : 1;
    OutdatedHosts += Line;
  }
  const std::size_t HostCount = Document.at("hosts").size();
  const std::string Text =
      HostCount == 0 ? "No entry host or agent is registered.\n"
      : Everywhere
          ? absl::StrCat("Revision ", Requested, " is in force on all ",
                         HostCount, " hosts.\n")
          : absl::StrCat("Needs a person: revision ", Requested,
                         " is not known to be in force on ", Count, " of ",
                         HostCount, " hosts.\n", OutdatedHosts);
  return {Request.Json ? dump(Document) : Text, "",
          Everywhere ? CtlStatus::Done : CtlStatus::NeedsPerson};
}

std::string statusText(const json &Document) {
  std::string Text;
  for (const auto &[Key, Value] : Document.items())
    absl::StrAppendFormat(
        &Text, "%-16s %s\n", Key,
        Value.is_string()
            ? Value.get<std::string>()
            : Value.dump(-1, ' ', false, json::error_handler_t::replace));
  return Text;
}

// Outcomes --------------------------------------------------------------------

CtlOutput formatOutcomes(const CtlRequest &Request, const json &Document) {
  const auto Summary = Document.get<OutcomeSummary>();
  const bool Healthy =
      Summary.Silent.empty() &&
      std::all_of(Summary.Promises.begin(), Summary.Promises.end(),
                  [](const PromiseOutcome &P) {
                    return P.Result == Verdict::Held ||
                           P.Result == Verdict::NoEvents;
                  });
  return {Request.Json ? dump(Document) : formatTable(Summary), "",
          Healthy ? CtlStatus::Done : CtlStatus::NeedsPerson};
}

CtlOutput formatBurnReport(const CtlRequest &Request, const json &Document) {
  const auto Report = Document.get<BurnReport>();
  const bool Healthy =
      Report.Silent.empty() &&
      std::none_of(Report.Rows.begin(), Report.Rows.end(),
                   [](const BurnRow &R) { return R.NeedsPerson; });
  return {Request.Json ? dump(Document) : formatTable(Report), "",
          Healthy ? CtlStatus::Done : CtlStatus::NeedsPerson};
}

CtlOutput formatAnswers(const CtlRequest &Request, const json &Document) {
  const auto MakeOutput = [&](const json &Readable, const std::string &Text) {
    return CtlOutput{Request.Json ? dump(Readable) : Text, "", {}};
  };
  switch (Request.Action) {
  case CtlAction::ProfileGet:
    return formatProfile(Request, Document);
  case CtlAction::ProfileList:
    return MakeOutput(Document,
                      profileTable(readList<Profile>(Document, "profiles")));
  case CtlAction::ProfileDiff:
    return formatProfileDiff(Request, Document);
  case CtlAction::ServiceList:
    return MakeOutput(readableServices(Document),
                      serviceTable(readList<Service>(Document, "services")));
  case CtlAction::UpstreamList: {
    const json Readable = readableUpstreams(Document);
    return MakeOutput(Readable, upstreamTable(Readable));
  }
  case CtlAction::InForce:
    return formatInForce(Request, Document);
  case CtlAction::Outcomes:
    return formatOutcomes(Request, Document);
  case CtlAction::Members:
    return MakeOutput(Document, memberTable(Document));
  case CtlAction::Status:
    return MakeOutput(Document, statusText(Document));
  case CtlAction::ReportBurn:
    return formatBurnReport(Request, Document);
  default:
    return MakeOutput(Document, dump(Document));
  }
}

// Commands --------------------------------------------------------------------

std::optional<Upstream> findUpstream(const json &Document,
                                     const std::string &Name) {
  for (const json &Answer : Document.at("upstreams"))
    if (Upstream U = parseUpstream(Answer); U.Name == Name)
      return U;
  return std::nullopt;
}

/// \returns the revision that the operator expects, by default the one that was
/// queried, or zero if the object does not exist.
template <typename Object>
Revision expectedRevision(const CtlRequest &Request,
                          const std::optional<Object> &Found) {
  if (Request.Expected)
    return *Request.Expected;
  return Found ? Found->Changed : Revision{};
}

CommandBody putProfile(const CtlRequest &Request, const json &Document) {
  const std::string &Name = Request.Arguments[0];
  const auto Found = findByName<Profile>(Document, "profiles", Name);
  Profile Base = Found.value_or(Profile{});
  Base.Name = Name;
  return PutProfile{applyChanges(Base, Request.Changes),
                    expectedRevision(Request, Found)};
}

CommandBody putService(const CtlRequest &Request, const json &Document) {
  const std::string &Name = Request.Arguments[0];
  const auto Found = findByName<Service>(Document, "services", Name);
  Service Value = Found.value_or(Service{});
  Value.Name = Name;
  Value.Address = Request.Address.value_or(Value.Address);
  Value.ProfileName = Request.ProfileName.value_or(Value.ProfileName);
  return PutService{Value, expectedRevision(Request, Found)};
}

CommandBody buildCommandBody(const CtlRequest &Request, const json &Document) {
  const std::string &Name = Request.Arguments.at(0);
  if (Request.Action == CtlAction::ProfilePut)
    return putProfile(Request, Document);
  if (Request.Action == CtlAction::ServicePut)
    return putService(Request, Document);
  if (Request.Action == CtlAction::ProfileRemove)
    return RemoveProfile{
        Name, expectedRevision(
                  Request, findByName<Profile>(Document, "profiles", Name))};
  const Revision Expected =
      expectedRevision(Request, findUpstream(Document, Name));
  if (Request.Action == CtlAction::UpstreamForget)
    return ForgetUpstream{Name, Expected};
  return SetDrain{Name, Request.Action == CtlAction::Drain, Expected};
}

/// \returns a checksum of the action and its arguments, as hexadecimal digits.
std::string commandChecksum(const CtlRequest &Request) {
  std::string Words = absl::StrCat(static_cast<int>(Request.Action));
  for (const std::string &Argument : Request.Arguments)
    absl::StrAppend(&Words, " ", Argument);
  return absl::StrFormat("%08x", static_cast<std::uint32_t>(
                                     XXH3_64bits(Words.data(), Words.size())));
}

CtlStatus statusFor(ErrorCode Code) {
  // Ranges of error codes, see error.h.
  constexpr auto FirstMessageCode = 200;
  constexpr auto FirstCommandCode = 400;
  const auto Number = static_cast<int>(Code);
  if (Code == ErrorCode::OutcomeUnknown)
    return CtlStatus::OutcomeUnknown;
  if (Code == ErrorCode::RevisionConflict)
    return CtlStatus::Conflict;
  if (Number < FirstMessageCode)
    return CtlStatus::Settings;
  return Number < FirstCommandCode ? CtlStatus::Unreachable
                                   : CtlStatus::Refused;
}

} // namespace

std::vector<link::QueryKind> requiredQueries(const CtlRequest &Request) {
  using Kind = link::QueryKind;
  switch (Request.Action) {
  case CtlAction::Help:
  case CtlAction::Version:
  case CtlAction::EvacuationShow:
  case CtlAction::EvacuationStart:
  case CtlAction::EvacuationWithdraw:
  case CtlAction::ExplainPlacement:
    return {};
  case CtlAction::ProfilePut:
  case CtlAction::ProfileGet:
  case CtlAction::ProfileList:
  case CtlAction::ProfileRemove:
  case CtlAction::ProfileDiff:
    return {Kind::Profiles};
  case CtlAction::ServicePut:
  case CtlAction::ServiceList:
    return {Kind::Services};
  case CtlAction::UpstreamList:
    return {Kind::Services, Kind::Upstreams};
  case CtlAction::UpstreamForget:
  case CtlAction::Drain:
  case CtlAction::Undrain:
    return {Kind::Upstreams};
  case CtlAction::InForce:
    return {Kind::InForce};
  case CtlAction::Outcomes:
    return {Kind::Outcomes};
  case CtlAction::Members:
    return {Kind::Status, Kind::Members};
  case CtlAction::Status:
    return {Kind::Status};
  case CtlAction::ReportBurn:
    return {Kind::Burn};
  }
  return {};
}

void addQueryResult(json &Document, link::QueryKind Kind, const json &Answer) {
  switch (Kind) {
  case link::QueryKind::Profiles:
    Document["profiles"] = Answer;
    return;
  case link::QueryKind::Services:
    Document["services"] = Answer;
    return;
  case link::QueryKind::Upstreams:
    Document["upstreams"] = Answer;
    return;
  case link::QueryKind::Entries:
    Document["entries"] = Answer;
    return;
  case link::QueryKind::Members:
    Document["members"] = Answer;
    return;
  default:
    Document = Answer;
  }
}

Expected<Command> buildCommand(const CtlRequest &Request, const json &Document,
                               const std::string &Id) {
  try {
    return Command{Id, buildCommandBody(Request, Document)};
  } catch (const std::exception &Reason) {
    return fail(ErrorCode::MessageMalformed,
                absl::StrCat("the control host's answer is malformed: ",
                             Reason.what()));
  }
}

std::string makeCommandId(const CtlRequest &Request, const Bytes &Random) {
  std::string Id;
  for (const std::uint8_t Octet : Random)
    absl::StrAppendFormat(&Id, "%02x", Octet);
  return absl::StrCat(Id, "-", commandChecksum(Request));
}

Expected<void> checkCommandId(const CtlRequest &Request) {
  const std::string Suffix = "-" + commandChecksum(Request);
  const std::string &Id = Request.CommandId;
  if (Id.size() > Suffix.size() &&
      Id.compare(Id.size() - Suffix.size(), Suffix.size(), Suffix) == 0)
    return {};
  return fail(ErrorCode::InvalidArgument,
              "--command-id was generated for a different command");
}

CtlOutput formatDocument(const CtlRequest &Request, const json &Document) {
  try {
    return formatAnswers(Request, Document);
  } catch (const std::exception &Reason) {
    return formatFailure(
        Request, {ErrorCode::MessageMalformed,
                  absl::StrCat("the control host's answer is malformed: ",
                               Reason.what())});
  }
}

CtlOutput formatResult(const CtlRequest &Request, const std::string &Id,
                       const CommandResult &Result) {
  if (!Result.Accepted)
    return formatFailure(Request, Result.Reason);
  if (Request.Json)
    return {dump({{"accepted", true},
                  {"revision", Result.At.Number},
                  {"command_id", Id}}),
            "",
            {}};
  return {
      absl::StrCat("accepted at revision ", Result.At.Number, "\n"), "", {}};
}

CtlOutput formatFailure(const CtlRequest &Request, const Error &Reason) {
  CtlOutput Output;
  Output.Status = statusFor(Reason.Code);
  Output.ErrorText = absl::StrCat("jasminectl: ", toString(Reason), "\n");
  if (Request.Json)
    Output.Text = dump({{"error",
                         {{"code", static_cast<unsigned>(Reason.Code)},
                          {"name", name(Reason.Code)},
                          {"detail", Reason.Detail}}}});
  return Output;
}

} // namespace jasminearch::control
