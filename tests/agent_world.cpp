#include "agent_world.h"
#include <algorithm>

namespace jasminearch::agent::test {

namespace {

constexpr Duration HopDelay = 1ms;
constexpr int MaxRetransmissions = 4;
constexpr std::chrono::seconds ClockJumpSize{300};

CoapMessage request(std::uint8_t Code, std::string_view Path) {
  CoapMessage Out;
  Out.Code = Code;
  addOption(Out, wire::option::UriPath, bytesOf(Path));
  return Out;
}

std::string describe(absl::Span<const std::uint8_t> Datagram) {
  const auto Read = wire::parseCoap(Datagram);
  if (!Read)
    return "malformed";
  constexpr unsigned DetailMask = 31;
  static const char *const Types[] = {"CON", "NON", "ACK", "RST"};
  std::string Out = Types[static_cast<int>(Read->Type)];
  Out += " " + std::to_string(Read->codeClass()) + "." +
         std::to_string(Read->Code & DetailMask) + " mid " +
         std::to_string(Read->MessageId);
  for (const wire::OptionView &Option : Read->Options)
    Out += Option.Number == wire::option::Echo
               ? " echo"
               : " " + std::to_string(Option.Number) + "=" +
                     (Option.Number == wire::option::UriPath ||
                              Option.Number == wire::option::LocationPath
                          ? textOf(Option.Value)
                          : std::to_string(
                                uintOption(*Read, Option.Number).value_or(0)));
  return Out +
         (Read->Payload.empty() ? "" : " '" + textOf(Read->Payload) + "'");
}

} // namespace

void FakeUpstream::sendReliably(std::uint16_t Port, const CoapMessage &Message,
                                int RetriesLeft) {
  if (AcknowledgedIds[Message.MessageId])
    return;
  if (RetriesLeft < 0) {
    ++NeverAcknowledged;
    return;
  }
  Simulation->sendFromUpstream(AgentIndex, Port, buildCoap(Message).value());
  const auto Again = std::make_shared<Bytes>(buildCoap(Message).value());
  Simulation->schedule(2s, [this, Port, Again, RetriesLeft] {
    sendReliably(Port, *wire::parseCoap(*Again), RetriesLeft - 1);
  });
}

void FakeUpstream::answer(std::uint16_t Port, const CoapMessage &To,
                          std::uint8_t Code, const std::string &Payload,
                          const CoapMessage &ResponseOptions) {
  CoapMessage Out = makeResponse(To, Code, ++NextMessageId);
  Out.Options = ResponseOptions.Options;
  Out.Payload = bytesOf(Payload);
  Duration Wait = 5ms + ExtraDelay;
  if (SeparateResponses) {
    const Bytes Ack =
        wire::buildEmptyMessage(CoapType::Acknowledgement, To.MessageId);
    Simulation->sendFromUpstream(AgentIndex, Port, Ack);
    Out.Type = CoapType::Confirmable;
    Out.MessageId = ++NextMessageId;
    Wait += 50ms;
  }
  const auto Built = std::make_shared<Bytes>(buildCoap(Out).value());
  Simulation->schedule(Wait, [this, Port, Built] {
    const CoapMessage Message = *wire::parseCoap(*Built);
    if (Message.Type == CoapType::Confirmable)
      sendReliably(Port, Message, MaxRetransmissions);
    else
      Simulation->sendFromUpstream(AgentIndex, Port, *Built);
  });
}

void FakeUpstream::notify(std::uint16_t Port, wire::Token Token,
                          const std::string &Id, int Number) {
  if (!ObservedPorts[Port] || Number > NotificationCount)
    return;
  CoapMessage Out;
  Out.Code = wire::code::Content;
  Out.MessageId = ++NextMessageId;
  Out.RequestToken = Token;
  const wire::UintValue Sequence =
      wire::encodeUint(static_cast<std::uint32_t>(Number));
  addOption(Out, wire::option::Observe, Sequence.span());
  const std::string Payload = "feed:" + Id + ":" + std::to_string(Number);
  Out.Payload = bytesOf(Payload);
  sendReliably(Port, Out, MaxRetransmissions);
  Simulation->schedule(1s, [=, this] { notify(Port, Token, Id, Number + 1); });
}

void FakeUpstream::receive(std::uint16_t Port, const Bytes &Datagram) {
  const CoapMessage Request = wire::parseCoap(Datagram).value();
  if (Request.isEmpty()) {
    AcknowledgedIds[Request.MessageId] = true;
    if (Request.Type == CoapType::Reset)
      ObservedPorts[Port] = false;
    return;
  }
  const std::string Path(firstPathSegment(Request));
  const auto Query = findOption(Request, wire::option::UriQuery);
  const std::string Id = Query ? textOf(*Query) : textOf(Request.Payload);
  CoapMessage Options;
  if (Path == "lists")
    return answer(Port, Request, wire::code::Content, "lists:" + Id);
  if (Path == "sheet") {
    const auto Asked = blockOption(Request, wire::option::Block2);
    const std::uint32_t Number = Asked ? Asked->Number : 0;
    const wire::UintValue Value =
        wire::encodeBlock({Number, Number + 1 < SheetBlocks, 0});
    addOption(Options, wire::option::Block2, Value.span());
    return answer(Port, Request, wire::code::Content,
                  "sheet:" + Id + "#" + std::to_string(Number) + ";", Options);
  }
  if (Path == "feed") {
    const bool Opens = uintOption(Request, wire::option::Observe) == 0U;
    const bool Known = ObservedPorts[Port];
    ObservedPorts[Port] = Opens;
    if (!Opens)
      return answer(Port, Request, wire::code::Content, "feed:" + Id + ":end");
    addOption(Options, wire::option::Observe, {});
    answer(Port, Request, wire::code::Content, "feed:" + Id + ":0", Options);
    const wire::Token Token = Request.RequestToken;
    if (!Known)
      Simulation->schedule(1s, [=, this] { notify(Port, Token, Id, 1); });
    return;
  }
  const auto Block = blockOption(Request, wire::option::Block1);
  std::string &Upload = Uploads[std::to_string(Port) + Path];
  if (Block && Block->Number == 0)
    Upload.clear();
  if (Block)
    Upload += textOf(Request.Payload);
  if (Block && Block->More) {
    const wire::UintValue Value = wire::encodeBlock(*Block);
    addOption(Options, wire::option::Block1, Value.span());
    return answer(Port, Request, wire::code::Continue, "", Options);
  }
  const std::string Whole = Block ? Upload : textOf(Request.Payload);
  ++Simulation->Runs[Whole];
  addOption(Options, wire::option::LocationPath, bytesOf("orders"));
  answer(Port, Request, wire::code::Created, "done:" + Whole, Options);
}

void FakeCaller::start() {
  Block = 0;
  Body.clear();
  sendRequest();
}

void FakeCaller::sendRequest() {
  const bool IsPost = Kind == SessionKind::Post ||
                      Kind == SessionKind::SeparatePost ||
                      Kind == SessionKind::BlockPost;
  CoapMessage Out = request(IsPost ? wire::code::Post : wire::code::Get,
                            IsPost                          ? "orders"
                            : Kind == SessionKind::Get      ? "lists"
                            : Kind == SessionKind::BlockGet ? "sheet"
                                                            : "feed");
  if (Kind == SessionKind::Feed)
    addOption(Out, wire::option::Observe, {});
  if (!IsPost)
    addOption(Out, wire::option::UriQuery, bytesOf(Id));
  constexpr std::size_t BlockBytes = 16;
  const std::string Whole = Kind == SessionKind::BlockPost
                                ? Id + std::string(3 * BlockBytes - 8, 'x')
                                : Id;
  wire::UintValue Value;
  std::string Part = Whole;
  if (Kind == SessionKind::BlockGet && Block > 0) {
    Value = wire::encodeBlock({Block, false, 0});
    addOption(Out, wire::option::Block2, Value.span());
  }
  if (Kind == SessionKind::BlockPost) {
    Part = Whole.substr(Block * BlockBytes, BlockBytes);
    Value =
        wire::encodeBlock({Block, (Block + 1) * BlockBytes < Whole.size(), 0});
    addOption(Out, wire::option::Block1, Value.span());
  }
  if (!Echo.empty())
    addOption(Out, wire::option::Echo, bytesOf(Echo));
  if (IsPost)
    Out.Payload = bytesOf(Part);
  Out.MessageId = ++NextMessageId;
  Out.RequestToken = {2, {0xA0, NextToken++}};
  FeedToken = Out.RequestToken;
  EncodedRequest = buildCoap(Out).value();
  PendingRequest = wire::parseCoap(EncodedRequest).value();
  Echo.clear();
  AwaitingResponse = true;
  Acknowledged = false;
  ++Generation;
  Simulation->sendFromCaller(EncodedRequest);
  retransmit(Generation, MaxRetransmissions, 2s);
}

void FakeCaller::retransmit(std::uint64_t RequestGeneration, int RetriesLeft,
                            Duration After) {
  Simulation->schedule(After, [=, this] {
    if (!AwaitingResponse || Generation != RequestGeneration)
      return;
    if (RetriesLeft == 0)
      return complete(Result::Unknown);
    if (!Acknowledged)
      Simulation->sendFromCaller(EncodedRequest);
    retransmit(RequestGeneration, RetriesLeft - 1, After * 2);
  });
}

void FakeCaller::receive(const Bytes &Datagram) {
  const CoapMessage Message = wire::parseCoap(Datagram).value();
  const bool Confirmable = Message.Type == CoapType::Confirmable;
  const bool MatchesToken =
      !Message.isEmpty() && Message.RequestToken == PendingRequest.RequestToken;
  const bool MatchesFeed =
      Kind == SessionKind::Feed && Message.RequestToken == FeedToken;
  if (Message.isEmpty()) {
    if (AwaitingResponse && Message.MessageId == PendingRequest.MessageId) {
      if (Message.Type == CoapType::Reset)
        complete(Result::Unknown);
      Acknowledged = true;
    }
    return;
  }
  if (Confirmable) {
    const bool Repeats = LastConfirmableId == Message.MessageId;
    LastConfirmableId = Message.MessageId;
    if (Repeats && Behaviour == CallerBehaviour::DropsRepeats)
      return;
  }
  if (Confirmable)
    Simulation->sendFromCaller(wire::buildEmptyMessage(
        MatchesToken || MatchesFeed ? CoapType::Acknowledgement
                                    : CoapType::Reset,
        Message.MessageId));
  const bool Piggybacked = Message.Type == CoapType::Acknowledgement;
  if (!Piggybacked && !SeenMessageIds.insert(Message.MessageId).second)
    return;
  const bool Matches =
      MatchesToken &&
      (!Piggybacked || Message.MessageId == PendingRequest.MessageId);
  if (AwaitingResponse && Matches) {
    AwaitingResponse = false;
    ++Generation;
    return handleResponse(Message);
  }
  const std::string Payload = textOf(Message.Payload);
  if (!MatchesFeed || Outcome != Result::Open)
    return;
  if (Payload.rfind("feed:" + Id + ":", 0) != 0)
    WrongAnswer = true;
  Notifications.insert(Payload.back() - '0');
  if (Notifications.contains(NotificationCount))
    complete(Result::Answered);
}

void FakeCaller::handleResponse(const CoapMessage &Answer) {
  const std::string Payload = textOf(Answer.Payload);
  if (const auto Permit = findOption(Answer, wire::option::Echo)) {
    Echo = textOf(*Permit);
    return sendRequest();
  }
  if (Payload == NotRunPayload)
    return complete(Result::NotRun);
  if (Payload == UnknownPayload || Answer.codeClass() > 2)
    return complete(Result::Unknown);
  if (Answer.Code == wire::code::Continue) {
    ++Block;
    return sendRequest();
  }
  const auto Block2 = blockOption(Answer, wire::option::Block2);
  Body += Payload;
  if (Block2 && Block2->More) {
    ++Block;
    return sendRequest();
  }
  static const std::map<SessionKind, std::string> Expected = {
      {SessionKind::Get, "lists:"},
      {SessionKind::BlockGet, "sheet:"},
      {SessionKind::Feed, "feed:"}};
  const auto Prefix = Expected.find(Kind);
  const std::string Start =
      (Prefix == Expected.end() ? "done:" : Prefix->second) + Id;
  WrongAnswer = WrongAnswer || Body.rfind(Start, 0) != 0;
  if (Kind == SessionKind::BlockGet)
    WrongAnswer = WrongAnswer ||
                  Body != Start + "#0;sheet:" + Id + "#1;sheet:" + Id + "#2;";
  if (Kind == SessionKind::BlockPost)
    WrongAnswer = WrongAnswer || Body != Start + std::string(40, 'x');
  if (Kind != SessionKind::Feed)
    complete(Result::Answered);
}

AgentSimulation::AgentSimulation(std::size_t AgentCount, std::uint32_t Slots)
    : Agents(AgentCount) {
  AgentOptions Options;
  Options.Slots = Slots;
  control::Profile ServiceProfile;
  ServiceProfile.Name = "p";
  Config.Profiles["p"] = ServiceProfile;
  Config.Services[{1}] = {{1}, "order", ServiceEndpoint, "p", {}};
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    const std::string Name = "entry" + std::to_string(Index);
    Config.Entries[Name] = {Name, "dc1", entryEndpoint(Index), true, {}};
  }
  for (std::size_t Index = 0; Index < AgentCount; ++Index) {
    control::Upstream Up;
    Up.Id = upstreamId(Index);
    Up.Name = "u" + std::to_string(Index);
    Up.Service = {1};
    Up.DataCentre = "dc1";
    Up.Agent = agentEndpoint(Index);
    Up.Slots = Slots;
    Up.Instance = {Index + 10};
    Up.Phase = control::UpstreamPhase::Active;
    Config.Upstreams[Up.Id] = Up;
    PermitKey Key{};
    Key.fill(static_cast<std::uint8_t>(Index + 1));
    Agents[Index].AgentState = std::make_unique<State>(Options, Key, Now);
    Agents[Index].Up.Simulation = this;
    Agents[Index].Up.AgentIndex = Index;
  }
  Caller.Simulation = this;
  publishConfiguration();
}

void AgentSimulation::publishConfiguration() {
  Config.InForce = {++RevisionNumber};
  const auto Shared = std::make_shared<const control::Configuration>(Config);
  for (std::size_t Index = 0; Index < Agents.size(); ++Index) {
    handleEvent(Index, ConfigurationChanged{Shared});
    handleEvent(Index, Announced{upstreamId(Index),
                                 Config.Upstreams[upstreamId(Index)].Instance});
  }
}

void AgentSimulation::handleEvent(std::size_t Index, const Event &Input) {
  if (Agents[Index].Alive)
    carryOut(Index, handle(*Agents[Index].AgentState, Input, Now));
}

void AgentSimulation::carryOut(std::size_t Index, const Effects &Actions) {
  for (const Effect &Action : Actions) {
    if (const auto *Frame = std::get_if<SendFrame>(&Action))
      sendFrame(Index, *Frame);
    else if (const auto *Up = std::get_if<SendUpstream>(&Action))
      deliverToUpstream(Index, *Up);
    else if (const auto *Open = std::get_if<OpenFlow>(&Action))
      handleEvent(Index, FlowBound{Open->Flow, ++LastPort});
  }
}

void AgentSimulation::deliverToUpstream(std::size_t Index,
                                        const SendUpstream &Action) {
  const Flow *CallerFlow =
      findFlow(Agents[Index].AgentState->Flows, Action.Flow);
  const std::uint16_t Port = CallerFlow == nullptr ? 0 : CallerFlow->LocalPort;
  writeTrace("agent " + std::to_string(Index + 1) +
             " > upstream: " + describe(Action.Datagram));
  schedule(HopDelay, [this, Index, Port, Datagram = Action.Datagram] {
    Agents[Index].Up.receive(Port, Datagram);
  });
}

void AgentSimulation::sendFromUpstream(std::size_t Index, std::uint16_t Port,
                                       const Bytes &Datagram) {
  writeTrace("upstream > agent " + std::to_string(Index + 1) + ": " +
             describe(Datagram));
  for (const auto &[Id, CallerFlow] : Agents[Index].AgentState->Flows.ById)
    if (CallerFlow->LocalPort == Port)
      return handleEvent(Index, UpstreamReceived{FlowId(Id), Datagram});
}

void AgentSimulation::sendFrame(std::size_t From, const SendFrame &Action) {
  const wire::FrameView Frame = wire::decodeFrame(Action.Datagram).value();
  if (Frame.Header.Kind != wire::FrameKind::Answer) {
    if (Frame.Header.Kind != wire::FrameKind::Load)
      writeTrace(
          "agent " + std::to_string(From + 1) + " > agent " +
          std::to_string(Action.To.Address - agentEndpoint(0).Address + 1) +
          " kind " + std::to_string(static_cast<int>(Frame.Header.Kind)));
    return schedule(HopDelay, [this, From, Action] {
      for (std::size_t Index = 0; Index < Agents.size(); ++Index)
        if (agentEndpoint(Index) == Action.To)
          handleEvent(Index,
                      FrameReceived{agentEndpoint(From), Action.Datagram});
    });
  }
  RespondingAgents.insert(From);
  const Bytes Payload(Frame.Payload.begin(), Frame.Payload.end());
  writeTrace("agent " + std::to_string(From + 1) +
             " > caller: " + describe(Payload));
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    if (entryEndpoint(Index) == Action.To && !DeadEntries.contains(Index))
      transmit([this, Payload] { Caller.receive(Payload); });
}

Bytes AgentSimulation::forwardFrame(std::size_t Index,
                                    const Bytes &Datagram) const {
  wire::FrameHeader Header;
  Header.Service = {1};
  Header.InForce = Config.InForce;
  Header.Upstream = upstreamId(Index);
  Header.Instance = Config.Upstreams.at(upstreamId(Index)).Instance;
  Header.Caller = CallerEndpoint;
  Header.ServiceAddress = ServiceEndpoint;
  Header.Return = entryEndpoint(EntryIndex);
  for (const UpstreamId Id : EarlierOwners)
    Header.Candidates[Header.CandidateCount++] = Id;
  Bytes Out(Datagram.size() + 256);
  Out.resize(wire::encodeFrame(Header, Datagram, absl::MakeSpan(Out)).value());
  return Out;
}

void AgentSimulation::sendFromCaller(Bytes Datagram) {
  writeTrace("caller > entry: " + describe(Datagram));
  transmit([this, Datagram = std::move(Datagram)] {
    const std::size_t Index = OwnerIndex;
    handleEvent(Index, FrameReceived{entryEndpoint(EntryIndex),
                                     forwardFrame(Index, Datagram)});
  });
}

void AgentSimulation::transmit(std::function<void()> Deliver) {
  const std::size_t Step = Steps++;
  const auto Found =
      std::find_if(InjectedFaults.begin(), InjectedFaults.end(),
                   [Step](const InjectedFault &Each) {
                     return Each.Type != Fault::None && Each.Step == Step;
                   });
  if (Found == InjectedFaults.end())
    return schedule(2 * HopDelay, std::move(Deliver));
  const Fault Type = Found->Type;
  ++InjectedCount;
  if (Type == Fault::Loss)
    return;
  if (Type == Fault::Delay)
    return schedule(3s, std::move(Deliver));
  if (Type == Fault::Reorder)
    return schedule(30ms, std::move(Deliver));
  schedule(2 * HopDelay, Deliver);
  if (Type == Fault::Duplicate)
    return schedule(4 * HopDelay, std::move(Deliver));
  if (Type == Fault::LateDuplicate || Type == Fault::DrainAndBack ||
      Type == Fault::MoveWithLateDuplicate)
    schedule(40s, std::move(Deliver));
  injectFault(Type);
}

void AgentSimulation::moveTable() {
  std::size_t Next = (OwnerIndex + 1) % Agents.size();
  while (!Agents[Next].Alive)
    Next = (Next + 1) % Agents.size();
  if (Next == OwnerIndex)
    return;
  EarlierOwners.insert(EarlierOwners.begin(), upstreamId(OwnerIndex));
  EarlierOwners.resize(std::min<std::size_t>(EarlierOwners.size(), 2));
  OwnerIndex = Next;
  publishConfiguration();
}

void AgentSimulation::restart(std::size_t Index, bool WithRecords) {
  SimulatedAgent &Agent = Agents[Index];
  const PermitKey Key{6, ++Restarts};
  auto Next = std::make_unique<State>(Agent.AgentState->Options, Key, Now);
  if (WithRecords) {
    HandoverProgress Progress;
    for (const Bytes &Part : encodeHandover(*Agent.AgentState, Now))
      if (!applyHandoverPart(*Next, Progress, Part, Now))
        throw std::runtime_error("a hand-over part was refused");
    if (!Progress.Complete)
      throw std::runtime_error("the hand-over is incomplete");
  } else {
    Config.Upstreams[upstreamId(Index)].Instance = {RevisionNumber + 1};
  }
  Agent.AgentState = std::move(Next);
  publishConfiguration();
}

void AgentSimulation::kill(std::size_t Index) {
  Agents[Index].Alive = false;
  schedule(2s, [this, Index] {
    Config.Upstreams[upstreamId(Index)].Phase = control::UpstreamPhase::Lost;
    publishConfiguration();
  });
}

void AgentSimulation::killSibling() {
  // Agents that hold the session are excluded: their loss allows outcomes that
  // the loss of a sibling doesn't allow.
  for (std::size_t Offset = 1; Offset < Agents.size(); ++Offset) {
    const std::size_t Index = (OwnerIndex + Offset) % Agents.size();
    if (Agents[Index].Alive && !RespondingAgents.contains(Index) &&
        Agents[Index].AgentState->Flows.ById.empty())
      return kill(Index);
  }
}

void AgentSimulation::injectFault(Fault Type) {
  switch (Type) {
  case Fault::RestartWithRecords:
    return restart(OwnerIndex, true);
  case Fault::RestartWithoutRecords:
    return restart(OwnerIndex, false);
  case Fault::TableMove:
  case Fault::MoveWithLateDuplicate:
    return moveTable();
  case Fault::Drain:
    Config.Upstreams[upstreamId(OwnerIndex)].Phase =
        control::UpstreamPhase::Draining;
    publishConfiguration();
    // The entry host gets the new configuration three seconds late.
    return schedule(3s, [this] { moveTable(); });
  case Fault::DrainAndBack:
    Config.Upstreams[upstreamId(OwnerIndex)].Phase =
        control::UpstreamPhase::Draining;
    publishConfiguration();
    return schedule(10s, [this, Index = OwnerIndex] {
      Config.Upstreams[upstreamId(Index)].Phase =
          control::UpstreamPhase::Active;
      publishConfiguration();
    });
  case Fault::SiblingKill:
    return killSibling();
  case Fault::EntryKill:
    DeadEntries.insert(EntryIndex);
    return schedule(1s, [this, Name = "entry" + std::to_string(EntryIndex++)] {
      Config.Entries[Name].Alive = false;
      publishConfiguration();
    });
  case Fault::Deadline:
    Agents[OwnerIndex].Up.ExtraDelay = 15s;
    return;
  case Fault::ClockJump:
    return schedule(10 * HopDelay, [this] { Now += ClockJumpSize; });
  default:
    return;
  }
}

void AgentSimulation::run(Duration For) {
  const TimePoint End = Now + For;
  while (Now < End) {
    const bool TimerNext = Queue.empty() || NextTimer <= Queue.begin()->first;
    const TimePoint Due = TimerNext ? NextTimer : Queue.begin()->first;
    if (Due > End)
      break;
    Now = std::max(Now, Due);
    if (TimerNext) {
      for (std::size_t Index = 0; Index < Agents.size(); ++Index)
        handleEvent(Index, TimerFired{});
      NextTimer = Now + 50ms;
      continue;
    }
    const std::function<void()> Callback = std::move(Queue.begin()->second);
    Queue.erase(Queue.begin());
    Callback();
  }
  Now = std::max(Now, End);
}

void AgentSimulation::runSession(SessionKind Kind,
                                 std::vector<InjectedFault> Faults) {
  InjectedFaults = std::move(Faults);
  Caller.Kind = Kind;
  Caller.Id = "r0000001";
  for (SimulatedAgent &Agent : Agents)
    Agent.Up.SeparateResponses = Kind == SessionKind::SeparatePost;
  Caller.start();
  // A caller isn't notified when its line ends, so it gives up on a feed
  // without notifications.
  if (Kind == SessionKind::Feed)
    schedule(60s, [this] { Caller.complete(Result::Unknown); });
  Duration Length = 120s;
  for (const InjectedFault &Injected : InjectedFaults)
    if (Injected.Type == Fault::ClockJump)
      Length += ClockJumpSize;
  run(Length);
}

} // namespace jasminearch::agent::test
