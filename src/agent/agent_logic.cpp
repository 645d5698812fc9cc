#include "jasminearch/agent/agent_logic.h"
#include "step.h"
#include <algorithm>
#include <array>

namespace jasminearch::agent {

namespace {

/// Room for a frame header; the largest is about 180 bytes in CBOR.
constexpr std::size_t FrameHeaderRoom = 256;

constexpr std::size_t MaxIssuedPermits = 65'536;
constexpr std::size_t MaxDeliveredBlocks = 131'072;
constexpr std::size_t MaxRoutes = 65'536;
constexpr std::size_t HoldersPerRoute = 4;
constexpr std::size_t OperationsPerRoute = 8;

void takeConfiguration(Step &In,
                       const std::shared_ptr<const control::Configuration> &C) {
  State &S = In.S;
  if (C == nullptr)
    return;
  if (S.Config != nullptr && C->InForce < S.Config->InForce) {
    // A successor has the configuration of its predecessor, and a control host
    // that lags may offer an older one first. Refusing it keeps the promise.
    drop(In, DropReason::StaleConfiguration);
    count(In, control::Promise::ConfigurationHolds, Verdict::Held);
    return;
  }
  S.Config = C;
  count(In, control::Promise::ConfigurationHolds, Verdict::Held);
}

void deriveEntries(State &S, const std::string &DataCentre) {
  S.LivingEntries.clear();
  S.NearEntries.clear();
  std::vector<Endpoint> Far;
  for (const auto &[Name, Entry] : S.Config->Entries) {
    if (!Entry.Alive)
      continue;
    S.LivingEntries.insert(Entry.Tunnel);
    (Entry.DataCentre == DataCentre ? S.NearEntries : Far)
        .push_back(Entry.Tunnel);
  }
  if (S.NearEntries.empty())
    S.NearEntries = Far;
}

/// Recomputes what State keeps from the configuration.
void derive(State &S) {
  S.Siblings.clear();
  if (S.Config == nullptr)
    return;
  const auto Self = S.Config->Upstreams.find(S.Self);
  if (Self == S.Config->Upstreams.end())
    return;
  const control::Upstream &Own = Self->second;
  S.Service = Own.Service;
  if (Own.Instance == S.Instance)
    S.Draining = Own.Phase == control::UpstreamPhase::Draining;
  S.Siblings = siblingsOf(*S.Config, S.Self);
  deriveEntries(S, Own.DataCentre);
  const auto Service = S.Config->Services.find(Own.Service);
  if (Service == S.Config->Services.end())
    return;
  const auto Profile = S.Config->Profiles.find(Service->second.ProfileName);
  if (Profile != S.Config->Profiles.end())
    S.Treatment = Profile->second;
}

bool fromSibling(const State &S, const wire::FrameHeader &Header) {
  const control::Upstream *Sender = liveUpstream(S, Header.Upstream);
  return Sender != nullptr && Header.Service == S.Service &&
         Sender->Service == S.Service && Sender->Instance == Header.Instance;
}

void handleLoad(Step &In, const wire::FrameView &Frame) {
  const auto Report = decodeLoad(Frame.Payload);
  if (!Report)
    return drop(In, DropReason::MalformedFrame);
  In.S.Loads[Frame.Header.Upstream] = {*Report, Frame.Header.Instance, In.Now};
}

bool meantForSelf(const State &S, const wire::FrameHeader &Header) {
  return Header.Service == S.Service && Header.Upstream == S.Self &&
         Header.Instance == S.Instance;
}

void handleDatagramFrame(Step &In, Endpoint From,
                         const wire::FrameView &Frame) {
  if (!meantForSelf(In.S, Frame.Header)) {
    count(In, control::Promise::NoMisdelivery, Verdict::Held);
    return drop(In, DropReason::WrongTarget);
  }
  auto Message = wire::parseCoap(Frame.Payload);
  if (!Message)
    return drop(In, DropReason::MalformedCoap);
  Arrival What{Frame.Header, From, Frame.Payload, std::move(*Message)};
  handleCaller(In, What);
}

void handleFrame(Step &In, const FrameReceived &What) {
  const auto Frame = wire::decodeFrame(What.Datagram);
  if (!Frame)
    return drop(In, DropReason::MalformedFrame);
  if (In.S.Instance.Number == 0 || In.S.Config == nullptr)
    return drop(In, DropReason::NotAnnounced);
  switch (Frame->Header.Kind) {
  case wire::FrameKind::Forward:
  case wire::FrameKind::Relay:
  case wire::FrameKind::Probe:
    return handleDatagramFrame(In, What.From, *Frame);
  case wire::FrameKind::Held:
  case wire::FrameKind::Load:
    if (!fromSibling(In.S, Frame->Header))
      return drop(In, DropReason::WrongTarget);
    return Frame->Header.Kind == wire::FrameKind::Held ? handleHeld(In, *Frame)
                                                       : handleLoad(In, *Frame);
  case wire::FrameKind::Answer:
    break;
  }
  drop(In, DropReason::UnexpectedKind);
}

void sendLoads(Step &In) {
  State &S = In.S;
  if (In.Now < S.NextLoadAt || S.Config == nullptr)
    return;
  S.NextLoadAt = In.Now + LoadInterval;
  const Bytes Report =
      encodeLoad({static_cast<std::uint32_t>(inFlight(S)),
                  static_cast<std::uint32_t>(S.Flows.Lines), S.Options.Slots,
                  S.Draining || S.Stopping || S.UpstreamGone});
  wire::FrameHeader Header;
  Header.Kind = wire::FrameKind::Load;
  Header.Service = S.Service;
  Header.InForce = S.Config->InForce;
  Header.Upstream = S.Self;
  Header.Instance = S.Instance;
  for (const control::Upstream *Sibling : S.Siblings)
    sendFrame(In, Sibling->Agent, Header, Report);
}

void expireFrom(Step &In, FlowsByUse &List, Duration Limit) {
  while (!List.empty() && List.front().LastUsed + Limit <= In.Now) {
    Flow &Old = List.front();
    if (!Old.Exchanges.empty()) {
      // Cancelled requests wait for late responses; looked at again later.
      touchFlow(In.S.Flows, Old, In.Now);
      continue;
    }
    const FlowId Id = Old.Id;
    while (!Old.Lines.empty())
      removeLine(In.S.Flows, Old, wire::Token(Old.Lines.back().RequestToken));
    removeFlow(In.S.Flows, Old);
    In.Out.push_back(CloseFlow{Id});
  }
}

void reportStop(Step &In) {
  State &S = In.S;
  if (!S.Stopping || S.StopReported)
    return;
  const std::size_t Open = inFlight(S);
  if (Open > 0 && In.Now < S.StopDeadline)
    return;
  S.StopReported = true;
  if (Open == 0)
    count(In, control::Promise::GracefulStop, Verdict::Held);
  else
    count(In, control::Promise::GracefulStop, Verdict::Broken,
          std::to_string(Open) + " requests in flight at the end of a stop");
  In.Out.push_back(ReportStopped{Open});
}

void runTimers(Step &In) {
  State &S = In.S;
  expireRecords(S.Records, In.Now);
  runDeadlines(In);
  runProbeTimers(In);
  S.Issued.trim(In.Now);
  S.DeliveredBlocks.trim(In.Now);
  S.Routes.trim(In.Now);
  expireFrom(In, S.Flows.PlainFlows, PlainFlowIdleLimit);
  expireFrom(In, S.Flows.LineFlows, S.Treatment.LineIdleLimit);
  sendLoads(In);
  reportStop(In);
}

struct Dispatcher {
  Step &In;

  void operator()(const FrameReceived &What) { handleFrame(In, What); }
  void operator()(const UpstreamReceived &What) { handleUpstream(In, What); }
  void operator()(const UpstreamRefused &What) {
    handleUpstreamRefused(In, What);
  }
  void operator()(const FlowBound &What) {
    if (Flow *Bound = findFlow(In.S.Flows, What.Flow))
      Bound->LocalPort = What.LocalPort;
  }
  void operator()(const ConfigurationChanged &What) {
    takeConfiguration(In, What.Config);
    derive(In.S);
  }
  void operator()(const Announced &What) {
    In.S.Self = What.Self;
    In.S.Instance = What.Instance;
    derive(In.S);
  }
  void operator()(const TimerFired &) { runTimers(In); }
  void operator()(const StopRequested &) {
    if (In.S.Stopping)
      return;
    In.S.Stopping = true;
    In.S.StopDeadline = In.Now + In.S.Treatment.Deadline;
    reportStop(In);
  }
};

Endpoint livingReturn(const State &S, Endpoint Return, Endpoint Caller) {
  if (S.NearEntries.empty() || S.LivingEntries.contains(Return))
    return Return;
  return S.NearEntries[wire::datagramHash(Caller, {}) % S.NearEntries.size()];
}

void addHolder(Route &To, UpstreamId Holder) {
  const auto Known = std::find(To.Holders.begin(), To.Holders.end(), Holder);
  if (Known != To.Holders.end())
    To.Holders.erase(Known);
  To.Holders.insert(To.Holders.begin(), Holder);
  if (To.Holders.size() > HoldersPerRoute)
    To.Holders.pop_back();
}

void addOperation(Route &To, std::uint64_t Key, UpstreamId Holder) {
  const auto Known =
      std::find_if(To.Operations.begin(), To.Operations.end(),
                   [&](const auto &Entry) { return Entry.first == Key; });
  if (Known != To.Operations.end())
    To.Operations.erase(Known);
  To.Operations.emplace_back(Key, Holder);
  if (To.Operations.size() > OperationsPerRoute)
    To.Operations.erase(To.Operations.begin());
}

} // namespace

State::State(const AgentOptions &Chosen, PermitKey NewKey, TimePoint Now)
    : Options(Chosen), Key(NewKey), Epoch(Now), Latest(Now),
      Issued(MaxIssuedPermits, PermitLifetime),
      DeliveredBlocks(MaxDeliveredBlocks, PermitLifetime),
      Routes(MaxRoutes, PermitLifetime), NextLoadAt(Now), ProbeRefilledAt(Now) {
  Flows.MaxFlows = Chosen.MaxFlows;
  Records.Limits = Chosen.Records;
}

std::size_t inFlight(const State &Of) {
  return Of.Flows.InFlight + Of.OpenUploads.size();
}

const char *name(DropReason Reason) {
  switch (Reason) {
  case DropReason::MalformedFrame:
    return "malformed_frame";
  case DropReason::WrongTarget:
    return "wrong_target";
  case DropReason::NotAnnounced:
    return "not_announced";
  case DropReason::MalformedCoap:
    return "malformed_coap";
  case DropReason::UnknownFlow:
    return "unknown_flow";
  case DropReason::HopLimit:
    return "hop_limit";
  case DropReason::RateLimited:
    return "rate_limited";
  case DropReason::StaleConfiguration:
    return "stale_configuration";
  case DropReason::LateAnswer:
    return "late_answer";
  case DropReason::Duplicate:
    return "duplicate";
  case DropReason::HandedOver:
    return "handed_over";
  case DropReason::UnexpectedKind:
    return "unexpected_kind";
  case DropReason::Count:
    break;
  }
  return "unknown";
}

Effects handle(State &Current, const Event &What, TimePoint Now) {
  Current.Latest = std::max(Current.Latest, Now);
  Step In{Current, Current.Latest, {}};
  if (Current.HandedOver) {
    drop(In, DropReason::HandedOver);
    return {};
  }
  std::visit(Dispatcher{In}, What);
  return std::move(In.Out);
}

std::vector<control::PromiseCount> promiseCounts(const State &Of) {
  std::vector<control::PromiseCount> Out;
  for (const auto &[Which, Counted] : Of.Promises) {
    Out.push_back(Counted);
    Out.back().Service = Of.Service;
  }
  return Out;
}

void drop(Step &In, DropReason Reason) {
  ++In.S.Drops.ByReason[static_cast<std::size_t>(Reason)];
}

void count(Step &In, control::Promise Which, Verdict Seen,
           const std::string &Evidence) {
  control::PromiseCount &Counted = In.S.Promises[Which];
  Counted.Which = Which;
  if (Seen == Verdict::Held) {
    ++Counted.Held;
    return;
  }
  ++(Seen == Verdict::Broken ? Counted.Broken : Counted.Unknown);
  Counted.Evidence = Evidence;
}

std::uint16_t nextMessageId(Step &In) { return ++In.S.LastMessageId; }

std::uint64_t agentTimeMs(const State &Of, TimePoint At) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(At - Of.Epoch)
          .count());
}

OwnerLookup lookUpOwner(const State &Of, UpstreamId Id, Incarnation Instance) {
  if (Id == Of.Self && Instance == Of.Instance)
    return {OwnerStatus::Self, nullptr};
  // An incarnation is the revision of its announcement: one above the
  // configuration in force may exist, one at or below it would be known.
  const bool MayBeNewer = Instance.Number > Of.Config->InForce.Number &&
                          Instance.Number > Of.Instance.Number;
  const OwnerLookup Unseen{
      MayBeNewer ? OwnerStatus::NotYetKnown : OwnerStatus::Gone, nullptr};
  const auto Found = Of.Config->Upstreams.find(Id);
  if (Id == Of.Self || Found == Of.Config->Upstreams.end())
    return Unseen;
  const control::Upstream &Owner = Found->second;
  if (Owner.Service != Of.Service)
    return {OwnerStatus::Gone, nullptr};
  if (Owner.Instance != Instance)
    return Unseen;
  if (Owner.Phase == control::UpstreamPhase::Lost)
    return {OwnerStatus::Gone, nullptr};
  return {OwnerStatus::Other, &Owner};
}

const control::Upstream *liveUpstream(const State &Of, UpstreamId Id) {
  const auto Found = Of.Config->Upstreams.find(Id);
  if (Id == Of.Self || Found == Of.Config->Upstreams.end() ||
      Found->second.Phase == control::UpstreamPhase::Lost ||
      Found->second.Service != Of.Service)
    return nullptr;
  return &Found->second;
}

void sendFrame(Step &In, Endpoint To, const wire::FrameHeader &Header,
               absl::Span<const std::uint8_t> Payload) {
  Bytes Datagram(FrameHeaderRoom + Payload.size());
  const auto Size =
      wire::encodeFrame(Header, Payload, absl::MakeSpan(Datagram));
  if (!Size)
    return drop(In, DropReason::MalformedFrame);
  Datagram.resize(*Size);
  In.Out.push_back(SendFrame{To, std::move(Datagram)});
}

void sendToCaller(Step &In, const wire::FrameHeader &Of,
                  absl::Span<const std::uint8_t> Datagram) {
  wire::FrameHeader Header;
  Header.Kind = wire::FrameKind::Answer;
  Header.Service = In.S.Service;
  Header.InForce = In.S.Config->InForce;
  Header.Upstream = In.S.Self;
  Header.Instance = In.S.Instance;
  Header.Caller = Of.Caller;
  Header.ServiceAddress = Of.ServiceAddress;
  Header.Return = livingReturn(In.S, Of.Return, Of.Caller);
  Header.Trace = Of.Trace;
  sendFrame(In, Header.Return, Header, Datagram);
}

void sendToCaller(Step &In, const Flow &To,
                  absl::Span<const std::uint8_t> Datagram) {
  wire::FrameHeader Header;
  Header.Caller = To.Caller;
  Header.ServiceAddress = To.ServiceAddress;
  Header.Return = To.Return;
  Header.Trace = To.Trace;
  sendToCaller(In, Header, Datagram);
}

void passOn(Step &In, const Arrival &What, const control::Upstream &To,
            Incarnation Instance, wire::FrameKind Kind) {
  wire::FrameHeader Header = What.Header;
  if (Header.Hops >= MaxHops)
    return drop(In, DropReason::HopLimit);
  Header.Kind = Kind;
  Header.InForce = In.S.Config->InForce;
  Header.Upstream = To.Id;
  Header.Instance = Instance;
  ++Header.Hops;
  sendFrame(In, To.Agent, Header, What.Datagram);
}

void rememberRoute(Step &In, Endpoint Caller, UpstreamId Holder,
                   std::optional<std::uint64_t> OperationKey) {
  const Route *Known = In.S.Routes.find(Caller, In.Now);
  Route Updated = Known == nullptr ? Route() : *Known;
  addHolder(Updated, Holder);
  if (OperationKey)
    addOperation(Updated, *OperationKey, Holder);
  In.S.Routes.put(Caller, std::move(Updated), In.Now);
  Flow *Local = findFlow(In.S.Flows, Caller);
  if (Local != nullptr && OperationKey)
    forgetTransfer(*Local, *OperationKey);
}

void forgetRoute(Step &In, Endpoint Caller, std::uint64_t OperationKey) {
  Route *Known = In.S.Routes.find(Caller, In.Now);
  if (Known == nullptr)
    return;
  const auto Found =
      std::find_if(Known->Operations.begin(), Known->Operations.end(),
                   [&](const auto &E) { return E.first == OperationKey; });
  if (Found != Known->Operations.end())
    Known->Operations.erase(Found);
}

bool hasFreeSlot(const State &Of) { return inFlight(Of) < Of.Options.Slots; }

} // namespace jasminearch::agent
