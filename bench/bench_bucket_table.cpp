// Measures how many flows move and how even the load stays over a series of
// planned changes, compared with two baselines (modulo and rendezvous hashing).
// Then measures the time to apply commands and the size of the state for
// deployments of several sizes. Prints one JSON object a line.
#include "jasminearch/control/codec.h"
#include "jasminearch/control/state_machine.h"
#include "jasminearch/routing/bucket_table.h"
#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>
#include <xxhash.h>

using namespace jasminearch;
using namespace jasminearch::control;
using nlohmann::json;

namespace {

/// Flows per upstream at the start (docs/design.md, section 1.2).
constexpr std::size_t FlowsPerUpstream = 2'000;

/// Maximum imbalance of two deployments: one gives more weight to unbroken
/// flows, the other to an even load.
constexpr double FlowWeightedImbalance = 1.25;
constexpr double BalanceWeightedImbalance = 1.02;

std::uint64_t hash(std::uint64_t Value, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(&Value, sizeof Value, Seed);
}

// Schemes ---------------------------------------------------------------------

/// A scheme that assigns an upstream to each flow.
struct Scheme {
  std::string Name;
  /// Called after each change with the current upstreams.
  std::function<void(const std::vector<Upstream> &)> Update;
  std::function<std::uint32_t(std::uint64_t Flow)> Owner;
};

Scheme bucketScheme(const std::string &Name, double MaxImbalance) {
  auto Table = std::make_shared<BucketTable>();
  Profile Settings;
  Settings.MaxImbalance = MaxImbalance;
  return {Name,
          [=](const std::vector<Upstream> &AllUpstreams) {
            *Table = routing::rebalanceBuckets(*Table, AllUpstreams, Settings);
          },
          [=](std::uint64_t Flow) {
            return Table->Buckets[hash(Flow) % BucketsPerService].Owner.Number;
          }};
}

std::vector<std::uint32_t>
servingIds(const std::vector<Upstream> &AllUpstreams) {
  std::vector<std::uint32_t> Ids;
  for (const Upstream &U : AllUpstreams)
    if (routing::serves(U))
      Ids.push_back(U.Id.Number);
  return Ids;
}

Scheme moduloScheme() {
  auto Ids = std::make_shared<std::vector<std::uint32_t>>();
  return {"modulo",
          [=](const std::vector<Upstream> &AllUpstreams) {
            *Ids = servingIds(AllUpstreams);
          },
          [=](std::uint64_t Flow) { return (*Ids)[hash(Flow) % Ids->size()]; }};
}

Scheme rendezvousScheme() {
  auto Ids = std::make_shared<std::vector<std::uint32_t>>();
  return {"rendezvous",
          [=](const std::vector<Upstream> &AllUpstreams) {
            *Ids = servingIds(AllUpstreams);
          },
          [=](std::uint64_t Flow) {
            return *std::max_element(Ids->begin(), Ids->end(),
                                     [=](std::uint32_t A, std::uint32_t B) {
                                       return hash(Flow, A) < hash(Flow, B);
                                     });
          }};
}

// Planned changes -------------------------------------------------------------

struct Change {
  std::string Name;
  std::function<void(std::vector<Upstream> &)> ApplyTo;
};

Upstream makeUpstream(std::uint32_t Id) {
  Upstream U;
  U.Id = UpstreamId{Id};
  U.Phase = UpstreamPhase::Active;
  U.WarmUp = WarmUpSteps;
  return U;
}

Change warmUpChange(std::size_t Index, std::uint8_t Step) {
  return {"warm up " + std::to_string(Step) + "/4",
          [=](std::vector<Upstream> &AllUpstreams) {
            AllUpstreams[Index].WarmUp = Step;
            AllUpstreams[Index].Phase = Step == WarmUpSteps
                                            ? UpstreamPhase::Active
                                            : UpstreamPhase::Cold;
          }};
}

/// A drain and its end, a new upstream with its warm-up, and a restart with
/// drain, loss and warm-up.
std::vector<Change> plannedChanges(std::size_t Count) {
  const auto SetPhase = [](std::size_t Index, UpstreamPhase Phase) {
    return [=](std::vector<Upstream> &AllUpstreams) {
      AllUpstreams[Index].Phase = Phase;
    };
  };
  std::vector<Change> Changes{{"drain", SetPhase(0, UpstreamPhase::Draining)},
                              {"undrain", SetPhase(0, UpstreamPhase::Active)},
                              {"add", [=](std::vector<Upstream> &AllUpstreams) {
                                 AllUpstreams.push_back(makeUpstream(
                                     static_cast<std::uint32_t>(Count + 1)));
                                 AllUpstreams.back().Phase =
                                     UpstreamPhase::Cold;
                                 AllUpstreams.back().WarmUp = 1;
                               }}};
  for (std::uint8_t Step = 2; Step <= WarmUpSteps; ++Step)
    Changes.push_back(warmUpChange(Count, Step));
  Changes.push_back({"restart: drain", SetPhase(1, UpstreamPhase::Draining)});
  Changes.push_back({"restart: stop", SetPhase(1, UpstreamPhase::Lost)});
  for (std::uint8_t Step = 1; Step <= WarmUpSteps; ++Step)
    Changes.push_back(warmUpChange(1, Step));
  return Changes;
}

/// Owner of each flow under one scheme.
struct FlowOwners {
  std::vector<std::uint32_t> Owners;

  /// Reads the owners of all flows from \p Tested.
  /// \returns the number of flows whose owner changed.
  std::size_t update(const Scheme &Tested, std::size_t Flows) {
    std::vector<std::uint32_t> Next(Flows);
    std::size_t Moved = 0;
    for (std::size_t Flow = 0; Flow < Flows; ++Flow) {
      Next[Flow] = Tested.Owner(Flow);
      Moved += !Owners.empty() && Owners[Flow] != Next[Flow] ? 1 : 0;
    }
    Owners = std::move(Next);
    return Moved;
  }

  double imbalance(std::size_t ServingCount) const {
    std::map<std::uint32_t, std::size_t> Load;
    for (const std::uint32_t Owner : Owners)
      ++Load[Owner];
    std::size_t Busiest = 0;
    for (const auto &[Owner, Count] : Load)
      Busiest = std::max(Busiest, Count);
    return static_cast<double>(Busiest * ServingCount) /
           static_cast<double>(Owners.size());
  }
};

void measureChanges(std::size_t Count, const Scheme &Tested) {
  std::vector<Upstream> AllUpstreams;
  for (std::uint32_t Id = 1; Id <= Count; ++Id)
    AllUpstreams.push_back(makeUpstream(Id));
  const std::size_t Flows = Count * FlowsPerUpstream;
  FlowOwners Current;
  Tested.Update(AllUpstreams);
  Current.update(Tested, Flows);
  std::size_t TotalMoved = 0;
  double WorstImbalance = Current.imbalance(Count);
  const auto Print = [&](const std::string &Name, std::size_t Moved,
                         double Imbalance) {
    std::cout << json{{"bench", "changes"},
                      {"upstreams", Count},
                      {"scheme", Tested.Name},
                      {"change", Name},
                      {"moved_share",
                       static_cast<double>(Moved) / static_cast<double>(Flows)},
                      {"busiest_over_mean", Imbalance}}
              << "\n";
  };
  Print("start", 0, WorstImbalance);
  for (const Change &Next : plannedChanges(Count)) {
    Next.ApplyTo(AllUpstreams);
    Tested.Update(AllUpstreams);
    const std::size_t Moved = Current.update(Tested, Flows);
    const double Imbalance = Current.imbalance(servingIds(AllUpstreams).size());
    TotalMoved += Moved;
    WorstImbalance = std::max(WorstImbalance, Imbalance);
    Print(Next.Name, Moved, Imbalance);
  }
  Print("all changes (sum, worst)", TotalMoved, WorstImbalance);
}

// Scale -----------------------------------------------------------------------

UpstreamAnnouncement makeAnnouncement(std::size_t I, std::size_t Services,
                                      std::uint64_t Run) {
  const auto Port = static_cast<std::uint16_t>(1024 + I % 60'000);
  return {"upstream-" + std::to_string(I),
          "service-" + std::to_string(I % Services),
          "centre-" + std::to_string(I % 4),
          {0x0A000000U + static_cast<std::uint32_t>(I), Port},
          7,
          Run};
}

/// A deployment built by its commands, with all upstreams active.
struct Deployment {
  State S;
  std::uint64_t LastRevision = 0;

  void commit(const CommandBody &Body) {
    apply(S, {"", Body}, Revision{++LastRevision});
  }

  Deployment(std::size_t Services, std::size_t Upstreams) {
    Profile Settings;
    Settings.Name = "default";
    commit(PutProfile{Settings, {}});
    for (std::size_t I = 0; I < Services; ++I)
      commit(PutService{{{},
                         "service-" + std::to_string(I),
                         {0x0B000000U + static_cast<std::uint32_t>(I), 5683},
                         "default",
                         {}},
                        {}});
    for (std::size_t I = 0; I < Upstreams; ++I) {
      commit(AnnounceUpstream{makeAnnouncement(I, Services, 1)});
      const auto Id = UpstreamId{S.NextUpstream - 1};
      commit(ActivateUpstream{Id, S.Config.Upstreams.at(Id).Instance});
    }
  }
};

std::size_t heapBytes() { return mallinfo2().uordblks; }

double microseconds(std::chrono::steady_clock::duration D) {
  return std::chrono::duration<double, std::micro>(D).count();
}

/// Applies the command of \p MakeCommand to many upstreams and prints the
/// median and the 99th percentile of the time.
void measureApply(
    Deployment &D, const std::string &Name,
    const std::function<CommandBody(const Upstream &)> &MakeCommand) {
  constexpr std::size_t Samples = 2'000;
  std::vector<double> Times;
  for (std::size_t I = 0; I < Samples; ++I) {
    const auto Step = D.S.Config.Upstreams.size() / Samples;
    const auto Id = UpstreamId{static_cast<std::uint32_t>(1 + I * Step)};
    const Command C{"bench-" + Name + std::to_string(I),
                    MakeCommand(D.S.Config.Upstreams.at(Id))};
    const auto Start = std::chrono::steady_clock::now();
    const CommandResult Result = apply(D.S, C, Revision{++D.LastRevision});
    Times.push_back(microseconds(std::chrono::steady_clock::now() - Start));
    if (!Result.Accepted) {
      std::cerr << toString(Result.Reason) << "\n";
      return;
    }
  }
  std::sort(Times.begin(), Times.end());
  std::cout << json{{"bench", "apply"},
                    {"command", Name},
                    {"services", D.S.Config.Services.size()},
                    {"upstreams", D.S.Config.Upstreams.size()},
                    {"median_us", Times[Samples / 2]},
                    {"p99_us", Times[Samples * 99 / 100]}}
            << "\n";
}

void measureAllApplies() {
  Deployment D(4'400, 30'000);
  measureApply(D, "drain", [](const Upstream &U) {
    return SetDrain{U.Name, true, U.Changed};
  });
  measureApply(D, "undrain", [](const Upstream &U) {
    return SetDrain{U.Name, false, U.Changed};
  });
  measureApply(D, "retire", [](const Upstream &U) {
    return RetireUpstream{U.Id, U.Instance};
  });
  measureApply(D, "announce", [](const Upstream &U) {
    return AnnounceUpstream{makeAnnouncement(U.Id.Number - 1, 4'400, 2)};
  });
  measureApply(D, "warm up", [](const Upstream &U) {
    return AdvanceWarmUp{U.Id, U.Instance, 2};
  });
  measureApply(D, "activate", [](const Upstream &U) {
    return ActivateUpstream{U.Id, U.Instance};
  });
  Profile Settings = D.S.Config.Profiles.at("default");
  Settings.MaxImbalance = 1.01;
  const auto Start = std::chrono::steady_clock::now();
  apply(D.S, {"", PutProfile{Settings, Settings.Changed}},
        Revision{++D.LastRevision});
  std::cout << json{{"bench", "apply"},
                    {"command", "change of a profile that all services use"},
                    {"services", D.S.Config.Services.size()},
                    {"upstreams", D.S.Config.Upstreams.size()},
                    {"us",
                     microseconds(std::chrono::steady_clock::now() - Start)}}
            << "\n";
}

void measureSize(std::size_t Services, std::size_t Upstreams) {
  const std::size_t HeapBefore = heapBytes();
  const Deployment D(Services, Upstreams);
  const std::size_t StateBytes = heapBytes() - HeapBefore;
  const auto Start = std::chrono::steady_clock::now();
  const Bytes EncodedState = encodeState(D.S);
  const auto EncodeEnd = std::chrono::steady_clock::now();
  const bool Decodes = decodeState(EncodedState).has_value();
  const auto DecodeEnd = std::chrono::steady_clock::now();
  std::cout << json{{"bench", "size"},
                    {"services", Services},
                    {"upstreams", Upstreams},
                    {"memory_bytes", StateBytes},
                    {"encoded_bytes", EncodedState.size()},
                    {"encode_ms", microseconds(EncodeEnd - Start) / 1000},
                    {"decode_ms", microseconds(DecodeEnd - EncodeEnd) / 1000},
                    {"decodes", Decodes}}
            << "\n";
}

} // namespace

int main() {
  for (const std::size_t Count : {7, 3})
    for (const Scheme &Tested :
         {bucketScheme("buckets, flow-weighted", FlowWeightedImbalance),
          bucketScheme("buckets, balance-weighted", BalanceWeightedImbalance),
          moduloScheme(), rendezvousScheme()})
      measureChanges(Count, Tested);
  measureAllApplies();
  measureSize(4, 20);
  measureSize(40, 270);
  measureSize(400, 2'700);
  measureSize(1'300, 9'000);
  measureSize(4'400, 30'000);
}
