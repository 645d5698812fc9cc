#include "jasminearch/routing/entry_router.h"
#include <algorithm>
#include <bit>
#include <string>
#include <xxhash.h>

namespace jasminearch::routing {

namespace {

using control::Bucket;
using control::BucketTable;
using control::Configuration;
using control::Service;
using control::Upstream;
using control::UpstreamPhase;

using SharedRoute = std::shared_ptr<const ServiceRoute>;
using UpstreamGroups =
    absl::flat_hash_map<ServiceId, std::vector<const Upstream *>>;

bool serves(const UpstreamRoute &U) {
  return U.Phase == UpstreamPhase::Cold || U.Phase == UpstreamPhase::Active;
}

/// Upstreams of each service, by ascending id.
UpstreamGroups groupUpstreams(const Configuration &Next) {
  UpstreamGroups Groups;
  Groups.reserve(Next.Services.size());
  for (const auto &[Id, U] : Next.Upstreams)
    Groups[U.Service].push_back(&U);
  return Groups;
}

/// \returns the position of an upstream, or NoUpstreamIndex.
std::uint16_t indexOf(const ServiceRoute &Route, UpstreamId Id) {
  const auto Found = std::lower_bound(
      Route.Upstreams.begin(), Route.Upstreams.end(), Id,
      [](const UpstreamRoute &U, UpstreamId Wanted) { return U.Id < Wanted; });
  if (Found == Route.Upstreams.end() || Found->Id != Id)
    return NoUpstreamIndex;
  return static_cast<std::uint16_t>(Found - Route.Upstreams.begin());
}

/// Rank of an upstream for a bucket whose owner can't be chosen.
std::uint64_t rankFor(std::size_t BucketNumber, UpstreamId Id) {
  const std::uint8_t Key[] = {static_cast<std::uint8_t>(BucketNumber),
                              static_cast<std::uint8_t>(BucketNumber >> 8U),
                              static_cast<std::uint8_t>(Id.Number),
                              static_cast<std::uint8_t>(Id.Number >> 8U),
                              static_cast<std::uint8_t>(Id.Number >> 16U),
                              static_cast<std::uint8_t>(Id.Number >> 24U)};
  return XXH3_64bits(Key, sizeof(Key));
}

/// \returns the highest ranked serving upstream, or NoUpstreamIndex.
std::uint16_t substituteFor(const ServiceRoute &Route,
                            std::size_t BucketNumber) {
  std::uint16_t Best = NoUpstreamIndex;
  std::uint64_t BestRank = 0;
  for (std::size_t I = 0; I < Route.Upstreams.size(); ++I) {
    if (!serves(Route.Upstreams[I]))
      continue;
    const std::uint64_t Rank = rankFor(BucketNumber, Route.Upstreams[I].Id);
    if (Best != NoUpstreamIndex && Rank <= BestRank)
      continue;
    Best = static_cast<std::uint16_t>(I);
    BestRank = Rank;
  }
  return Best;
}

bool isLost(const ServiceRoute &Route, std::uint16_t Index) {
  return Route.Upstreams[Index].Phase == UpstreamPhase::Lost;
}

/// Chooses for a bucket whose owner is at \p Owner.
std::uint16_t choose(const ServiceRoute &Route, std::uint16_t Owner,
                     std::size_t BucketNumber) {
  if (Owner != NoUpstreamIndex && serves(Route.Upstreams[Owner]))
    return Owner;
  const std::uint16_t Other = substituteFor(Route, BucketNumber);
  if (Other != NoUpstreamIndex)
    return Other;
  // Datagrams of open lines must still reach a draining owner.
  if (Owner != NoUpstreamIndex && !isLost(Route, Owner))
    return Owner;
  return NoUpstreamIndex;
}

/// Adds an earlier owner that may hold flows, behind those already there.
void remember(const ServiceRoute &Route, BucketRoute &Target,
              std::uint16_t Index) {
  if (Index == NoUpstreamIndex || Index == Target.Chosen ||
      isLost(Route, Index))
    return;
  for (std::uint16_t &Slot : Target.Earlier) {
    if (Slot == Index)
      return;
    if (Slot != NoUpstreamIndex)
      continue;
    Slot = Index;
    return;
  }
}

BucketRoute routeBucket(const ServiceRoute &Route, const Bucket &Source,
                        std::size_t BucketNumber) {
  const std::uint16_t Owner = indexOf(Route, Source.Owner);
  BucketRoute Result;
  Result.Chosen = choose(Route, Owner, BucketNumber);
  remember(Route, Result, Owner);
  for (const UpstreamId &Id : Source.Earlier)
    remember(Route, Result, indexOf(Route, Id));
  return Result;
}

/// Latest change of whatever the route of \p S is made from.
Revision latestChange(const Service &S, const BucketTable *Table,
                      const std::vector<const Upstream *> &Upstreams) {
  Revision Latest = S.Changed;
  if (Table)
    Latest = std::max(Latest, Table->Changed);
  for (const Upstream *U : Upstreams)
    Latest = std::max(Latest, U->Changed);
  return Latest;
}

void fillRows(ServiceRoute &Route, const BucketTable *Table) {
  absl::flat_hash_map<std::uint64_t, std::uint16_t> RowByContent;
  for (std::size_t I = 0; I < control::BucketsPerService; ++I) {
    const bool Named = Table && I < Table->Buckets.size();
    const Bucket Source = Named ? Table->Buckets[I] : Bucket{};
    const BucketRoute Row = routeBucket(Route, Source, I);
    const auto Next = static_cast<std::uint16_t>(Route.Rows.size());
    const auto [Found, Added] =
        RowByContent.try_emplace(std::bit_cast<std::uint64_t>(Row), Next);
    if (Added)
      Route.Rows.push_back(Row);
    Route.RowOf[I] = Found->second;
  }
  Route.Rows.shrink_to_fit();
}

SharedRoute buildRoute(const Service &S, const BucketTable *Table,
                       const std::vector<const Upstream *> &Upstreams) {
  auto Route = std::make_shared<ServiceRoute>();
  Route->Id = S.Id;
  Route->Address = S.Address;
  Route->Changed = latestChange(S, Table, Upstreams);
  const std::size_t Count = std::min(Upstreams.size(), MaxUpstreamsPerService);
  Route->Upstreams.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const Upstream &U = *Upstreams[I];
    Route->Upstreams.push_back({U.Id, U.Instance, U.Agent, U.Phase});
  }
  fillRows(*Route, Table);
  return Route;
}

/// Whether \p Known was built from the same objects. A change, and an upstream
/// that joined, has a revision above the one that \p Known was taken from; an
/// upstream that left changes the number.
bool isCurrent(const RoutingSnapshot &From, const SharedRoute &Known,
               Revision Latest, std::size_t Upstreams) {
  return Known && Latest <= From.InForce && Known->Changed == Latest &&
         Known->Upstreams.size() == std::min(Upstreams, MaxUpstreamsPerService);
}

SharedRoute knownRoute(const RoutingSnapshot *Current, ServiceId Id) {
  if (!Current)
    return nullptr;
  const auto Found = Current->ById.find(Id);
  return Found == Current->ById.end() ? nullptr : Found->second;
}

SharedRoute routeOf(const RoutingSnapshot *Current, const Service &S,
                    const BucketTable *Table,
                    const std::vector<const Upstream *> &Upstreams) {
  SharedRoute Known = knownRoute(Current, S.Id);
  const Revision Latest = latestChange(S, Table, Upstreams);
  if (Known && isCurrent(*Current, Known, Latest, Upstreams.size()))
    return Known;
  return buildRoute(S, Table, Upstreams);
}

std::shared_ptr<const RoutingSnapshot> build(const RoutingSnapshot *Current,
                                             const Configuration &Next) {
  static const std::vector<const Upstream *> None;
  const UpstreamGroups Groups = groupUpstreams(Next);
  auto Result = std::make_shared<RoutingSnapshot>();
  Result->InForce = Next.InForce;
  Result->ById.reserve(Next.Services.size());
  Result->ByAddress.reserve(Next.Services.size());
  for (const auto &[Id, S] : Next.Services) {
    const auto Group = Groups.find(Id);
    const auto Table = Next.Tables.find(Id);
    SharedRoute Route = routeOf(
        Current, S, Table == Next.Tables.end() ? nullptr : &Table->second,
        Group == Groups.end() ? None : Group->second);
    // Of two services with one address only the first is served, in both
    // directions. The control hosts refuse the second.
    if (Result->ByAddress.emplace(S.Address, Route).second)
      Result->ById.emplace(Id, std::move(Route));
  }
  return Result;
}

void addCandidates(const ServiceRoute &Route, const BucketRoute &Source,
                   wire::FrameHeader &Header) {
  for (const std::uint16_t Index : Source.Earlier) {
    if (Index == NoUpstreamIndex)
      return;
    Header.Candidates[Header.CandidateCount] = Route.Upstreams[Index].Id;
    ++Header.CandidateCount;
  }
}

} // namespace

Expected<std::shared_ptr<const RoutingSnapshot>>
buildRoutingSnapshot(const std::shared_ptr<const RoutingSnapshot> &Current,
                     const Configuration &Next) {
  if (!Current)
    return build(nullptr, Next);
  if (Next.InForce < Current->InForce)
    return fail(ErrorCode::StaleRevision,
                "configuration " + std::to_string(Next.InForce.Number) +
                    " is older than " +
                    std::to_string(Current->InForce.Number) + " in force");
  if (Next.InForce == Current->InForce)
    return Current;
  return build(Current.get(), Next);
}

std::size_t bucketOf(const Endpoint &Caller) {
  // Written byte by byte, so that hosts of either byte order agree.
  const std::uint8_t Key[] = {static_cast<std::uint8_t>(Caller.Address >> 24U),
                              static_cast<std::uint8_t>(Caller.Address >> 16U),
                              static_cast<std::uint8_t>(Caller.Address >> 8U),
                              static_cast<std::uint8_t>(Caller.Address),
                              static_cast<std::uint8_t>(Caller.Port >> 8U),
                              static_cast<std::uint8_t>(Caller.Port)};
  return XXH3_64bits(Key, sizeof(Key)) % control::BucketsPerService;
}

TraceIdGenerator makeTraceIdGenerator(const std::string &Host,
                                      std::uint64_t Run) {
  return {XXH3_64bits_withSeed(Host.data(), Host.size(), Run)};
}

ForwardDecision decideForward(const RoutingSnapshot &Routing,
                              const wire::ProxyHeader &From,
                              const Endpoint &Return, TraceId Trace) {
  ForwardDecision Result;
  Result.Header.Kind = wire::FrameKind::Forward;
  Result.Header.InForce = Routing.InForce;
  Result.Header.Caller = From.Source;
  Result.Header.ServiceAddress = From.Destination;
  Result.Header.Return = Return;
  Result.Header.Trace = Trace;
  const auto Found = Routing.ByAddress.find(From.Destination);
  if (Found == Routing.ByAddress.end()) {
    Result.Failure = ErrorCode::UnknownServiceAddress;
    return Result;
  }
  const ServiceRoute &Route = *Found->second;
  const BucketRoute &Choice = Route.Rows[Route.RowOf[bucketOf(From.Source)]];
  Result.Header.Service = Route.Id;
  if (Choice.Chosen == NoUpstreamIndex) {
    Result.Failure = ErrorCode::NoUpstream;
    return Result;
  }
  const UpstreamRoute &Target = Route.Upstreams[Choice.Chosen];
  Result.Agent = Target.Agent;
  Result.Header.Upstream = Target.Id;
  Result.Header.Instance = Target.Instance;
  addCandidates(Route, Choice, Result.Header);
  return Result;
}

AnswerDecision decideAnswer(const RoutingSnapshot &Routing,
                            const wire::FrameHeader &Frame) {
  AnswerDecision Result;
  const auto Found = Routing.ById.find(Frame.Service);
  if (Found == Routing.ById.end()) {
    Result.Failure = ErrorCode::UnknownService;
    return Result;
  }
  const ServiceRoute &Route = *Found->second;
  Result.Service = Route.Id;
  Result.Header = {Route.Address, Frame.Caller};
  if (Frame.Kind != wire::FrameKind::Answer)
    Result.Failure = ErrorCode::FrameMalformed;
  else if (Frame.ServiceAddress != Route.Address)
    Result.Failure = ErrorCode::UnknownServiceAddress;
  else if (Frame.InForce <= Routing.InForce &&
           indexOf(Route, Frame.Upstream) == NoUpstreamIndex)
    Result.Failure = ErrorCode::WrongUpstream;
  return Result;
}

} // namespace jasminearch::routing
