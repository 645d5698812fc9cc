#include "jasminearch/agent/agent_logic.h"
#include "step.h"
#include <algorithm>
#include <array>

namespace jasminearch::agent {

namespace {

/// Buffer space for a frame header. The largest one takes about 180 bytes.
constexpr std::size_t MaxFrameHeaderBytes = 256;

constexpr std::size_t MaxIssuedPermits = 65'536;
constexpr std::size_t MaxDeliveredBlocks = 131'072;
constexpr std::size_t MaxRoutes = 65'536;
constexpr std::size_t HoldersPerRoute = 4;
constexpr std::size_t OperationsPerRoute = 8;

void applyConfiguration(
    HandlerContext &Context,
    const std::shared_ptr<const control::Configuration> &NewConfig) {
  State &AgentState = Context.AgentState;
  if (NewConfig == nullptr)
    return;
  if (AgentState.Config != nullptr &&
      NewConfig->InForce < AgentState.Config->InForce) {
    // A successor starts with its predecessor's configuration, and a control
    // host that lags behind may send an older one first. Rejecting the older
    // one keeps the promise that a configuration holds.
    countDrop(Context, DropReason::StaleConfiguration);
    countPromise(Context, control::Promise::ConfigurationHolds, Verdict::Held);
    return;
  }
  AgentState.Config = NewConfig;
  countPromise(Context, control::Promise::ConfigurationHolds, Verdict::Held);
}

void updateEntryHosts(State &AgentState, const std::string &DataCentre) {
  AgentState.AliveEntries.clear();
  AgentState.PreferredEntries.clear();
  std::vector<Endpoint> OtherEntries;
  for (const auto &[Name, Entry] : AgentState.Config->Entries) {
    if (!Entry.Alive)
      continue;
    AgentState.AliveEntries.insert(Entry.Tunnel);
    (Entry.DataCentre == DataCentre ? AgentState.PreferredEntries
                                    : OtherEntries)
        .push_back(Entry.Tunnel);
  }
  if (AgentState.PreferredEntries.empty())
    AgentState.PreferredEntries = OtherEntries;
}

/// Recomputes the members of State that are derived from the configuration.
void updateDerivedState(State &AgentState) {
  AgentState.Siblings.clear();
  if (AgentState.Config == nullptr)
    return;
  const auto Self = AgentState.Config->Upstreams.find(AgentState.Self);
  if (Self == AgentState.Config->Upstreams.end())
    return;
  const control::Upstream &Own = Self->second;
  AgentState.Service = Own.Service;
  if (Own.Instance == AgentState.Instance)
    AgentState.Draining = Own.Phase == control::UpstreamPhase::Draining;
  AgentState.Siblings = siblingsOf(*AgentState.Config, AgentState.Self);
  updateEntryHosts(AgentState, Own.DataCentre);
  const auto Service = AgentState.Config->Services.find(Own.Service);
  if (Service == AgentState.Config->Services.end())
    return;
  const auto Profile =
      AgentState.Config->Profiles.find(Service->second.ProfileName);
  if (Profile != AgentState.Config->Profiles.end())
    AgentState.ServiceProfile = Profile->second;
}

bool isFromSibling(const State &AgentState, const wire::FrameHeader &Header) {
  const control::Upstream *Sender = liveUpstream(AgentState, Header.Upstream);
  return Sender != nullptr && Header.Service == AgentState.Service &&
         Sender->Service == AgentState.Service &&
         Sender->Instance == Header.Instance;
}

void handleLoadFrame(HandlerContext &Context, const wire::FrameView &Frame) {
  const auto Report = decodeLoad(Frame.Payload);
  if (!Report)
    return countDrop(Context, DropReason::MalformedFrame);
  Context.AgentState.Loads[Frame.Header.Upstream] = {
      *Report, Frame.Header.Instance, Context.Now};
}

bool isAddressedToSelf(const State &AgentState,
                       const wire::FrameHeader &Header) {
  return Header.Service == AgentState.Service &&
         Header.Upstream == AgentState.Self &&
         Header.Instance == AgentState.Instance;
}

void handleDatagramFrame(HandlerContext &Context, Endpoint From,
                         const wire::FrameView &Frame) {
  if (!isAddressedToSelf(Context.AgentState, Frame.Header)) {
    countPromise(Context, control::Promise::NoMisdelivery, Verdict::Held);
    return countDrop(Context, DropReason::WrongTarget);
  }
  auto Message = wire::parseCoap(Frame.Payload);
  if (!Message)
    return countDrop(Context, DropReason::MalformedCoap);
  CallerDatagram Incoming{Frame.Header, From, Frame.Payload,
                          std::move(*Message)};
  handleCallerDatagram(Context, Incoming);
}

void handleFrame(HandlerContext &Context, const FrameReceived &Input) {
  const auto Frame = wire::decodeFrame(Input.Datagram);
  if (!Frame)
    return countDrop(Context, DropReason::MalformedFrame);
  if (Context.AgentState.Instance.Number == 0 ||
      Context.AgentState.Config == nullptr)
    return countDrop(Context, DropReason::NotAnnounced);
  switch (Frame->Header.Kind) {
  case wire::FrameKind::Forward:
  case wire::FrameKind::Relay:
  case wire::FrameKind::Probe:
    return handleDatagramFrame(Context, Input.From, *Frame);
  case wire::FrameKind::Held:
  case wire::FrameKind::Load:
    if (!isFromSibling(Context.AgentState, Frame->Header))
      return countDrop(Context, DropReason::WrongTarget);
    return Frame->Header.Kind == wire::FrameKind::Held
               ? handleHeldFrame(Context, *Frame)
               : handleLoadFrame(Context, *Frame);
  case wire::FrameKind::Answer:
    break;
  }
  countDrop(Context, DropReason::UnexpectedKind);
}

void sendLoadReports(HandlerContext &Context) {
  State &AgentState = Context.AgentState;
  if (Context.Now < AgentState.NextLoadAt || AgentState.Config == nullptr)
    return;
  AgentState.NextLoadAt = Context.Now + LoadInterval;
  const Bytes Report = encodeLoad(
      {static_cast<std::uint32_t>(inFlight(AgentState)),
       static_cast<std::uint32_t>(AgentState.Flows.Lines),
       AgentState.Options.Slots,
       AgentState.Draining || AgentState.Stopping || AgentState.UpstreamGone});
  wire::FrameHeader Header;
  Header.Kind = wire::FrameKind::Load;
  Header.Service = AgentState.Service;
  Header.InForce = AgentState.Config->InForce;
  Header.Upstream = AgentState.Self;
  Header.Instance = AgentState.Instance;
  for (const control::Upstream *Sibling : AgentState.Siblings)
    sendFrame(Context, Sibling->Agent, Header, Report);
}

void expireFlows(HandlerContext &Context, FlowList &List, Duration Limit) {
  while (!List.empty() && List.front().LastUsed + Limit <= Context.Now) {
    Flow &Old = List.front();
    if (!Old.Exchanges.empty()) {
      // Cancelled exchanges still wait for late responses, so the flow is kept
      // for another idle period.
      touchFlow(Context.AgentState.Flows, Old, Context.Now);
      continue;
    }
    const FlowId Id = Old.Id;
    while (!Old.Lines.empty())
      removeLine(Context.AgentState.Flows, Old,
                 wire::Token(Old.Lines.back().RequestToken));
    removeFlow(Context.AgentState.Flows, Old);
    Context.PendingEffects.push_back(CloseFlow{Id});
  }
}

void reportStopIfComplete(HandlerContext &Context) {
  State &AgentState = Context.AgentState;
  if (!AgentState.Stopping || AgentState.StopReported)
    return;
  const std::size_t Open = inFlight(AgentState);
  if (Open > 0 && Context.Now < AgentState.StopDeadline)
    return;
  AgentState.StopReported = true;
  if (Open == 0)
    countPromise(Context, control::Promise::GracefulStop, Verdict::Held);
  else
    countPromise(Context, control::Promise::GracefulStop, Verdict::Broken,
                 std::to_string(Open) +
                     " requests were still in flight at the stop deadline");
  Context.PendingEffects.push_back(ReportStopped{Open});
}

void runTimers(HandlerContext &Context) {
  State &AgentState = Context.AgentState;
  expireRecords(AgentState.Records, Context.Now);
  enforceDeadlines(Context);
  processProbeTimeouts(Context);
  AgentState.IssuedPermits.trim(Context.Now);
  AgentState.DeliveredBlocks.trim(Context.Now);
  AgentState.Routes.trim(Context.Now);
  expireFlows(Context, AgentState.Flows.PlainFlows, PlainFlowIdleLimit);
  expireFlows(Context, AgentState.Flows.LineFlows,
              AgentState.ServiceProfile.LineIdleLimit);
  sendLoadReports(Context);
  reportStopIfComplete(Context);
}

struct EventVisitor {
  HandlerContext &Context;

  void operator()(const FrameReceived &Input) { handleFrame(Context, Input); }
  void operator()(const UpstreamReceived &Input) {
    handleUpstreamDatagram(Context, Input);
  }
  void operator()(const UpstreamRefused &Input) {
    handleUpstreamRefused(Context, Input);
  }
  void operator()(const FlowBound &Input) {
    if (Flow *Bound = findFlow(Context.AgentState.Flows, Input.Flow))
      Bound->LocalPort = Input.LocalPort;
  }
  void operator()(const ConfigurationChanged &Input) {
    applyConfiguration(Context, Input.Config);
    updateDerivedState(Context.AgentState);
  }
  void operator()(const Announced &Input) {
    Context.AgentState.Self = Input.Self;
    Context.AgentState.Instance = Input.Instance;
    updateDerivedState(Context.AgentState);
  }
  void operator()(const TimerFired &) { runTimers(Context); }
  void operator()(const StopRequested &) {
    if (Context.AgentState.Stopping)
      return;
    Context.AgentState.Stopping = true;
    Context.AgentState.StopDeadline =
        Context.Now + Context.AgentState.ServiceProfile.Deadline;
    reportStopIfComplete(Context);
  }
};

Endpoint selectReturnEntry(const State &AgentState, Endpoint Return,
                           Endpoint Caller) {
  if (AgentState.PreferredEntries.empty() ||
      AgentState.AliveEntries.contains(Return))
    return Return;
  return AgentState.PreferredEntries[wire::datagramHash(Caller, {}) %
                                     AgentState.PreferredEntries.size()];
}

void addHolder(Route &To, UpstreamId Holder) {
  const auto Existing = std::find(To.Holders.begin(), To.Holders.end(), Holder);
  if (Existing != To.Holders.end())
    To.Holders.erase(Existing);
  To.Holders.insert(To.Holders.begin(), Holder);
  if (To.Holders.size() > HoldersPerRoute)
    To.Holders.pop_back();
}

void addOperation(Route &To, std::uint64_t Key, UpstreamId Holder) {
  const auto Existing =
      std::find_if(To.Operations.begin(), To.Operations.end(),
                   [&](const auto &Entry) { return Entry.first == Key; });
  if (Existing != To.Operations.end())
    To.Operations.erase(Existing);
  To.Operations.emplace_back(Key, Holder);
  if (To.Operations.size() > OperationsPerRoute)
    To.Operations.erase(To.Operations.begin());
}

} // namespace

State::State(const AgentOptions &InitialOptions, PermitKey NewKey,
             TimePoint Now)
    : Options(InitialOptions), Key(NewKey), Epoch(Now), LatestTime(Now),
      IssuedPermits(MaxIssuedPermits, PermitLifetime),
      DeliveredBlocks(MaxDeliveredBlocks, PermitLifetime),
      Routes(MaxRoutes, PermitLifetime), NextLoadAt(Now),
      ProbeTokensUpdatedAt(Now) {
  Flows.MaxFlows = InitialOptions.MaxFlows;
  Records.Limits = InitialOptions.Records;
}

std::size_t inFlight(const State &AgentState) {
  return AgentState.Flows.InFlight + AgentState.OpenUploads.size();
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

Effects handle(State &AgentState, const Event &Input, TimePoint Now) {
  AgentState.LatestTime = std::max(AgentState.LatestTime, Now);
  HandlerContext Context{AgentState, AgentState.LatestTime, {}};
  if (AgentState.HandedOver) {
    countDrop(Context, DropReason::HandedOver);
    return {};
  }
  std::visit(EventVisitor{Context}, Input);
  return std::move(Context.PendingEffects);
}

std::vector<control::PromiseCount> promiseCounts(const State &AgentState) {
  std::vector<control::PromiseCount> Out;
  for (const auto &[Which, Counted] : AgentState.Promises) {
    Out.push_back(Counted);
    Out.back().Service = AgentState.Service;
  }
  return Out;
}

void countDrop(HandlerContext &Context, DropReason Reason) {
  ++Context.AgentState.Drops.ByReason[static_cast<std::size_t>(Reason)];
}

void countPromise(HandlerContext &Context, control::Promise Which,
                  Verdict Observed, const std::string &Evidence) {
  control::PromiseCount &Counted = Context.AgentState.Promises[Which];
  Counted.Which = Which;
  if (Observed == Verdict::Held) {
    ++Counted.Held;
    return;
  }
  ++(Observed == Verdict::Broken ? Counted.Broken : Counted.Unknown);
  Counted.Evidence = Evidence;
}

std::uint16_t nextMessageId(HandlerContext &Context) {
  return ++Context.AgentState.LastMessageId;
}

std::uint64_t agentTimeMs(const State &AgentState, TimePoint Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time -
                                                            AgentState.Epoch)
          .count());
}

OwnerLookup lookUpOwner(const State &AgentState, UpstreamId Id,
                        Incarnation Instance) {
  if (Id == AgentState.Self && Instance == AgentState.Instance)
    return {OwnerStatus::Self, nullptr};
  // An incarnation is the revision of its announcement. One above the
  // configuration in force may exist; one at or below it would be listed.
  const bool MayBeNewer = Instance.Number > AgentState.Config->InForce.Number &&
                          Instance.Number > AgentState.Instance.Number;
  const OwnerLookup Unseen{
      MayBeNewer ? OwnerStatus::NotYetKnown : OwnerStatus::Gone, nullptr};
  const auto Found = AgentState.Config->Upstreams.find(Id);
  if (Id == AgentState.Self || Found == AgentState.Config->Upstreams.end())
    return Unseen;
  const control::Upstream &Owner = Found->second;
  if (Owner.Service != AgentState.Service)
    return {OwnerStatus::Gone, nullptr};
  if (Owner.Instance != Instance)
    return Unseen;
  if (Owner.Phase == control::UpstreamPhase::Lost)
    return {OwnerStatus::Gone, nullptr};
  return {OwnerStatus::Other, &Owner};
}

const control::Upstream *liveUpstream(const State &AgentState, UpstreamId Id) {
  const auto Found = AgentState.Config->Upstreams.find(Id);
  if (Id == AgentState.Self || Found == AgentState.Config->Upstreams.end() ||
      Found->second.Phase == control::UpstreamPhase::Lost ||
      Found->second.Service != AgentState.Service)
    return nullptr;
  return &Found->second;
}

void sendFrame(HandlerContext &Context, Endpoint To,
               const wire::FrameHeader &Header,
               absl::Span<const std::uint8_t> Payload) {
  Bytes Datagram(MaxFrameHeaderBytes + Payload.size());
  const auto Size =
      wire::encodeFrame(Header, Payload, absl::MakeSpan(Datagram));
  if (!Size)
    return countDrop(Context, DropReason::MalformedFrame);
  Datagram.resize(*Size);
  Context.PendingEffects.push_back(SendFrame{To, std::move(Datagram)});
}

void sendToCaller(HandlerContext &Context,
                  const wire::FrameHeader &RequestHeader,
                  absl::Span<const std::uint8_t> Datagram) {
  wire::FrameHeader Header;
  Header.Kind = wire::FrameKind::Answer;
  Header.Service = Context.AgentState.Service;
  Header.InForce = Context.AgentState.Config->InForce;
  Header.Upstream = Context.AgentState.Self;
  Header.Instance = Context.AgentState.Instance;
  Header.Caller = RequestHeader.Caller;
  Header.ServiceAddress = RequestHeader.ServiceAddress;
  Header.Return = selectReturnEntry(Context.AgentState, RequestHeader.Return,
                                    RequestHeader.Caller);
  Header.Trace = RequestHeader.Trace;
  sendFrame(Context, Header.Return, Header, Datagram);
}

void sendToCaller(HandlerContext &Context, const Flow &To,
                  absl::Span<const std::uint8_t> Datagram) {
  wire::FrameHeader Header;
  Header.Caller = To.Caller;
  Header.ServiceAddress = To.ServiceAddress;
  Header.Return = To.Return;
  Header.Trace = To.Trace;
  sendToCaller(Context, Header, Datagram);
}

void forwardToAgent(HandlerContext &Context, const CallerDatagram &Incoming,
                    const control::Upstream &To, Incarnation Instance,
                    wire::FrameKind Kind) {
  wire::FrameHeader Header = Incoming.Header;
  if (Header.Hops >= MaxHops)
    return countDrop(Context, DropReason::HopLimit);
  Header.Kind = Kind;
  Header.InForce = Context.AgentState.Config->InForce;
  Header.Upstream = To.Id;
  Header.Instance = Instance;
  ++Header.Hops;
  sendFrame(Context, To.Agent, Header, Incoming.Datagram);
}

void updateRoute(HandlerContext &Context, Endpoint Caller, UpstreamId Holder,
                 std::optional<std::uint64_t> OperationKey) {
  const Route *Existing = Context.AgentState.Routes.find(Caller, Context.Now);
  Route Updated = Existing == nullptr ? Route() : *Existing;
  addHolder(Updated, Holder);
  if (OperationKey)
    addOperation(Updated, *OperationKey, Holder);
  Context.AgentState.Routes.put(Caller, std::move(Updated), Context.Now);
  Flow *Local = findFlow(Context.AgentState.Flows, Caller);
  if (Local != nullptr && OperationKey)
    removeTransfer(*Local, *OperationKey);
}

void removeRoutedOperation(HandlerContext &Context, Endpoint Caller,
                           std::uint64_t OperationKey) {
  Route *Existing = Context.AgentState.Routes.find(Caller, Context.Now);
  if (Existing == nullptr)
    return;
  const auto Found =
      std::find_if(Existing->Operations.begin(), Existing->Operations.end(),
                   [&](const auto &E) { return E.first == OperationKey; });
  if (Found != Existing->Operations.end())
    Existing->Operations.erase(Found);
}

bool hasFreeSlot(const State &AgentState) {
  return inFlight(AgentState) < AgentState.Options.Slots;
}

} // namespace jasminearch::agent
