#include "standins/lib/tally.h"
#include <algorithm>

namespace standins {

namespace {

void addRequest(RecordTotals &Totals, const nlohmann::json &Record) {
  ++Totals.Requests;
  const std::string Outcome = Record.at("outcome");
  Totals.Answered += Outcome == "answered" ? 1 : 0;
  Totals.NotRun += Outcome == "not_run" ? 1 : 0;
  Totals.Unknown += Outcome == "unknown" ? 1 : 0;
  Totals.WrongAnswers += Record.at("wrong").get<bool>() ? 1 : 0;
}

void addLineEvent(RecordTotals &Totals, const nlohmann::json &Record) {
  const std::string Event = Record.at("event");
  if (Event == "open")
    Totals.OpenedLines.insert(Record.at("id").get<std::string>());
  Totals.BrokenLines += Event == "broken" ? 1 : 0;
}

void addRun(RecordTotals &Totals, const nlohmann::json &Record) {
  ++Totals.RunsByAttempt[Record.at("id").get<std::string>()];
  if (!Record.at("on_line").get<bool>())
    Totals.NewWorkTimes[Record.at("upstream")].push_back(Record.at("at_ms"));
}

void endDrain(RecordTotals &Totals, const nlohmann::json &Record) {
  for (Drain &D : Totals.Drains)
    if (D.Upstream == Record.at("upstream").get<std::string>())
      D.EndMilliseconds =
          std::min(D.EndMilliseconds, Record.at("at_ms").get<std::int64_t>());
}

/// \returns the request id of an attempt id "REQUEST.NUMBER".
std::string requestIdOf(const std::string &Attempt) {
  return Attempt.substr(0, Attempt.rfind('.'));
}

} // namespace

void addRecord(RecordTotals &Totals, const nlohmann::json &Record) {
  const std::string Kind = Record.at("kind");
  if (Kind == "request")
    addRequest(Totals, Record);
  else if (Kind == "line")
    addLineEvent(Totals, Record);
  else if (Kind == "refused")
    Totals.RefusedAttempts.insert(Record.at("id").get<std::string>());
  else if (Kind == "run")
    addRun(Totals, Record);
  else if (Kind == "leaving")
    Totals.Drains.push_back({Record.at("upstream"), Record.at("at_ms")});
  else if (Kind == "returning")
    endDrain(Totals, Record);
  else if (Kind == "misdelivered")
    ++Totals.Misdelivered;
  else if (Kind == "wrong_notification")
    ++Totals.WrongAnswers;
  else if (Kind == "in_force") {
    ++Totals.InForceSamples;
    Totals.MaxInForceMilliseconds = std::max(
        Totals.MaxInForceMilliseconds, Record.at("ms").get<std::uint64_t>());
  }
}

std::uint64_t requestsRunTwice(const RecordTotals &Totals) {
  std::map<std::string, std::uint64_t> ByRequest;
  for (const auto &[Attempt, Runs] : Totals.RunsByAttempt)
    ByRequest[requestIdOf(Attempt)] += Runs;
  return static_cast<std::uint64_t>(
      std::count_if(ByRequest.begin(), ByRequest.end(),
                    [](const auto &Entry) { return Entry.second > 1; }));
}

std::uint64_t refusedAttemptsThatRan(const RecordTotals &Totals) {
  return static_cast<std::uint64_t>(
      std::count_if(Totals.RefusedAttempts.begin(),
                    Totals.RefusedAttempts.end(), [&](const std::string &Id) {
                      return Totals.RunsByAttempt.contains(Id);
                    }));
}

std::uint64_t newWorkWhileDrained(const RecordTotals &Totals) {
  std::int64_t LateCount = 0;
  for (const Drain &D : Totals.Drains) {
    const auto Found = Totals.NewWorkTimes.find(D.Upstream);
    if (Found == Totals.NewWorkTimes.end())
      continue;
    LateCount +=
        std::count_if(Found->second.begin(), Found->second.end(),
                      [&D](std::int64_t AtMilliseconds) {
                        return AtMilliseconds > D.StartMilliseconds +
                                                    DrainGraceMilliseconds &&
                               AtMilliseconds < D.EndMilliseconds;
                      });
  }
  return static_cast<std::uint64_t>(LateCount);
}

nlohmann::ordered_json summary(const RecordTotals &Totals) {
  nlohmann::ordered_json Result;
  Result["requests"] = Totals.Requests;
  Result["answered"] = Totals.Answered;
  Result["not_run"] = Totals.NotRun;
  Result["unknown"] = Totals.Unknown;
  Result["ran_twice"] = requestsRunTwice(Totals);
  Result["not_run_but_ran"] = refusedAttemptsThatRan(Totals);
  Result["misdelivered"] = Totals.Misdelivered;
  Result["lines"] = Totals.OpenedLines.size();
  Result["broken_lines_planned"] = Totals.BrokenLines;
  Result["wrong_answers"] = Totals.WrongAnswers;
  Result["work_after_leaving"] = newWorkWhileDrained(Totals);
  if (Totals.InForceSamples > 0)
    Result["config_in_force_ms_max"] = Totals.MaxInForceMilliseconds;
  else
    Result["config_in_force_ms_max"] = nullptr;
  return Result;
}

bool allPromisesHold(const RecordTotals &Totals, bool AllowBrokenLines) {
  const bool Complete =
      Totals.Requests == Totals.Answered + Totals.NotRun + Totals.Unknown;
  return Complete && Totals.Answered > 0 && requestsRunTwice(Totals) == 0 &&
         refusedAttemptsThatRan(Totals) == 0 && Totals.Misdelivered == 0 &&
         (AllowBrokenLines || Totals.BrokenLines == 0) &&
         Totals.WrongAnswers == 0 && newWorkWhileDrained(Totals) == 0;
}

} // namespace standins
