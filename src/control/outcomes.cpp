#include "jasminearch/control/outcomes.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <set>
#include <utility>

namespace jasminearch::control {

using nlohmann::json;

namespace {

/// Ids of former runs that are remembered for each host.
constexpr std::size_t FormerRunsKept = 256;

bool isZero(const EventTotals &T) { return T == EventTotals{}; }

void add(EventTotals &Sum, const EventTotals &More) {
  Sum.Held += More.Held;
  Sum.Broken += More.Broken;
  Sum.Unknown += More.Unknown;
}

std::uint64_t raise(std::uint64_t &Known, std::uint64_t Reported) {
  const std::uint64_t Added = Reported > Known ? Reported - Known : 0;
  Known += Added;
  return Added;
}

/// Keeps evidence short and printable, because it comes from another process
/// and goes to terminals and JSON.
std::string printable(const std::string &Text) {
  std::string Kept = Text.substr(0, MaxEvidenceLength);
  std::replace_if(
      Kept.begin(), Kept.end(), [](char C) { return C < ' ' || C > '~'; }, '?');
  return Kept;
}

/// Adds the counts of a run that no sum has yet.
template <typename Sums> void addRun(Sums &&SumOf, const RunCounts &Run) {
  for (const auto &[Key, Totals] : Run.Counts) {
    EventTotals Rest = Totals;
    if (const auto At = Run.Excluded.find(Key); At != Run.Excluded.end()) {
      Rest.Held -= At->second.Held;
      Rest.Broken -= At->second.Broken;
      Rest.Unknown -= At->second.Unknown;
    }
    add(SumOf(Key), Rest);
  }
}

/// Moves the oldest run into the sum of former runs.
void foldOldestRun(HostOutcomes &Host) {
  addRun(
      [&](const OutcomeKey &Key) -> auto & { return Host.Former[Key]; },
      Host.Runs.front());
  Host.FormerRuns.push_back(Host.Runs.front().RunId);
  Host.Runs.pop_front();
  while (Host.FormerRuns.size() > FormerRunsKept)
    Host.FormerRuns.pop_front();
}

/// \returns the counts of the run, or null if they are no longer kept apart.
RunCounts *findRun(HostOutcomes &Host, std::uint64_t RunId) {
  for (RunCounts &Run : Host.Runs)
    if (Run.RunId == RunId)
      return &Run;
  if (std::find(Host.FormerRuns.begin(), Host.FormerRuns.end(), RunId) !=
      Host.FormerRuns.end())
    return nullptr;
  Host.Runs.push_back({RunId, {}, {}});
  if (Host.Runs.size() > RunsKeptApart)
    foldOldestRun(Host);
  return &Host.Runs.back();
}

/// Departed hosts that are remembered.
constexpr std::size_t DepartedRunsKept = 16'384;

void foldHost(OutcomeStore &Reports, const std::string &Name,
              const HostOutcomes &Host) {
  for (const auto &[Key, Totals] : Host.Former)
    add(Reports.Departed[Key], Totals);
  for (const RunCounts &Run : Host.Runs) {
    addRun(
        [&](const OutcomeKey &Key) -> auto & { return Reports.Departed[Key]; },
        Run);
    Reports.DepartedRuns.emplace_back(Name, Run.RunId);
  }
  while (Reports.DepartedRuns.size() > DepartedRunsKept)
    Reports.DepartedRuns.pop_front();
}

} // namespace

const char *name(Promise Which) {
  switch (Which) {
  case Promise::LinesSurvive:
    return "lines survive";
  case Promise::NoMisdelivery:
    return "no misdelivery";
  case Promise::WholeAnswers:
    return "whole answers";
  case Promise::NotRunIsTrue:
    return "not run is true";
  case Promise::AtMostOnce:
    return "at most once";
  case Promise::NoWorkWhenLeaving:
    return "no work when leaving";
  case Promise::GracefulStop:
    return "graceful stop";
  case Promise::ConfigurationHolds:
    return "configuration holds";
  }
  return "unknown promise";
}

const char *name(Verdict Which) {
  switch (Which) {
  case Verdict::Held:
    return "held";
  case Verdict::Broken:
    return "broken";
  case Verdict::Unknown:
    return "unknown";
  case Verdict::CantTell:
    return "can't tell";
  case Verdict::NoEvents:
    return "no events";
  }
  return "unknown verdict";
}

std::vector<OutcomeIncrement> recordOutcomeReport(OutcomeStore &Reports,
                                                  const OutcomeReport &Report,
                                                  TimePoint Now) {
  const bool Known = Reports.Hosts.count(Report.Host) != 0;
  const bool Returned =
      std::find(Reports.DepartedRuns.begin(), Reports.DepartedRuns.end(),
                std::pair(Report.Host, Report.RunId)) !=
      Reports.DepartedRuns.end();
  HostOutcomes &Host = Reports.Hosts[Report.Host];
  Host.LastReport = Now;
  RunCounts *Run = findRun(Host, Report.RunId);
  const bool Baseline =
      !Known && (Returned || Now - Reports.Since < BaselinePeriod);
  std::vector<OutcomeIncrement> Increments;
  if (Run == nullptr)
    return Increments;
  for (const PromiseCount &Count : Report.Counts) {
    const OutcomeKey Key{Count.Service, Count.Which};
    EventTotals &Latest = Run->Counts[Key];
    const EventTotals Added{raise(Latest.Held, Count.Held),
                            raise(Latest.Broken, Count.Broken),
                            raise(Latest.Unknown, Count.Unknown)};
    if (!isZero(Added) && !Baseline)
      Increments.push_back({Key, Added});
    if (!Known && Returned)
      Run->Excluded[Key] = Latest;
    if (Added.Broken + Added.Unknown > 0)
      Host.Evidence[Key] = printable(Count.Evidence);
  }
  return Increments;
}

void mergeDepartedHosts(OutcomeStore &Reports, const Configuration &Config,
                        TimePoint Now) {
  std::set<std::string> Listed;
  for (const auto &[Id, U] : Config.Upstreams)
    Listed.insert(U.Name);
  for (const auto &[Name, Entry] : Config.Entries)
    Listed.insert(Name);
  for (auto At = Reports.Hosts.begin(); At != Reports.Hosts.end();) {
    const HostOutcomes &Host = At->second;
    if (Listed.count(At->first) != 0 || Now - Host.LastReport < DepartedAfter) {
      ++At;
      continue;
    }
    foldHost(Reports, At->first, Host);
    At = Reports.Hosts.erase(At);
  }
}

// Summary ---------------------------------------------------------------------

namespace {

/// \returns why nothing is known about a host, or an empty text.
std::string silence(const OutcomeStore &Reports, const std::string &Name,
                    bool Listed, TimePoint Now) {
  const std::string Prefix = Listed ? "" : "lost; ";
  const auto At = Reports.Hosts.find(Name);
  if (At == Reports.Hosts.end())
    return Prefix + "never reported";
  const auto Age = std::chrono::duration_cast<std::chrono::seconds>(
      Now - At->second.LastReport);
  if (Age <= ReportAgeLimit)
    return "";
  return absl::StrCat(Prefix, "last report ", Age.count(), " s ago");
}

std::vector<SilentHost> silentHosts(const OutcomeStore &Reports,
                                    const Configuration &Config,
                                    TimePoint Now) {
  std::vector<SilentHost> Silent;
  for (const auto &[Name, Entry] : Config.Entries)
    if (auto Reason = silence(Reports, Name, Entry.Alive, Now); !Reason.empty())
      Silent.push_back({Name, ServiceId{}, std::move(Reason)});
  for (const auto &[Id, U] : Config.Upstreams) {
    const bool Live = U.Phase != UpstreamPhase::Lost;
    if (auto Reason = silence(Reports, U.Name, Live, Now); !Reason.empty())
      Silent.push_back({U.Name, U.Service, std::move(Reason)});
  }
  return Silent;
}

/// Totals and evidence of one service and promise over all hosts.
struct Gathered {
  EventTotals Totals;
  std::vector<std::string> Evidence;
};

std::map<OutcomeKey, Gathered> gather(const OutcomeStore &Reports) {
  std::map<OutcomeKey, Gathered> All;
  for (const auto &[Key, Totals] : Reports.Departed)
    add(All[Key].Totals, Totals);
  for (const auto &[Name, Host] : Reports.Hosts) {
    for (const auto &[Key, Totals] : Host.Former)
      add(All[Key].Totals, Totals);
    for (const RunCounts &Run : Host.Runs)
      addRun(
          [&](const OutcomeKey &Key) -> auto & { return All[Key].Totals; },
          Run);
    for (const auto &[Key, Text] : Host.Evidence)
      if (All[Key].Evidence.size() < EvidencePerPromise)
        All[Key].Evidence.push_back(
            absl::StrCat(Name, ": ", Text.empty() ? "no details" : Text));
  }
  return All;
}

Verdict judge(const EventTotals &Totals, std::size_t SilentHosts) {
  if (Totals.Broken > 0)
    return Verdict::Broken;
  if (Totals.Unknown > 0)
    return Verdict::Unknown;
  if (SilentHosts > 0)
    return Verdict::CantTell;
  return Totals.Held > 0 ? Verdict::Held : Verdict::NoEvents;
}

/// Number of silent hosts by service; zero holds the entry hosts.
std::map<ServiceId, std::size_t>
countSilent(const std::vector<SilentHost> &Silent) {
  std::map<ServiceId, std::size_t> Counts;
  for (const SilentHost &Host : Silent)
    ++Counts[Host.Service];
  return Counts;
}

} // namespace

OutcomeSummary summarizeOutcomes(const OutcomeStore &Reports,
                                 const Configuration &Config, TimePoint Now) {
  OutcomeSummary Summary;
  Summary.At = Config.InForce;
  Summary.Silent = silentHosts(Reports, Config, Now);
  auto Silent = countSilent(Summary.Silent);
  const std::size_t SilentEntries = Silent[ServiceId{}];
  auto All = gather(Reports);

  const auto Report = [&](ServiceId Id, const std::string &Name,
                          std::size_t SilentHosts) {
    for (const Promise Which : AllPromises) {
      Gathered &Found = All[{Id, Which}];
      Summary.Promises.push_back({Id, Name, Which,
                                  judge(Found.Totals, SilentHosts),
                                  Found.Totals, SilentHosts, Found.Evidence});
    }
  };
  // Events of no service may be seen by any host.
  Report(ServiceId{}, "-", Summary.Silent.size());
  std::set<ServiceId> Removed;
  for (const auto &[Key, Found] : All)
    if (Key.Service.Number != 0 && Config.Services.count(Key.Service) == 0)
      Removed.insert(Key.Service);
  for (const auto &[Id, Value] : Config.Services)
    Report(Id, Value.Name, Silent[Id] + SilentEntries);
  for (const ServiceId Id : Removed)
    Report(Id, absl::StrCat("#", Id.Number), SilentEntries);
  return Summary;
}

// Text ------------------------------------------------------------------------

std::string headline(const OutcomeSummary &Summary) {
  std::map<Verdict, std::size_t> Counts;
  for (const PromiseOutcome &P : Summary.Promises)
    ++Counts[P.Result];
  std::vector<std::string> Parts;
  for (const PromiseOutcome &P : Summary.Promises)
    if (P.Result == Verdict::Broken) {
      Parts.push_back(absl::StrCat(Counts[Verdict::Broken], " broken, first: ",
                                   P.ServiceName, ", ", name(P.Which)));
      break;
    }
  if (Counts[Verdict::Unknown] > 0)
    Parts.push_back(absl::StrCat(Counts[Verdict::Unknown], " unknown"));
  if (!Summary.Silent.empty())
    Parts.push_back(
        absl::StrCat("can't tell for ", Summary.Silent.size(),
                     " hosts, first: ", Summary.Silent.front().Host));
  if (Parts.empty())
    return "Nothing needs a person: no promise broke and all hosts report.";
  std::string Line = "Needs a person: ";
  for (std::size_t I = 0; I < Parts.size(); ++I)
    absl::StrAppend(&Line, I == 0 ? "" : "; ", Parts[I]);
  return Line + ".";
}

std::string formatTable(const OutcomeSummary &Summary) {
  std::string Text = headline(Summary) + "\n\n";
  absl::StrAppendFormat(&Text, "%-20s %-21s %-10s %12s %8s %8s %7s\n",
                        "SERVICE", "PROMISE", "OUTCOME", "HELD", "BROKEN",
                        "UNKNOWN", "SILENT");
  for (const PromiseOutcome &P : Summary.Promises) {
    absl::StrAppendFormat(&Text, "%-20s %-21s %-10s %12u %8u %8u %7u\n",
                          P.ServiceName, name(P.Which), name(P.Result),
                          P.Totals.Held, P.Totals.Broken, P.Totals.Unknown,
                          P.SilentHosts);
    for (const std::string &Evidence : P.Evidence)
      absl::StrAppend(&Text, "    ", Evidence, "\n");
  }
  if (!Summary.Silent.empty())
    Text += "\nCan't tell for these hosts:\n";
  for (const SilentHost &Host : Summary.Silent)
    absl::StrAppend(&Text, "    ", Host.Host, ": ", Host.Reason, "\n");
  return Text;
}

// JSON ------------------------------------------------------------------------

void to_json(json &Out, const SilentHost &V) {
  Out = {{"host", V.Host}, {"service", V.Service.Number}, {"reason", V.Reason}};
}

void from_json(const json &In, SilentHost &V) {
  In.at("host").get_to(V.Host);
  In.at("service").get_to(V.Service.Number);
  In.at("reason").get_to(V.Reason);
}

static void to_json(json &Out, const PromiseOutcome &V) {
  Out = {{"service", V.Service.Number},
         {"service_name", V.ServiceName},
         {"promise", static_cast<unsigned>(V.Which)},
         {"promise_name", name(V.Which)},
         {"verdict", static_cast<unsigned>(V.Result)},
         {"verdict_name", name(V.Result)},
         {"held", V.Totals.Held},
         {"broken", V.Totals.Broken},
         {"unknown", V.Totals.Unknown},
         {"silent_hosts", V.SilentHosts},
         {"evidence", V.Evidence}};
}

static void from_json(const json &In, PromiseOutcome &V) {
  In.at("service").get_to(V.Service.Number);
  In.at("service_name").get_to(V.ServiceName);
  V.Which = static_cast<Promise>(In.at("promise").get<std::uint8_t>());
  V.Result = static_cast<Verdict>(In.at("verdict").get<std::uint8_t>());
  In.at("held").get_to(V.Totals.Held);
  In.at("broken").get_to(V.Totals.Broken);
  In.at("unknown").get_to(V.Totals.Unknown);
  In.at("silent_hosts").get_to(V.SilentHosts);
  In.at("evidence").get_to(V.Evidence);
}

void to_json(json &Out, const OutcomeSummary &V) {
  Out = {{"headline", headline(V)},
         {"revision", V.At.Number},
         {"promises", V.Promises},
         {"silent", V.Silent}};
}

void from_json(const json &In, OutcomeSummary &V) {
  In.at("revision").get_to(V.At.Number);
  In.at("promises").get_to(V.Promises);
  In.at("silent").get_to(V.Silent);
}

} // namespace jasminearch::control
