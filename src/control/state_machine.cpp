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

using CheckResult = Expected<void>;

// Allowed ranges. The maximum deadline is shorter than the 247 s after which a
// permit record is dropped (EXCHANGE_LIFETIME of RFC 7252), because a request
// must end before that.
constexpr double MinImbalanceLimit = 1.0;
constexpr double MaxImbalanceLimit = 100.0;
constexpr auto MinDeadline = 10ms;
constexpr auto MaxDeadline = 240'000ms;
constexpr auto MaxColdStart = 600'000ms;
constexpr auto MinLineIdleLimit = 1'000ms;
constexpr auto MaxLineIdleLimit = 7 * 24 * 3'600'000ms;
constexpr std::uint32_t MaxSlots = 65'536;

CheckResult refuse(ErrorCode Code, std::string Detail) {
  return fail(Code, std::move(Detail));
}

// Names -----------------------------------------------------------------------

bool validNameCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '-' ||
         C == '_' || C == '.';
}

CheckResult checkName(const char *What, std::string_view Name) {
  const bool Fits = !Name.empty() && Name.size() <= MaxNameLength;
  if (Fits && std::all_of(Name.begin(), Name.end(), validNameCharacter))
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(What) + " must have 1 to " +
                    std::to_string(MaxNameLength) +
                    " letters, digits, '-', '_' or '.'; it has " +
                    std::to_string(Name.size()) + " characters");
}

CheckResult checkEndpoint(const char *What, const Endpoint &E) {
  if (E.Address != 0 && E.Port != 0)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(What) + " must have an address and a port, not " +
                    toString(E));
}

// Profile fields --------------------------------------------------------------

std::string formatNumber(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(std::max(Text.find_last_not_of('0') + 1, Text.find('.') + 2));
  return Text;
}

/// Also refuses NaN, because every comparison with it is false.
CheckResult checkRange(const char *Field, double Value, double Low,
                       double High) {
  if (Value >= Low && Value <= High)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(Field) + " must be from " + formatNumber(Low) +
                    " to " + formatNumber(High) + ", not " +
                    formatNumber(Value));
}

CheckResult checkDuration(const char *Field, std::chrono::milliseconds Value,
                          std::chrono::milliseconds Low,
                          std::chrono::milliseconds High) {
  if (Value >= Low && Value <= High)
    return {};
  return refuse(ErrorCode::InvalidArgument,
                std::string(Field) + " must be from " +
                    std::to_string(Low.count()) + " ms to " +
                    std::to_string(High.count()) + " ms, not " +
                    std::to_string(Value.count()) + " ms");
}

CheckResult firstFailure(std::initializer_list<CheckResult> Checks) {
  for (const CheckResult &C : Checks)
    if (!C)
      return C;
  return {};
}

CheckResult checkProfile(const Profile &P) {
  return firstFailure({
      checkName("profile name", P.Name),
      checkRange("max_imbalance", P.MaxImbalance, MinImbalanceLimit,
                 MaxImbalanceLimit),
      checkDuration("deadline", P.Deadline, MinDeadline, MaxDeadline),
      checkDuration("cold_start", P.ColdStart, 0ms, MaxColdStart),
      checkDuration("line_idle_limit", P.LineIdleLimit, MinLineIdleLimit,
                    MaxLineIdleLimit),
      checkRange("retry_budget", P.RetryBudget, 0, 1),
      checkRange("objectives.answered", P.Targets.Answered, 0, 1),
      checkRange("objectives.lines_whole", P.Targets.LinesWhole, 0, 1),
      checkRange("objectives.within_deadline", P.Targets.WithinDeadline, 0, 1),
  });
}

// Revisions -------------------------------------------------------------------

CheckResult checkRevision(const std::string &Object, Revision Expected,
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

/// \returns the value of a key, or null if the map does not contain it.
template <typename Map, typename Key>
auto *findValue(Map &Objects, const Key &Name) {
  const auto It = Objects.find(Name);
  return It == Objects.end() ? nullptr : &It->second;
}

// Bucket tables ---------------------------------------------------------------

/// \returns the upstreams of a service that are not lost.
std::vector<Upstream> liveUpstreams(const State &S, ServiceId Id) {
  std::vector<Upstream> Found;
  const auto *Ids = findValue(S.Index.UpstreamsByService, Id);
  if (Ids == nullptr)
    return Found;
  for (const UpstreamId Id : *Ids) {
    const Upstream &U = S.Config.Upstreams.at(Id);
    if (U.Phase != UpstreamPhase::Lost)
      Found.push_back(U);
  }
  return Found;
}

/// Recomputes the bucket table of a service from its upstreams and profile.
void rebalance(State &S, ServiceId Id, Revision At) {
  BucketTable &Table = S.Config.Tables.at(Id);
  const Service &Value = S.Config.Services.at(Id);
  const Profile &P = S.Config.Profiles.at(Value.ProfileName);
  BucketTable Next = routing::rebalanceBuckets(Table, liveUpstreams(S, Id), P);
  if (Next.Buckets == Table.Buckets)
    return;
  Next.Changed = At;
  Table = std::move(Next);
}

// Removal of lost hosts -------------------------------------------------------

/// \returns the set of lost upstreams that \p U belongs to while it is lost.
auto &lostUpstreams(StateIndex &Index, const Upstream &U) {
  return U.DrainOrdered ? Index.LostDraining : Index.Lost;
}

/// Removes an upstream from the configuration. The bucket table of its service
/// must no longer refer to it, or must be rebalanced next.
void removeUpstream(State &S, UpstreamId Id) {
  const Upstream U = S.Config.Upstreams.at(Id);
  lostUpstreams(S.Index, U).erase({U.Changed, Id});
  S.Index.UpstreamsByName.erase(U.Name);
  const auto Siblings = S.Index.UpstreamsByService.find(U.Service);
  Siblings->second.erase(Id);
  if (Siblings->second.empty())
    S.Index.UpstreamsByService.erase(Siblings);
  S.RunIds.erase(U.Name);
  S.Config.Upstreams.erase(Id);
}

void removeEntry(State &S, const std::string &Name) {
  const EntryHost &E = S.Config.Entries.at(Name);
  S.Index.LostEntries.erase({E.Changed, Name});
  S.RunIds.erase(Name);
  S.Config.Entries.erase(Name);
}

void removeExcessLostHosts(State &S) {
  for (auto *Lost : {&S.Index.Lost, &S.Index.LostDraining})
    while (Lost->size() > MaxLostUpstreams)
      removeUpstream(S, Lost->begin()->second);
  while (S.Index.LostEntries.size() > MaxLostEntries)
    removeEntry(S, std::string(S.Index.LostEntries.begin()->second));
}

// Profiles --------------------------------------------------------------------

CheckResult applyCommand(State &S, const PutProfile &C, Revision At) {
  if (CheckResult Valid = checkProfile(C.Value); !Valid)
    return Valid;
  Profile *Existing = findValue(S.Config.Profiles, C.Value.Name);
  const std::string Object = "profile " + C.Value.Name;
  if (Existing == nullptr && C.Expected.Number != 0)
    return refuse(ErrorCode::UnknownProfile, Object + " doesn't exist");
  if (Existing != nullptr && C.Expected.Number == 0)
    return refuse(ErrorCode::AlreadyExists,
                  Object + " exists, at revision " +
                      std::to_string(Existing->Changed.Number));
  if (Existing != nullptr)
    if (CheckResult Valid =
            checkRevision(Object, C.Expected, Existing->Changed, At);
        !Valid)
      return Valid;

  const bool ImbalanceChanged =
      Existing != nullptr && Existing->MaxImbalance != C.Value.MaxImbalance;
  Profile &Stored = S.Config.Profiles[C.Value.Name];
  Stored = C.Value;
  Stored.Changed = At;
  S.Config.InForce = At;
  if (ImbalanceChanged)
    if (const auto *Users = findValue(S.Index.ServicesByProfile, C.Value.Name))
      for (const ServiceId Id : *Users)
        rebalance(S, Id, At);
  return {};
}

CheckResult applyCommand(State &S, const RemoveProfile &C, Revision At) {
  const Profile *Existing = findValue(S.Config.Profiles, C.Name);
  if (Existing == nullptr)
    return refuse(ErrorCode::UnknownProfile,
                  "profile " + C.Name + " doesn't exist");
  if (CheckResult Valid =
          checkRevision("profile " + C.Name, C.Expected, Existing->Changed, At);
      !Valid)
    return Valid;
  const auto *Users = findValue(S.Index.ServicesByProfile, C.Name);
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

/// Checks the conditions that apply to both new and changed services.
CheckResult checkService(const State &S, const Service &Value,
                         std::optional<ServiceId> Existing) {
  if (CheckResult Valid =
          firstFailure({checkName("service name", Value.Name),
                        checkEndpoint("service address", Value.Address)});
      !Valid)
    return Valid;
  if (S.Config.Profiles.count(Value.ProfileName) == 0)
    return refuse(ErrorCode::UnknownProfile,
                  "profile " + Value.ProfileName + " doesn't exist");
  const auto *AddressOwner =
      findValue(S.Index.ServicesByAddress, Value.Address);
  if (AddressOwner != nullptr && Existing != *AddressOwner)
    return refuse(ErrorCode::AlreadyExists,
                  toString(Value.Address) + " is the address of service " +
                      S.Config.Services.at(*AddressOwner).Name);
  if (Value.Id.Number != 0 && Existing != Value.Id)
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

CheckResult applyCommand(State &S, const PutService &C, Revision At) {
  const ServiceId *Id = findValue(S.Index.ServicesByName, C.Value.Name);
  const std::string Object = "service " + C.Value.Name;
  if (CheckResult Valid = checkService(
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
    if (CheckResult Valid = checkRevision(
            Object, C.Expected, S.Config.Services.at(*Id).Changed, At);
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

/// Finds an upstream by id.
/// \returns StaleRevision if it is no longer at \p Instance.
Expected<Upstream *> findIncarnation(State &S, UpstreamId Id,
                                     Incarnation Instance) {
  Upstream *U = findValue(S.Config.Upstreams, Id);
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

/// Changes one upstream and updates the lookup tables and the bucket table.
template <typename Change>
void changeUpstream(State &S, Upstream &U, Revision At, Change Apply) {
  if (U.Phase == UpstreamPhase::Lost)
    lostUpstreams(S.Index, U).erase({U.Changed, U.Id});
  Apply(U);
  U.Changed = At;
  S.Config.InForce = At;
  if (U.Phase == UpstreamPhase::Lost)
    lostUpstreams(S.Index, U).insert({At, U.Id});
  rebalance(S, U.Service, At);
}

/// \returns the phase of an upstream that is not lost.
UpstreamPhase livePhase(const Upstream &U) {
  if (U.DrainOrdered)
    return UpstreamPhase::Draining;
  return U.WarmUp >= WarmUpSteps ? UpstreamPhase::Active : UpstreamPhase::Cold;
}

/// Finds an upstream by name, for an operator who read it at \p ReadAt.
/// \returns RevisionConflict if another operator's order was committed since
/// then; other changes, such as warm-up steps, are not conflicts.
Expected<Upstream *> findUpstreamReadAt(State &S, const std::string &Name,
                                        Revision ReadAt, Revision At) {
  const UpstreamId *Id = findValue(S.Index.UpstreamsByName, Name);
  if (Id == nullptr)
    return fail(ErrorCode::UnknownUpstream,
                "upstream " + Name + " doesn't exist");
  Upstream &U = S.Config.Upstreams.at(*Id);
  if (ReadAt >= U.Ordered && ReadAt < At)
    return &U;
  if (CheckResult Valid =
          checkRevision("upstream " + Name, ReadAt, U.Changed, At);
      !Valid)
    return tl::make_unexpected(Valid.error());
  return &U;
}

CheckResult applyCommand(State &S, const SetDrain &C, Revision At) {
  const Expected<Upstream *> Found =
      findUpstreamReadAt(S, C.UpstreamName, C.Expected, At);
  if (!Found)
    return tl::make_unexpected(Found.error());
  Upstream &U = **Found;
  changeUpstream(S, U, At, [&](Upstream &Value) {
    Value.DrainOrdered = C.Draining;
    Value.Ordered = At;
    if (Value.Phase != UpstreamPhase::Lost)
      Value.Phase = livePhase(Value);
  });
  removeExcessLostHosts(S);
  return {};
}

CheckResult applyCommand(State &S, const ForgetUpstream &C, Revision At) {
  const Expected<Upstream *> Found =
      findUpstreamReadAt(S, C.UpstreamName, C.Expected, At);
  if (!Found)
    return tl::make_unexpected(Found.error());
  if ((*Found)->Phase != UpstreamPhase::Lost)
    return refuse(ErrorCode::InUse, "upstream " + C.UpstreamName +
                                        " is alive; only a lost one can be "
                                        "forgotten");
  removeUpstream(S, (*Found)->Id);
  S.Config.InForce = At;
  return {};
}

CheckResult checkAnnouncement(const State &S, const UpstreamAnnouncement &A) {
  if (CheckResult Valid =
          firstFailure({checkName("upstream name", A.Name),
                        checkName("data centre", A.DataCentre),
                        checkEndpoint("agent endpoint", A.Agent)});
      !Valid)
    return Valid;
  if (A.Slots == 0 || A.Slots > MaxSlots)
    return refuse(ErrorCode::InvalidArgument,
                  "slots must be from 1 to " + std::to_string(MaxSlots) +
                      ", not " + std::to_string(A.Slots));
  if (S.Index.ServicesByName.count(A.ServiceName) == 0)
    return refuse(ErrorCode::UnknownService,
                  "service " + A.ServiceName + " doesn't exist");
  const EntryHost *SameNameEntry = findValue(S.Config.Entries, A.Name);
  if (SameNameEntry != nullptr && SameNameEntry->Alive)
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

/// \returns whether an announcement resent by the same run changes nothing.
bool matchesAnnouncement(const Upstream &U, const UpstreamAnnouncement &A) {
  return U.Phase != UpstreamPhase::Lost && U.DataCentre == A.DataCentre &&
         U.Agent == A.Agent && U.Slots == A.Slots;
}

/// Applies an announcement of a known upstream, by the same run or a new one.
void updateUpstream(State &S, Upstream &U, const UpstreamAnnouncement &A,
                    bool SameRun, Revision At) {
  // The flows of the previous run are gone, so no bucket has to list the
  // upstream as an earlier owner.
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

CheckResult applyCommand(State &S, const AnnounceUpstream &C, Revision At) {
  const UpstreamAnnouncement &A = C.Value;
  if (CheckResult Valid = checkAnnouncement(S, A); !Valid)
    return Valid;
  const UpstreamId *Known = findValue(S.Index.UpstreamsByName, A.Name);
  const ServiceId NewService = S.Index.ServicesByName.at(A.ServiceName);
  Upstream *U = Known == nullptr ? nullptr : &S.Config.Upstreams.at(*Known);
  const bool SameService = U != nullptr && U->Service == NewService;
  if (!SameService && S.NextUpstream == 0)
    return refuse(ErrorCode::InvalidArgument, "all upstream ids are used");

  if (S.Config.Entries.count(A.Name) != 0)
    removeEntry(S, A.Name);
  const auto Run = S.RunIds.find(A.Name);
  const bool SameRun =
      SameService && Run != S.RunIds.end() && Run->second == A.RunId;
  if (SameRun && matchesAnnouncement(*U, A))
    return {};
  if (SameService) {
    updateUpstream(S, *U, A, SameRun, At);
  } else {
    // An upstream that moves to another service gets a new id, so that no frame
    // of the previous service can be delivered to it.
    const bool DrainOrdered = U != nullptr && U->DrainOrdered;
    if (U != nullptr) {
      const ServiceId PreviousService = U->Service;
      removeUpstream(S, U->Id);
      rebalance(S, PreviousService, At);
    }
    addUpstream(S, A, DrainOrdered, At);
  }
  S.RunIds[A.Name] = A.RunId;
  return {};
}

CheckResult setWarmUp(State &S, UpstreamId Id, Incarnation Instance,
                      std::uint8_t Step, Revision At) {
  const Expected<Upstream *> Found = findIncarnation(S, Id, Instance);
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

CheckResult applyCommand(State &S, const AdvanceWarmUp &C, Revision At) {
  if (C.Step == 0 || C.Step > WarmUpSteps)
    return refuse(ErrorCode::InvalidArgument,
                  "step must be from 1 to " + std::to_string(WarmUpSteps) +
                      ", not " + std::to_string(C.Step));
  return setWarmUp(S, C.Id, C.Instance, C.Step, At);
}

CheckResult applyCommand(State &S, const ActivateUpstream &C, Revision At) {
  return setWarmUp(S, C.Id, C.Instance, WarmUpSteps, At);
}

CheckResult applyCommand(State &S, const RetireUpstream &C, Revision At) {
  const Expected<Upstream *> Found = findIncarnation(S, C.Id, C.Instance);
  if (!Found)
    return tl::make_unexpected(Found.error());
  if ((*Found)->Phase == UpstreamPhase::Lost)
    return {};
  changeUpstream(S, **Found, At,
                 [](Upstream &Value) { Value.Phase = UpstreamPhase::Lost; });
  removeExcessLostHosts(S);
  return {};
}

// Entry hosts -----------------------------------------------------------------

CheckResult checkAnnouncement(const State &S, const EntryAnnouncement &A) {
  if (CheckResult Valid =
          firstFailure({checkName("entry host name", A.Name),
                        checkName("data centre", A.DataCentre),
                        checkEndpoint("tunnel endpoint", A.Tunnel)});
      !Valid)
    return Valid;
  const UpstreamId *SameNameUpstream =
      findValue(S.Index.UpstreamsByName, A.Name);
  if (SameNameUpstream != nullptr &&
      S.Config.Upstreams.at(*SameNameUpstream).Phase != UpstreamPhase::Lost)
    return refuse(ErrorCode::AlreadyExists,
                  A.Name + " is the name of an upstream");
  return {};
}

CheckResult applyCommand(State &S, const AnnounceEntry &C, Revision At) {
  const EntryAnnouncement &A = C.Value;
  if (CheckResult Valid = checkAnnouncement(S, A); !Valid)
    return Valid;
  if (const UpstreamId *SameNameUpstream =
          findValue(S.Index.UpstreamsByName, A.Name))
    removeUpstream(S, UpstreamId{*SameNameUpstream});
  const EntryHost Next{A.Name, A.DataCentre, A.Tunnel, true, At};
  if (EntryHost *Known = findValue(S.Config.Entries, A.Name)) {
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

CheckResult applyCommand(State &S, const RetireEntry &C, Revision At) {
  EntryHost *Known = findValue(S.Config.Entries, C.Name);
  if (Known == nullptr)
    return refuse(ErrorCode::UnknownHost,
                  "entry host " + C.Name + " doesn't exist");
  if (!Known->Alive)
    return {};
  Known->Alive = false;
  Known->Changed = At;
  S.Config.InForce = At;
  S.Index.LostEntries.insert({At, C.Name});
  removeExcessLostHosts(S);
  return {};
}

// Command records -------------------------------------------------------------

void storeResult(State &S, const std::string &Id, const CommandResult &Result) {
  S.Results[Id] = Result;
  S.ResultOrder.push_back(Id);
  while (S.ResultOrder.size() > MaxCommandResults) {
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
      lostUpstreams(Index, U).insert({U.Changed, Id});
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
  if (const auto *First = findValue(Current.Results, Entry.Id);
      First != nullptr && !Entry.Id.empty())
    return *First;
  const CheckResult Decision = std::visit(
      [&](const auto &C) { return applyCommand(Current, C, At); }, Entry.Body);
  Result.Accepted = Decision.has_value();
  if (!Decision)
    Result.Reason = Decision.error();
  if (!Entry.Id.empty())
    storeResult(Current, Entry.Id, Result);
  return Result;
}

} // namespace jasminearch::control
