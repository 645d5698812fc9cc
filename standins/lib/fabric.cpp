#include "standins/lib/fabric.h"
#include "jasminearch/settings.h"
#include <absl/strings/numbers.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace standins {

namespace {

using jasminearch::Duration;
using jasminearch::Endpoint;
using jasminearch::TimePoint;

/// \returns a random number from 0 to less than 1. The standard distributions
/// aren't used, because their results differ between libraries.
double drawUniform(FabricState &State) {
  constexpr unsigned MantissaBits = 53;
  return static_cast<double>(State.Random() >> (64 - MantissaBits)) /
         static_cast<double>(std::uint64_t{1} << MantissaBits);
}

/// Random numbers for one copy of a datagram. All are drawn for every copy,
/// whether needed or not, so that a fault doesn't change what happens to later
/// datagrams under the same seed.
struct CopyRandomValues {
  double Entry;
  double Loss;
  double Jitter;
  double Reorder;
};

CopyRandomValues drawCopyValues(FabricState &State) {
  CopyRandomValues Result{};
  Result.Entry = drawUniform(State);
  Result.Loss = drawUniform(State);
  Result.Jitter = drawUniform(State);
  Result.Reorder = drawUniform(State);
  return Result;
}

TimePoint dueTime(FabricState &State, const CopyRandomValues &RandomValues,
                  TimePoint Now) {
  const FabricFaults &Faults = State.Faults;
  const auto Jitter = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(Faults.Jitter.count()) * RandomValues.Jitter));
  const bool Reordered = RandomValues.Reorder < Faults.Reorder;
  State.Counts.Reordered += Reordered ? 1 : 0;
  return Now + Faults.Delay + Jitter +
         (Reordered ? Faults.ReorderDelay : Duration::zero());
}

bool isCut(const FabricState &State, const Endpoint &Address) {
  return std::any_of(
      State.Entries.begin(), State.Entries.end(),
      [&](const FabricEntry &E) { return E.Cut && E.Address == Address; });
}

/// Adds a copy to \p Plan unless it is lost.
void addCopy(FabricState &State, PlannedCopies &Plan,
             const CopyRandomValues &RandomValues, const Endpoint &To,
             TimePoint Now) {
  if (RandomValues.Loss < State.Faults.Loss) {
    ++State.Counts.Lost;
    return;
  }
  Plan.Copies[Plan.Count] = {To, dueTime(State, RandomValues, Now)};
  ++Plan.Count;
}

/// Plans the copies of one datagram. \p DestinationOf maps the random numbers
/// of a copy to its destination.
template <typename DestinationFunction>
PlannedCopies planCopies(FabricState &State, TimePoint Now,
                         DestinationFunction DestinationOf) {
  const bool IsDuplicated = drawUniform(State) < State.Faults.Duplicate;
  const CopyRandomValues First = drawCopyValues(State);
  const CopyRandomValues Second = drawCopyValues(State);
  PlannedCopies Plan;
  addCopy(State, Plan, First, DestinationOf(First), Now);
  if (!IsDuplicated)
    return Plan;
  ++State.Counts.Duplicated;
  addCopy(State, Plan, Second, DestinationOf(Second), Now);
  return Plan;
}

/// Removes copies to entry hosts that are cut off, and counts them.
void dropCopiesAtCuts(FabricState &State, PlannedCopies &Plan) {
  const std::size_t Before = Plan.Count;
  const auto End = std::remove_if(
      Plan.Copies.begin(),
      Plan.Copies.begin() + static_cast<std::ptrdiff_t>(Plan.Count),
      [&](const PlannedCopy &Copy) { return isCut(State, Copy.To); });
  Plan.Count = static_cast<std::size_t>(End - Plan.Copies.begin());
  State.Counts.LostAtCut += Before - Plan.Count;
}

std::string setLoss(FabricState &State, const std::string &Argument) {
  double Share = 0;
  if (!absl::SimpleAtod(Argument, &Share) || !(Share >= 0 && Share <= 1))
    return "error: loss must be a number from 0 to 1";
  State.Faults.Loss = Share;
  return "ok";
}

std::string changeEntry(FabricState &State, const std::string &Action,
                        const Endpoint &Address) {
  auto &Entries = State.Entries;
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const FabricEntry &E) { return E.Address == Address; });
  const bool Known = Found != Entries.end();
  if (Action == "add" && Known)
    return "error: already there";
  if (Action != "add" && !Known)
    return "error: no such entry host";
  if (Action == "add")
    Entries.push_back({Address});
  else if (Action == "remove")
    Entries.erase(Found);
  else
    Found->Cut = Action == "cut";
  return "ok";
}

} // namespace

PlannedCopies planToEntries(FabricState &State, TimePoint Now) {
  ++State.Counts.FromCallers;
  if (State.Entries.empty()) {
    ++State.Counts.NoEntry;
    return {};
  }
  PlannedCopies Plan =
      planCopies(State, Now, [&](const CopyRandomValues &RandomValues) {
        const auto Count = static_cast<double>(State.Entries.size());
        return State
            .Entries[static_cast<std::size_t>(RandomValues.Entry * Count)]
            .Address;
      });
  dropCopiesAtCuts(State, Plan);
  return Plan;
}

PlannedCopies planToCaller(FabricState &State, const Endpoint &From,
                           const Endpoint &Caller, TimePoint Now) {
  ++State.Counts.FromEntries;
  if (isCut(State, From)) {
    ++State.Counts.LostAtCut;
    return {};
  }
  return planCopies(State, Now,
                    [&](const CopyRandomValues &) { return Caller; });
}

std::string runFabricCommand(FabricState &State, std::string_view Command) {
  std::istringstream Words{std::string(Command)};
  std::string Action;
  std::string Argument;
  Words >> Action >> Argument;
  if (Action == "counts")
    return toJson(State.Counts);
  if (Action == "loss")
    return setLoss(State, Argument);
  if (Action != "add" && Action != "remove" && Action != "cut" &&
      Action != "heal")
    return "error: unknown command, expected add, remove, cut, heal, loss or "
           "counts";
  const auto Address = jasminearch::parseEndpoint(Argument);
  if (!Address)
    return "error: " + jasminearch::toString(Address.error());
  return changeEntry(State, Action, *Address);
}

std::string toJson(const FabricCounts &Counts) {
  const nlohmann::ordered_json Object{
      {"from_callers", Counts.FromCallers},
      {"to_entries", Counts.ToEntries},
      {"from_entries", Counts.FromEntries},
      {"to_callers", Counts.ToCallers},
      {"lost", Counts.Lost},
      {"lost_at_cut", Counts.LostAtCut},
      {"duplicated", Counts.Duplicated},
      {"reordered", Counts.Reordered},
      {"no_entry", Counts.NoEntry},
      {"bad_header", Counts.BadHeader},
      {"unknown_source", Counts.UnknownSource},
      {"overflow", Counts.Overflow},
      {"send_failed", Counts.SendFailed},
      {"late_over_100us", Counts.SentLate},
      {"latest_us", Counts.MaxLatenessMicroseconds}};
  return Object.dump();
}

} // namespace standins
