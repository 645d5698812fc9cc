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

/// \returns the upstreams of each service, sorted by id.
UpstreamGroups groupUpstreams(const Configuration &Next) {
  UpstreamGroups Groups;
  Groups.reserve(Next.Services.size());
  for (const auto &[Id, U] : Next.Upstreams)
    Groups[U.Service].push_back(&U);
  return Groups;
}

/// \returns the index of an upstream, or NoUpstreamIndex.
std::uint16_t indexOf(const ServiceRoute &Route, UpstreamId Id) {
  const auto Found = std::lower_bound(
      Route.Upstreams.begin(), Route.Upstreams.end(), Id,
      [](const UpstreamRoute &U, UpstreamId Wanted) { return U.Id < Wanted; });
  if (Found == Route.Upstreams.end() || Found->Id != Id)
    return NoUpstreamIndex;
  return static_cast<std::uint16_t>(Found - Route.Upstreams.begin());
}

/// \returns the rank of an upstream in the rendezvous hashing for a bucket.
std::uint64_t rendezvousRank(std::size_t BucketNumber, UpstreamId Id) {
  const std::uint8_t Key[] = {static_cast<std::uint8_t>(BucketNumber),
                              static_cast<std::uint8_t>(BucketNumber >> 8U),
                              static_cast<std::uint8_t>(Id.Number),
                              static_cast<std::uint8_t>(Id.Number >> 8U),
                              static_cast<std::uint8_t>(Id.Number >> 16U),
                              static_cast<std::uint8_t>(Id.Number >> 24U)};
  return XXH3_64bits(Key, sizeof(Key));
}

/// \returns the upstream with the highest rank for the bucket among those that
/// accept new work, or NoUpstreamIndex.
std::uint16_t highestRankedServing(const ServiceRoute &Route,
                                   std::size_t BucketNumber) {
  std::uint16_t Best = NoUpstreamIndex;
  std::uint64_t BestRank = 0;
  for (std::size_t I = 0; I < Route.Upstreams.size(); ++I) {
    if (!serves(Route.Upstreams[I]))
      continue;
    const std::uint64_t Rank =
        rendezvousRank(BucketNumber, Route.Upstreams[I].Id);
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

/// Chooses the upstream for a bucket whose owner has index \p Owner.
std::uint16_t chooseUpstream(const ServiceRoute &Route, std::uint16_t Owner,
                             std::size_t BucketNumber) {
  if (Owner != NoUpstreamIndex && serves(Route.Upstreams[Owner]))
    return Owner;
  const std::uint16_t Other = highestRankedServing(Route, BucketNumber);
  if (Other != NoUpstreamIndex)
    return Other;
  // A draining owner must still receive the datagrams of open lines.
  if (Owner != NoUpstreamIndex && !isLost(Route, Owner))
    return Owner;
  return NoUpstreamIndex;
}

/// Appends an upstream that may hold flows to the earlier owners of \p Target,
/// unless it is already listed.
void addEarlierOwner(const ServiceRoute &Route, BucketRoute &Target,
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
  Result.Chosen = chooseUpstream(Route, Owner, BucketNumber);
  addEarlierOwner(Route, Result, Owner);
  for (const UpstreamId &Id : Source.Earlier)
    addEarlierOwner(Route, Result, indexOf(Route, Id));
  return Result;
}

/// \returns the revision of the latest change of the service, its bucket table
/// or its upstreams.
Revision latestChange(const Service &S, const BucketTable *Table,
                      const std::vector<const Upstream *> &Upstreams) {
  Revision Latest = S.Changed;
  if (Table)
    Latest = std::max(Latest, Table->Changed);
  for (const Upstream *U : Upstreams)
    Latest = std::max(Latest, U->Changed);
  return Latest;
}

void fillBucketRoutes(ServiceRoute &Route, const BucketTable *Table) {
  absl::flat_hash_map<std::uint64_t, std::uint16_t> IndexByRoute;
  for (std::size_t I = 0; I < control::BucketsPerService; ++I) {
    const bool HasBucket = Table && I < Table->Buckets.size();
    const Bucket Source = HasBucket ? Table->Buckets[I] : Bucket{};
    const BucketRoute RouteOfBucket = routeBucket(Route, Source, I);
    const auto Next = static_cast<std::uint16_t>(Route.DistinctRoutes.size());
    const auto [Found, Added] = IndexByRoute.try_emplace(
        std::bit_cast<std::uint64_t>(RouteOfBucket), Next);
    if (Added)
      Route.DistinctRoutes.push_back(RouteOfBucket);
    Route.RouteIndexByBucket[I] = Found->second;
  }
  Route.DistinctRoutes.shrink_to_fit();
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
  fillBucketRoutes(*Route, Table);
  return Route;
}

/// \returns whether \p Existing was built from the same objects. A changed
/// object and an added upstream have a revision above that of the snapshot that
/// contains \p Existing; a removed upstream changes the number of upstreams.
bool isUpToDate(const RoutingSnapshot &From, const SharedRoute &Existing,
                Revision Latest, std::size_t Upstreams) {
  return Existing && Latest <= From.InForce && Existing->Changed == Latest &&
         Existing->Upstreams.size() ==
             std::min(Upstreams, MaxUpstreamsPerService);
}

SharedRoute findRoute(const RoutingSnapshot *Current, ServiceId Id) {
  if (!Current)
    return nullptr;
  const auto Found = Current->ById.find(Id);
  return Found == Current->ById.end() ? nullptr : Found->second;
}

SharedRoute reuseOrBuildRoute(const RoutingSnapshot *Current, const Service &S,
                              const BucketTable *Table,
                              const std::vector<const Upstream *> &Upstreams) {
  SharedRoute Existing = findRoute(Current, S.Id);
  const Revision Latest = latestChange(S, Table, Upstreams);
  if (Existing && isUpToDate(*Current, Existing, Latest, Upstreams.size()))
    return Existing;
  return buildRoute(S, Table, Upstreams);
}

std::shared_ptr<const RoutingSnapshot>
createSnapshot(const RoutingSnapshot *Current, const Configuration &Next) {
  static const std::vector<const Upstream *> NoUpstreams;
  const UpstreamGroups Groups = groupUpstreams(Next);
  auto Result = std::make_shared<RoutingSnapshot>();
  Result->InForce = Next.InForce;
  Result->ById.reserve(Next.Services.size());
  Result->ByAddress.reserve(Next.Services.size());
  for (const auto &[Id, S] : Next.Services) {
    const auto Group = Groups.find(Id);
    const auto Table = Next.Tables.find(Id);
    SharedRoute Route = reuseOrBuildRoute(
        Current, S, Table == Next.Tables.end() ? nullptr : &Table->second,
        Group == Groups.end() ? NoUpstreams : Group->second);
    // If two services have the same address, only the first is served, in both
    // directions. The control hosts refuse the second one.
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
    return createSnapshot(nullptr, Next);
  if (Next.InForce < Current->InForce)
    return fail(ErrorCode::StaleRevision,
                "configuration revision " +
                    std::to_string(Next.InForce.Number) +
                    " is older than revision " +
                    std::to_string(Current->InForce.Number) + " in force");
  if (Next.InForce == Current->InForce)
    return Current;
  return createSnapshot(Current.get(), Next);
}

std::size_t bucketOf(const Endpoint &Caller) {
  // Serialized in a fixed byte order so that all hosts agree.
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
  const BucketRoute &Choice =
      Route.DistinctRoutes[Route.RouteIndexByBucket[bucketOf(From.Source)]];
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
