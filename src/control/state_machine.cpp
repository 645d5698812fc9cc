#include "jasminearch/control/state_machine.h"
#include "jasminearch/routing/bucket_table.h"
#include <algorithm>
#include <cctype>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace jasminearch::control {

using namespace std::chrono_literals;

namespace {

using Check = Expected<void>;

// Ranges of the profile fields. A request must end before its permit record is
// dropped (247 s, EXCHANGE_LIFETIME of RFC 7252), hence the longest deadline.
constexpr double LowestImbalance = 1.0;
constexpr double HighestImbalance = 100.0;
constexpr auto ShortestDeadline = 10ms;
constexpr auto LongestDeadline = 240'000ms;
constexpr auto LongestColdStart = 600'000ms;
constexpr auto ShortestLineIdle = 1'000ms;
constexpr auto LongestLineIdle = 7 * 24 * 3'600'000ms;
constexpr std::uint32_t MostSlots = 65'536;

Check refuse(ErrorCode Code, std::string Detail) {
  return fail(Code, std::move(Detail));
}

// Names -----------------------------------------------------------------------

bool validNameCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '-' ||
         C == '_' || C == '.';
}

Check checkName(const char *What, std::string_view Name) {
  const bool Fits = !Name.empty() && Name.size() <= MaxNameLength;
  if (Fits && std::all_of(Name.begin(), Name.end(), validNameCharacter))
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(What) + " must have 1 to " +
                    std::to_string(MaxNameLength) +
                    " letters, digits, '-', '_' or '.'; it has " +
                    std::to_string(Name.size()) + " characters");
}

Check checkEndpoint(const char *What, const Endpoint &E) {
  if (E.Address != 0 && E.Port != 0)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(What) + " must have an address and a port, not " +
                    toString(E));
}

// Profile fields --------------------------------------------------------------

std::string number(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(std::max(Text.find_last_not_of('0') + 1, Text.find('.') + 2));
  return Text;
}

/// Refuses NaN too, because every comparison with it is false.
Check checkRange(const char *Field, double Value, double Low, double High) {
  if (Value >= Low && Value <= High)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(Field) + " must be from " + number(Low) + " to " +
                    number(High) + ", not " + number(Value));
}

Check checkTime(const char *Field, std::chrono::milliseconds Value,
                std::chrono::milliseconds Low, std::chrono::milliseconds High) {
  if (Value >= Low && Value <= High)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(Field) + " must be from " +
                    std::to_string(Low.count()) + " ms to " +
                    std::to_string(High.count()) + " ms, not " +
                    std::to_string(Value.count()) + " ms");
}

Check firstFailure(std::initializer_list<Check> Checks) {
  for (const Check &C : Checks)
    if (!C)
      return C;
  return {};
}

Check checkProfile(const Profile &P) {
  return firstFailure({
      checkName("profile name", P.Name),
      checkRange("max_imbalance", P.MaxImbalance, LowestImbalance,
                 HighestImbalance),
      checkTime("deadline", P.Deadline, ShortestDeadline, LongestDeadline),
      checkTime("cold_start", P.ColdStart, 0ms, LongestColdStart),
      checkTime("line_idle_limit", P.LineIdleLimit, ShortestLineIdle,
                LongestLineIdle),
      checkRange("retry_budget", P.RetryBudget, 0, 1),
      checkRange("objectives.answered", P.Targets.Answered, 0, 1),
      checkRange("objectives.lines_whole", P.Targets.LinesWhole, 0, 1),
      checkRange("objectives.within_deadline", P.Targets.WithinDeadline, 0, 1),
  });
}

// Revisions -------------------------------------------------------------------

Check checkRevision(const std::string &Object, Revision Expected,
                    Revision Changed, Revision At) {
  if (Expected == Changed)
    return {};
  const std::string Detail = Object + " is at revision " +
                             std::to_string(Changed.Number) + ", not " +
                             std::to_string(Expected.Number);
  const bool Future = Expected >= At;
  return refuse(Future ? ErrorCode::RevisionFromFuture
                       : ErrorCode::RevisionConflict,
                Detail);
}

template <typename Map, typename Key>
auto *lookUp(Map &Objects, const Key &Name) {
  const auto At = Objects.find(Name);
  return At == Objects.end() ? nullptr : &At->second;
}

// Bucket tables ---------------------------------------------------------------

/// \returns the upstreams of a service that may own or hold something.
std::vector<Upstream> upstreamsOf(const State &S, ServiceId Id) {
  std::vector<Upstream> Found;
  const auto *Ids = lookUp(S.Index.UpstreamsByService, Id);
  if (Ids == nullptr)
    return Found;
  for (const UpstreamId Id : *Ids) {
    const Upstream &U = S.Config.Upstreams.at(Id);
    if (U.Phase != UpstreamPhase::Lost)
      Found.push_back(U);
  }
  return Found;
}

/// Brings the table of a service up to date with its upstreams and profile.
void rebalance(State &S, ServiceId Id, Revision At) {
  BucketTable &Table = S.Config.Tables.at(Id);
  const Service &Owner = S.Config.Services.at(Id);
  const Profile &P = S.Config.Profiles.at(Owner.ProfileName);
  BucketTable Next = routing::rebalanceBuckets(Table, upstreamsOf(S, Id), P);
  if (Next.Buckets == Table.Buckets)
    return;
  Next.Changed = At;
  Table = std::move(Next);
}

// Removal of lost hosts -------------------------------------------------------

auto &lostSet(StateIndex &Index, const Upstream &U) {
  return U.DrainOrdered ? Index.LostWhileDrained : Index.Lost;
}

/// Removes an upstream from the configuration. Its table must not name it any
/// more, or must be rebalanced next.
void forgetUpstream(State &S, UpstreamId Id) {
  const Upstream U = S.Config.Upstreams.at(Id);
  lostSet(S.Index, U).erase({U.Changed, Id});
  S.Index.UpstreamsByName.erase(U.Name);
  const auto Siblings = S.Index.UpstreamsByService.find(U.Service);
  Siblings->second.erase(Id);
  if (Siblings->second.empty())
    S.Index.UpstreamsByService.erase(Siblings);
  S.RunIds.erase(U.Name);
  S.Config.Upstreams.erase(Id);
}

void forgetEntry(State &S, const std::string &Name) {
  const EntryHost &E = S.Config.Entries.at(Name);
  S.Index.LostEntries.erase({E.Changed, Name});
  S.RunIds.erase(Name);
  S.Config.Entries.erase(Name);
}

void trimLost(State &S) {
  for (auto *Lost : {&S.Index.Lost, &S.Index.LostWhileDrained})
    while (Lost->size() > LostUpstreamsKept)
      forgetUpstream(S, Lost->begin()->second);
  while (S.Index.LostEntries.size() > LostEntriesKept)
    forgetEntry(S, std::string(S.Index.LostEntries.begin()->second));
}

// Profiles --------------------------------------------------------------------

Check decide(State &S, const PutProfile &C, Revision At) {
  if (Check Valid = checkProfile(C.Value); !Valid)
    return Valid;
  Profile *Present = lookUp(S.Config.Profiles, C.Value.Name);
  const std::string Object = "profile " + C.Value.Name;
  if (Present == nullptr && C.Expected.Number != 0)
    return refuse(ErrorCode::UnknownProfile, Object + " doesn't exist");
  if (Present != nullptr && C.Expected.Number == 0)
    return refuse(ErrorCode::AlreadyExists,
                  Object + " exists, at revision " +
                      std::to_string(Present->Changed.Number));
  if (Present != nullptr)
    if (Check Valid = checkRevision(Object, C.Expected, Present->Changed, At);
        !Valid)
      return Valid;

  const bool Moves =
      Present != nullptr && Present->MaxImbalance != C.Value.MaxImbalance;
  Profile &Stored = S.Config.Profiles[C.Value.Name];
  Stored = C.Value;
  Stored.Changed = At;
  S.Config.InForce = At;
  if (Moves)
    if (const auto *Users = lookUp(S.Index.ServicesByProfile, C.Value.Name))
      for (const ServiceId Id : *Users)
        rebalance(S, Id, At);
  return {};
}

Check decide(State &S, const RemoveProfile &C, Revision At) {
  const Profile *Present = lookUp(S.Config.Profiles, C.Name);
  if (Present == nullptr)
    return refuse(ErrorCode::UnknownProfile,
                  "profile " + C.Name + " doesn't exist");
  if (Check Valid =
          checkRevision("profile " + C.Name, C.Expected, Present->Changed, At);
      !Valid)
    return Valid;
  const auto *Users = lookUp(S.Index.ServicesByProfile, C.Name);
  if (Users != nullptr && !Users->empty())
    return refuse(ErrorCode::InUse,
                  "profile " + C.Name + " is used by " +
                      std::to_string(Users->size()) +
                      " services, one of them " +
                      S.Config.Services.at(*Users->begin()).Name);
  S.Config.Profiles.erase(C.Name);
  S.Config.InForce = At;
  return {};
}

// Services --------------------------------------------------------------------

/// Checks what holds for new and changed services alike.
Check checkService(const State &S, const Service &Value,
                   std::optional<ServiceId> Present) {
  if (Check Valid =
          firstFailure({checkName("service name", Value.Name),
                        checkEndpoint("service address", Value.Address)});
      !Valid)
    return Valid;
  if (S.Config.Profiles.count(Value.ProfileName) == 0)
    return refuse(ErrorCode::UnknownProfile,
                  "profile " + Value.ProfileName + " doesn't exist");
  const auto *User = lookUp(S.Index.ServicesByAddress, Value.Address);
  if (User != nullptr && Present != *User)
    return refuse(ErrorCode::AlreadyExists,
                  toString(Value.Address) + " is the address of service " +
                      S.Config.Services.at(*User).Name);
  if (Value.Id.Number != 0 && Present != Value.Id)
    return refuse(ErrorCode::InvalidArgument,
                  "the control hosts assign ids; service " + Value.Name +
                      " doesn't have id " + std::to_string(Value.Id.Number));
  return {};
}

void indexService(StateIndex &Index, const Service &Value) {
  Index.ServicesByName[Value.Name] = Value.Id;
  Index.ServicesByAddress[Value.Address] = Value.Id;
  Index.ServicesByProfile[Value.ProfileName].insert(Value.Id);
}

void unindexService(StateIndex &Index, const Service &Value) {
  Index.ServicesByAddress.erase(Value.Address);
  const auto Users = Index.ServicesByProfile.find(Value.ProfileName);
  Users->second.erase(Value.Id);
  if (Users->second.empty())
    Index.ServicesByProfile.erase(Users);
}

Check decide(State &S, const PutService &C, Revision At) {
  const ServiceId *Id = lookUp(S.Index.ServicesByName, C.Value.Name);
  const std::string Object = "service " + C.Value.Name;
  if (Check Valid = checkService(
          S, C.Value, Id == nullptr ? std::nullopt : std::optional(*Id));
      !Valid)
    return Valid;
  if (Id == nullptr && C.Expected.Number != 0)
    return refuse(ErrorCode::UnknownService, Object + " doesn't exist");
  if (Id != nullptr && C.Expected.Number == 0)
    return refuse(ErrorCode::AlreadyExists,
                  Object + " exists, at revision " +
                      std::to_string(S.Config.Services.at(*Id).Changed.Number));
  if (Id != nullptr)
    if (Check Valid = checkRevision(Object, C.Expected,
                                    S.Config.Services.at(*Id).Changed, At);
        !Valid)
      return Valid;
  if (Id == nullptr && S.NextService == 0)
    return refuse(ErrorCode::InvalidArgument, "all service ids are used");

  Service Stored = C.Value;
  Stored.Changed = At;
  if (Id != nullptr) {
    Stored.Id = *Id;
    unindexService(S.Index, S.Config.Services.at(*Id));
  } else {
    Stored.Id = ServiceId{S.NextService++};
    S.Config.Tables[Stored.Id] = {Stored.Id,
                                  std::vector<Bucket>(BucketsPerService), At};
  }
  indexService(S.Index, Stored);
  S.Config.Services[Stored.Id] = Stored;
  S.Config.InForce = At;
  rebalance(S, Stored.Id, At);
  return {};
}

// Upstreams -------------------------------------------------------------------

/// Finds an upstream that the command's sender saw at \p Instance.
Expected<Upstream *> findInstance(State &S, UpstreamId Id,
                                  Incarnation Instance) {
  Upstream *U = lookUp(S.Config.Upstreams, Id);
  if (U == nullptr)
    return fail(ErrorCode::UnknownUpstream,
                "upstream " + std::to_string(Id.Number) + " doesn't exist");
  if (U->Instance != Instance)
    return fail(ErrorCode::StaleRevision,
                "upstream " + U->Name + " is at incarnation " +
                    std::to_string(U->Instance.Number) + ", not " +
                    std::to_string(Instance.Number));
  return U;
}

/// Changes one upstream and keeps the lookups and the table in step.
template <typename Change>
void changeUpstream(State &S, Upstream &U, Revision At, Change Apply) {
  if (U.Phase == UpstreamPhase::Lost)
    lostSet(S.Index, U).erase({U.Changed, U.Id});
  Apply(U);
  U.Changed = At;
  S.Config.InForce = At;
  if (U.Phase == UpstreamPhase::Lost)
    lostSet(S.Index, U).insert({At, U.Id});
  rebalance(S, U.Service, At);
}

/// \returns the phase of a live upstream.
UpstreamPhase livePhase(const Upstream &U) {
  if (U.DrainOrdered)
    return UpstreamPhase::Draining;
  return U.WarmUp >= WarmUpSteps ? UpstreamPhase::Active : UpstreamPhase::Cold;
}

/// Finds an upstream for an operator who saw it at \p Seen. Changes that no
/// operator ordered, such as warm-up steps, don't matter.
Expected<Upstream *> findSeen(State &S, const std::string &Name, Revision Seen,
                              Revision At) {
  const UpstreamId *Id = lookUp(S.Index.UpstreamsByName, Name);
  if (Id == nullptr)
    return fail(ErrorCode::UnknownUpstream,
                "upstream " + Name + " doesn't exist");
  Upstream &U = S.Config.Upstreams.at(*Id);
  if (Seen >= U.Ordered && Seen < At)
    return &U;
  if (Check Valid = checkRevision("upstream " + Name, Seen, U.Changed, At);
      !Valid)
    return tl::make_unexpected(Valid.error());
  return &U;
}

Check decide(State &S, const SetDrain &C, Revision At) {
  const Expected<Upstream *> Found =
      findSeen(S, C.UpstreamName, C.Expected, At);
  if (!Found)
    return tl::make_unexpected(Found.error());
  Upstream &U = **Found;
  changeUpstream(S, U, At, [&](Upstream &Value) {
    Value.DrainOrdered = C.Draining;
    Value.Ordered = At;
    if (Value.Phase != UpstreamPhase::Lost)
      Value.Phase = livePhase(Value);
  });
  trimLost(S);
  return {};
}

Check decide(State &S, const ForgetUpstream &C, Revision At) {
  const Expected<Upstream *> Found =
      findSeen(S, C.UpstreamName, C.Expected, At);
  if (!Found)
    return tl::make_unexpected(Found.error());
  if ((*Found)->Phase != UpstreamPhase::Lost)
    return refuse(ErrorCode::InUse, "upstream " + C.UpstreamName +
                                        " is alive; only a lost one can be "
                                        "forgotten");
  forgetUpstream(S, (*Found)->Id);
  S.Config.InForce = At;
  return {};
}

Check checkAnnouncement(const State &S, const UpstreamAnnouncement &A) {
  if (Check Valid = firstFailure({checkName("upstream name", A.Name),
                                  checkName("data centre", A.DataCentre),
                                  checkEndpoint("agent endpoint", A.Agent)});
      !Valid)
    return Valid;
  if (A.Slots == 0 || A.Slots > MostSlots)
    return refuse(ErrorCode::InvalidArgument,
                  "slots must be from 1 to " + std::to_string(MostSlots) +
                      ", not " + std::to_string(A.Slots));
  if (S.Index.ServicesByName.count(A.ServiceName) == 0)
    return refuse(ErrorCode::UnknownService,
                  "service " + A.ServiceName + " doesn't exist");
  const EntryHost *Namesake = lookUp(S.Config.Entries, A.Name);
  if (Namesake != nullptr && Namesake->Alive)
    return refuse(ErrorCode::AlreadyExists,
                  A.Name + " is the name of an entry host");
  return {};
}

void addUpstream(State &S, const UpstreamAnnouncement &A, bool DrainOrdered,
                 Revision At) {
  Upstream U;
  U.Id = UpstreamId{S.NextUpstream++};
  U.Name = A.Name;
  U.Service = S.Index.ServicesByName.at(A.ServiceName);
  U.DataCentre = A.DataCentre;
  U.Agent = A.Agent;
  U.Slots = A.Slots;
  U.Instance = Incarnation{At.Number};
  U.DrainOrdered = DrainOrdered;
  U.Phase = livePhase(U);
  U.Changed = At;
  U.Ordered = At;
  S.Index.UpstreamsByName[U.Name] = U.Id;
  S.Index.UpstreamsByService[U.Service].insert(U.Id);
  S.Config.Upstreams[U.Id] = U;
  S.Config.InForce = At;
  rebalance(S, U.Service, At);
}

/// Whether a resent announcement changes nothing.
bool announcedAlready(const Upstream &U, const UpstreamAnnouncement &A) {
  return U.Phase != UpstreamPhase::Lost && U.DataCentre == A.DataCentre &&
         U.Agent == A.Agent && U.Slots == A.Slots;
}

/// Takes an announcement of a known upstream, by the same run or a new one.
void updateUpstream(State &S, Upstream &U, const UpstreamAnnouncement &A,
                    bool SameRun, Revision At) {
  // The former run's flows are gone, so no bucket needs to remember it.
  if (!SameRun)
    routing::removeEarlierOwner(S.Config.Tables.at(U.Service), U.Id);
  changeUpstream(S, U, At, [&](Upstream &Value) {
    Value.DataCentre = A.DataCentre;
    Value.Agent = A.Agent;
    Value.Slots = A.Slots;
    if (!SameRun)
      Value.Instance = Incarnation{At.Number};
    if (!SameRun || Value.Phase == UpstreamPhase::Lost)
      Value.WarmUp = 1;
    Value.Phase = livePhase(Value);
  });
}

Check decide(State &S, const AnnounceUpstream &C, Revision At) {
  const UpstreamAnnouncement &A = C.Value;
  if (Check Valid = checkAnnouncement(S, A); !Valid)
    return Valid;
  const UpstreamId *Known = lookUp(S.Index.UpstreamsByName, A.Name);
  const ServiceId Target = S.Index.ServicesByName.at(A.ServiceName);
  Upstream *U = Known == nullptr ? nullptr : &S.Config.Upstreams.at(*Known);
  const bool SameService = U != nullptr && U->Service == Target;
  if (!SameService && S.NextUpstream == 0)
    return refuse(ErrorCode::InvalidArgument, "all upstream ids are used");

  if (S.Config.Entries.count(A.Name) != 0)
    forgetEntry(S, A.Name);
  const auto Run = S.RunIds.find(A.Name);
  const bool SameRun =
      SameService && Run != S.RunIds.end() && Run->second == A.RunId;
  if (SameRun && announcedAlready(*U, A))
    return {};
  if (SameService) {
    updateUpstream(S, *U, A, SameRun, At);
  } else {
    // An upstream that changes its service gets a new id, so that no frame of
    // the former service can name it.
    const bool DrainOrdered = U != nullptr && U->DrainOrdered;
    if (U != nullptr) {
      const ServiceId Former = U->Service;
      forgetUpstream(S, U->Id);
      rebalance(S, Former, At);
    }
    addUpstream(S, A, DrainOrdered, At);
  }
  S.RunIds[A.Name] = A.RunId;
  return {};
}

Check setWarmUp(State &S, UpstreamId Id, Incarnation Instance,
                std::uint8_t Step, Revision At) {
  const Expected<Upstream *> Found = findInstance(S, Id, Instance);
  if (!Found)
    return tl::make_unexpected(Found.error());
  Upstream &U = **Found;
  if (U.Phase == UpstreamPhase::Lost)
    return refuse(ErrorCode::StaleRevision, "upstream " + U.Name + " is lost");
  if (Step <= U.WarmUp)
    return {};
  changeUpstream(S, U, At, [&](Upstream &Value) {
    Value.WarmUp = Step;
    Value.Phase = livePhase(Value);
  });
  return {};
}

Check decide(State &S, const AdvanceWarmUp &C, Revision At) {
  if (C.Step == 0 || C.Step > WarmUpSteps)
    return refuse(ErrorCode::InvalidArgument,
                  "step must be from 1 to " + std::to_string(WarmUpSteps) +
                      ", not " + std::to_string(C.Step));
  return setWarmUp(S, C.Id, C.Instance, C.Step, At);
}

Check decide(State &S, const ActivateUpstream &C, Revision At) {
  return setWarmUp(S, C.Id, C.Instance, WarmUpSteps, At);
}

Check decide(State &S, const RetireUpstream &C, Revision At) {
  const Expected<Upstream *> Found = findInstance(S, C.Id, C.Instance);
  if (!Found)
    return tl::make_unexpected(Found.error());
  if ((*Found)->Phase == UpstreamPhase::Lost)
    return {};
  changeUpstream(S, **Found, At,
                 [](Upstream &Value) { Value.Phase = UpstreamPhase::Lost; });
  trimLost(S);
  return {};
}

// Entry hosts -----------------------------------------------------------------

Check checkAnnouncement(const State &S, const EntryAnnouncement &A) {
  if (Check Valid = firstFailure({checkName("entry host name", A.Name),
                                  checkName("data centre", A.DataCentre),
                                  checkEndpoint("tunnel endpoint", A.Tunnel)});
      !Valid)
    return Valid;
  const UpstreamId *Namesake = lookUp(S.Index.UpstreamsByName, A.Name);
  if (Namesake != nullptr &&
      S.Config.Upstreams.at(*Namesake).Phase != UpstreamPhase::Lost)
    return refuse(ErrorCode::AlreadyExists,
                  A.Name + " is the name of an upstream");
  return {};
}

Check decide(State &S, const AnnounceEntry &C, Revision At) {
  const EntryAnnouncement &A = C.Value;
  if (Check Valid = checkAnnouncement(S, A); !Valid)
    return Valid;
  if (const UpstreamId *Namesake = lookUp(S.Index.UpstreamsByName, A.Name))
    forgetUpstream(S, UpstreamId{*Namesake});
  const EntryHost Next{A.Name, A.DataCentre, A.Tunnel, true, At};
  if (EntryHost *Known = lookUp(S.Config.Entries, A.Name)) {
    EntryHost Same = Next;
    Same.Changed = Known->Changed;
    const auto Run = S.RunIds.find(A.Name);
    if (*Known == Same && Run != S.RunIds.end() && Run->second == A.RunId)
      return {};
    S.Index.LostEntries.erase({Known->Changed, A.Name});
  }
  S.Config.Entries[A.Name] = Next;
  S.Config.InForce = At;
  S.RunIds[A.Name] = A.RunId;
  return {};
}

Check decide(State &S, const RetireEntry &C, Revision At) {
  EntryHost *Known = lookUp(S.Config.Entries, C.Name);
  if (Known == nullptr)
    return refuse(ErrorCode::UnknownHost,
                  "entry host " + C.Name + " doesn't exist");
  if (!Known->Alive)
    return {};
  Known->Alive = false;
  Known->Changed = At;
  S.Config.InForce = At;
  S.Index.LostEntries.insert({At, C.Name});
  trimLost(S);
  return {};
}

// Command records -------------------------------------------------------------

void record(State &S, const std::string &Id, const CommandResult &Result) {
  S.Results[Id] = Result;
  S.ResultOrder.push_back(Id);
  while (S.ResultOrder.size() > CommandRecordsKept) {
    S.Results.erase(S.ResultOrder.front());
    S.ResultOrder.pop_front();
  }
}

} // namespace

StateIndex buildIndex(const Configuration &Config) {
  StateIndex Index;
  for (const auto &[Id, Value] : Config.Services)
    indexService(Index, Value);
  for (const auto &[Id, U] : Config.Upstreams) {
    Index.UpstreamsByName[U.Name] = Id;
    Index.UpstreamsByService[U.Service].insert(Id);
    if (U.Phase == UpstreamPhase::Lost)
      lostSet(Index, U).insert({U.Changed, Id});
  }
  for (const auto &[Name, E] : Config.Entries)
    if (!E.Alive)
      Index.LostEntries.insert({E.Changed, Name});
  return Index;
}

CommandResult apply(State &Current, const Command &Entry, Revision At) {
  CommandResult Result;
  Result.At = At;
  if (Entry.Id.size() > MaxCommandIdLength) {
    Result.Reason = {ErrorCode::InvalidArgument,
                     "a command id has at most " +
                         std::to_string(MaxCommandIdLength) + " characters"};
    return Result;
  }
  if (const auto *First = lookUp(Current.Results, Entry.Id);
      First != nullptr && !Entry.Id.empty())
    return *First;
  const Check Decision = std::visit(
      [&](const auto &C) { return decide(Current, C, At); }, Entry.Body);
  Result.Accepted = Decision.has_value();
  if (!Decision)
    Result.Reason = Decision.error();
  if (!Entry.Id.empty())
    record(Current, Entry.Id, Result);
  return Result;
}

} // namespace jasminearch::control
