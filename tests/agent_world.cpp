#include "agent_world.h"
#include <algorithm>

namespace jasminearch::agent::test {

namespace {

constexpr Duration Hop = 1ms;
constexpr int Retransmissions = 4;
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
                                int Left) {
  if (Acked[Message.MessageId])
    return;
  if (Left < 0) {
    ++GivenUp;
    return;
  }
  Owner->fromUpstream(Node, Port, buildCoap(Message).value());
  const auto Again = std::make_shared<Bytes>(buildCoap(Message).value());
  Owner->after(2s, [this, Port, Again, Left] {
    sendReliably(Port, *wire::parseCoap(*Again), Left - 1);
  });
}

void FakeUpstream::answer(std::uint16_t Port, const CoapMessage &To,
                          std::uint8_t Code, const std::string &Payload,
                          const CoapMessage &Extra) {
  CoapMessage Out = makeResponse(To, Code, ++NextId);
  Out.Options = Extra.Options;
  Out.Payload = bytesOf(Payload);
  Duration Wait = 5ms + StallFor;
  if (Separate) {
    const Bytes Ack =
        wire::buildEmptyMessage(CoapType::Acknowledgement, To.MessageId);
    Owner->fromUpstream(Node, Port, Ack);
    Out.Type = CoapType::Confirmable;
    Out.MessageId = ++NextId;
    Wait += 50ms;
  }
  const auto Built = std::make_shared<Bytes>(buildCoap(Out).value());
  Owner->after(Wait, [this, Port, Built] {
    const CoapMessage Message = *wire::parseCoap(*Built);
    if (Message.Type == CoapType::Confirmable)
      sendReliably(Port, Message, Retransmissions);
    else
      Owner->fromUpstream(Node, Port, *Built);
  });
}

void FakeUpstream::notify(std::uint16_t Port, wire::Token Of,
                          const std::string &Id, int Number) {
  if (!Observed[Port] || Number > FeedLength)
    return;
  CoapMessage Out;
  Out.Code = wire::code::Content;
  Out.MessageId = ++NextId;
  Out.RequestToken = Of;
  const wire::UintValue Sequence =
      wire::encodeUint(static_cast<std::uint32_t>(Number));
  addOption(Out, wire::option::Observe, Sequence.span());
  const std::string Payload = "feed:" + Id + ":" + std::to_string(Number);
  Out.Payload = bytesOf(Payload);
  sendReliably(Port, Out, Retransmissions);
  Owner->after(1s, [=, this] { notify(Port, Of, Id, Number + 1); });
}

void FakeUpstream::receive(std::uint16_t Port, const Bytes &Datagram) {
  const CoapMessage In = wire::parseCoap(Datagram).value();
  if (In.isEmpty()) {
    Acked[In.MessageId] = true;
    if (In.Type == CoapType::Reset)
      Observed[Port] = false;
    return;
  }
  const std::string Path(firstPathSegment(In));
  const auto Query = findOption(In, wire::option::UriQuery);
  const std::string Id = Query ? textOf(*Query) : textOf(In.Payload);
  CoapMessage Extra;
  if (Path == "lists")
    return answer(Port, In, wire::code::Content, "lists:" + Id);
  if (Path == "sheet") {
    const auto Asked = blockOption(In, wire::option::Block2);
    const std::uint32_t Number = Asked ? Asked->Number : 0;
    const wire::UintValue Value =
        wire::encodeBlock({Number, Number + 1 < SheetBlocks, 0});
    addOption(Extra, wire::option::Block2, Value.span());
    return answer(Port, In, wire::code::Content,
                  "sheet:" + Id + "#" + std::to_string(Number) + ";", Extra);
  }
  if (Path == "feed") {
    const bool Opens = uintOption(In, wire::option::Observe) == 0U;
    const bool Known = Observed[Port];
    Observed[Port] = Opens;
    if (!Opens)
      return answer(Port, In, wire::code::Content, "feed:" + Id + ":end");
    addOption(Extra, wire::option::Observe, {});
    answer(Port, In, wire::code::Content, "feed:" + Id + ":0", Extra);
    const wire::Token Of = In.RequestToken;
    if (!Known)
      Owner->after(1s, [=, this] { notify(Port, Of, Id, 1); });
    return;
  }
  const auto Block = blockOption(In, wire::option::Block1);
  std::string &Upload = Uploads[std::to_string(Port) + Path];
  if (Block && Block->Number == 0)
    Upload.clear();
  if (Block)
    Upload += textOf(In.Payload);
  if (Block && Block->More) {
    const wire::UintValue Value = wire::encodeBlock(*Block);
    addOption(Extra, wire::option::Block1, Value.span());
    return answer(Port, In, wire::code::Continue, "", Extra);
  }
  const std::string Whole = Block ? Upload : textOf(In.Payload);
  ++Owner->Runs[Whole];
  addOption(Extra, wire::option::LocationPath, bytesOf("orders"));
  answer(Port, In, wire::code::Created, "done:" + Whole, Extra);
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
  Out.MessageId = ++NextId;
  Out.RequestToken = {2, {0xA0, NextToken++}};
  FeedToken = Out.RequestToken;
  PendingBytes = buildCoap(Out).value();
  Pending = wire::parseCoap(PendingBytes).value();
  Echo.clear();
  Waiting = true;
  Acknowledged = false;
  ++Generation;
  Owner->fromCaller(PendingBytes);
  retransmit(Generation, Retransmissions, 2s);
}

void FakeCaller::retransmit(std::uint64_t Of, int Left, Duration After) {
  Owner->after(After, [=, this] {
    if (!Waiting || Generation != Of)
      return;
    if (Left == 0)
      return end(Result::Unknown);
    if (!Acknowledged)
      Owner->fromCaller(PendingBytes);
    retransmit(Of, Left - 1, After * 2);
  });
}

void FakeCaller::receive(const Bytes &Datagram) {
  const CoapMessage In = wire::parseCoap(Datagram).value();
  const bool Confirmable = In.Type == CoapType::Confirmable;
  const bool ByToken = !In.isEmpty() && In.RequestToken == Pending.RequestToken;
  const bool OfFeed = Kind == SessionKind::Feed && In.RequestToken == FeedToken;
  if (In.isEmpty()) {
    if (Waiting && In.MessageId == Pending.MessageId) {
      if (In.Type == CoapType::Reset)
        end(Result::Unknown);
      Acknowledged = true;
    }
    return;
  }
  if (Confirmable) {
    const bool Repeats = LastConfirmable == In.MessageId;
    LastConfirmable = In.MessageId;
    if (Repeats && Behaviour == CallerKind::DropsRepeats)
      return;
  }
  if (Confirmable)
    Owner->fromCaller(wire::buildEmptyMessage(
        ByToken || OfFeed ? CoapType::Acknowledgement : CoapType::Reset,
        In.MessageId));
  const bool Piggybacked = In.Type == CoapType::Acknowledgement;
  if (!Piggybacked && !Seen.insert(In.MessageId).second)
    return;
  const bool Matches =
      ByToken && (!Piggybacked || In.MessageId == Pending.MessageId);
  if (Waiting && Matches) {
    Waiting = false;
    ++Generation;
    return finish(In);
  }
  const std::string Payload = textOf(In.Payload);
  if (!OfFeed || Outcome != Result::Open)
    return;
  if (Payload.rfind("feed:" + Id + ":", 0) != 0)
    Wrong = true;
  Notifications.insert(Payload.back() - '0');
  if (Notifications.contains(FeedLength))
    end(Result::Answered);
}

void FakeCaller::finish(const CoapMessage &Answer) {
  const std::string Payload = textOf(Answer.Payload);
  if (const auto Permit = findOption(Answer, wire::option::Echo)) {
    Echo = textOf(*Permit);
    return sendRequest();
  }
  if (Payload == NotRunPayload)
    return end(Result::NotRun);
  if (Payload == UnknownPayload || Answer.codeClass() > 2)
    return end(Result::Unknown);
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
  Wrong = Wrong || Body.rfind(Start, 0) != 0;
  if (Kind == SessionKind::BlockGet)
    Wrong =
        Wrong || Body != Start + "#0;sheet:" + Id + "#1;sheet:" + Id + "#2;";
  if (Kind == SessionKind::BlockPost)
    Wrong = Wrong || Body != Start + std::string(40, 'x');
  if (Kind != SessionKind::Feed)
    end(Result::Answered);
}

World::World(std::size_t AgentCount, std::uint32_t Slots) : Agents(AgentCount) {
  AgentOptions Options;
  Options.Slots = Slots;
  control::Profile Treatment;
  Treatment.Name = "p";
  Config.Profiles["p"] = Treatment;
  Config.Services[{1}] = {{1}, "order", ServiceAt, "p", {}};
  for (std::size_t At = 0; At < EntryCount; ++At) {
    const std::string Name = "entry" + std::to_string(At);
    Config.Entries[Name] = {Name, "dc1", entryAt(At), true, {}};
  }
  for (std::size_t At = 0; At < AgentCount; ++At) {
    control::Upstream Up;
    Up.Id = upstreamId(At);
    Up.Name = "u" + std::to_string(At);
    Up.Service = {1};
    Up.DataCentre = "dc1";
    Up.Agent = agentAt(At);
    Up.Slots = Slots;
    Up.Instance = {At + 10};
    Up.Phase = control::UpstreamPhase::Active;
    Config.Upstreams[Up.Id] = Up;
    PermitKey Key{};
    Key.fill(static_cast<std::uint8_t>(At + 1));
    Agents[At].S = std::make_unique<State>(Options, Key, Now);
    Agents[At].Up.Owner = this;
    Agents[At].Up.Node = At;
  }
  Caller.Owner = this;
  configure();
}

void World::configure() {
  Config.InForce = {++RevisionNumber};
  const auto Shared = std::make_shared<const control::Configuration>(Config);
  for (std::size_t At = 0; At < Agents.size(); ++At) {
    event(At, ConfigurationChanged{Shared});
    event(At,
          Announced{upstreamId(At), Config.Upstreams[upstreamId(At)].Instance});
  }
}

void World::event(std::size_t At, const Event &What) {
  if (Agents[At].Alive)
    carryOut(At, handle(*Agents[At].S, What, Now));
}

void World::carryOut(std::size_t At, const Effects &Todo) {
  for (const Effect &One : Todo) {
    if (const auto *Frame = std::get_if<SendFrame>(&One))
      sendFrame(At, *Frame);
    else if (const auto *Up = std::get_if<SendUpstream>(&One))
      toUpstream(At, *Up);
    else if (const auto *Open = std::get_if<OpenFlow>(&One))
      event(At, FlowBound{Open->Flow, ++LastPort});
  }
}

void World::toUpstream(std::size_t At, const SendUpstream &What) {
  const Flow *Of = findFlow(Agents[At].S->Flows, What.Flow);
  const std::uint16_t Port = Of == nullptr ? 0 : Of->LocalPort;
  note("agent " + std::to_string(At + 1) +
       " > upstream: " + describe(What.Datagram));
  after(Hop, [this, At, Port, Datagram = What.Datagram] {
    Agents[At].Up.receive(Port, Datagram);
  });
}

void World::fromUpstream(std::size_t At, std::uint16_t Port,
                         const Bytes &Datagram) {
  note("upstream > agent " + std::to_string(At + 1) + ": " +
       describe(Datagram));
  for (const auto &[Id, Of] : Agents[At].S->Flows.ById)
    if (Of->LocalPort == Port)
      return event(At, UpstreamReceived{FlowId(Id), Datagram});
}

void World::sendFrame(std::size_t From, const SendFrame &What) {
  const wire::FrameView Frame = wire::decodeFrame(What.Datagram).value();
  if (Frame.Header.Kind != wire::FrameKind::Answer) {
    if (Frame.Header.Kind != wire::FrameKind::Load)
      note("agent " + std::to_string(From + 1) + " > agent " +
           std::to_string(What.To.Address - agentAt(0).Address + 1) + " kind " +
           std::to_string(static_cast<int>(Frame.Header.Kind)));
    return after(Hop, [this, From, What] {
      for (std::size_t At = 0; At < Agents.size(); ++At)
        if (agentAt(At) == What.To)
          event(At, FrameReceived{agentAt(From), What.Datagram});
    });
  }
  Answering.insert(From);
  const Bytes Payload(Frame.Payload.begin(), Frame.Payload.end());
  note("agent " + std::to_string(From + 1) + " > caller: " + describe(Payload));
  for (std::size_t At = 0; At < EntryCount; ++At)
    if (entryAt(At) == What.To && !DeadEntries.contains(At))
      transit([this, Payload] { Caller.receive(Payload); });
}

Bytes World::forwardFrame(std::size_t At, const Bytes &Datagram) const {
  wire::FrameHeader Header;
  Header.Service = {1};
  Header.InForce = Config.InForce;
  Header.Upstream = upstreamId(At);
  Header.Instance = Config.Upstreams.at(upstreamId(At)).Instance;
  Header.Caller = CallerAt;
  Header.ServiceAddress = ServiceAt;
  Header.Return = entryAt(Entry);
  for (const UpstreamId Id : Earlier)
    Header.Candidates[Header.CandidateCount++] = Id;
  Bytes Out(Datagram.size() + 256);
  Out.resize(wire::encodeFrame(Header, Datagram, absl::MakeSpan(Out)).value());
  return Out;
}

void World::fromCaller(Bytes Datagram) {
  note("caller > entry: " + describe(Datagram));
  transit([this, Datagram = std::move(Datagram)] {
    const std::size_t At = Owner;
    event(At, FrameReceived{entryAt(Entry), forwardFrame(At, Datagram)});
  });
}

void World::transit(std::function<void()> Deliver) {
  const std::size_t Step = Steps++;
  const auto Found =
      std::find_if(Strikes.begin(), Strikes.end(), [Step](const Strike &Each) {
        return Each.Which != Fault::None && Each.Step == Step;
      });
  if (Found == Strikes.end())
    return after(2 * Hop, std::move(Deliver));
  const Fault Which = Found->Which;
  ++Struck;
  if (Which == Fault::Loss)
    return;
  if (Which == Fault::Delay)
    return after(3s, std::move(Deliver));
  if (Which == Fault::Reorder)
    return after(30ms, std::move(Deliver));
  after(2 * Hop, Deliver);
  if (Which == Fault::Duplicate)
    return after(4 * Hop, std::move(Deliver));
  if (Which == Fault::LateDuplicate || Which == Fault::DrainAndBack ||
      Which == Fault::MoveWithLateDuplicate)
    after(40s, std::move(Deliver));
  strike(Which);
}

void World::moveTable() {
  std::size_t Next = (Owner + 1) % Agents.size();
  while (!Agents[Next].Alive)
    Next = (Next + 1) % Agents.size();
  if (Next == Owner)
    return;
  Earlier.insert(Earlier.begin(), upstreamId(Owner));
  Earlier.resize(std::min<std::size_t>(Earlier.size(), 2));
  Owner = Next;
  configure();
}

void World::restart(std::size_t At, bool WithRecords) {
  Node &Of = Agents[At];
  const PermitKey Key{6, ++Restarts};
  auto Next = std::make_unique<State>(Of.S->Options, Key, Now);
  if (WithRecords) {
    HandoverProgress Progress;
    for (const Bytes &Part : encodeHandover(*Of.S, Now))
      if (!applyHandoverPart(*Next, Progress, Part, Now))
        throw std::runtime_error("hand-over part refused");
    if (!Progress.Complete)
      throw std::runtime_error("hand-over incomplete");
  } else {
    Config.Upstreams[upstreamId(At)].Instance = {RevisionNumber + 1};
  }
  Of.S = std::move(Next);
  configure();
}

void World::kill(std::size_t At) {
  Agents[At].Alive = false;
  after(2s, [this, At] {
    Config.Upstreams[upstreamId(At)].Phase = control::UpstreamPhase::Lost;
    configure();
  });
}

void World::killSibling() {
  // The loss of an agent that holds the session allows more than the loss of a
  // sibling, so such an agent is never the victim.
  for (std::size_t Offset = 1; Offset < Agents.size(); ++Offset) {
    const std::size_t At = (Owner + Offset) % Agents.size();
    if (Agents[At].Alive && !Answering.contains(At) &&
        Agents[At].S->Flows.ById.empty())
      return kill(At);
  }
}

void World::strike(Fault Which) {
  switch (Which) {
  case Fault::RestartWithRecords:
    return restart(Owner, true);
  case Fault::RestartWithout:
    return restart(Owner, false);
  case Fault::TableMove:
  case Fault::MoveWithLateDuplicate:
    return moveTable();
  case Fault::Drain:
    Config.Upstreams[upstreamId(Owner)].Phase =
        control::UpstreamPhase::Draining;
    configure();
    // The entry host misses the update for three seconds.
    return after(3s, [this] { moveTable(); });
  case Fault::DrainAndBack:
    Config.Upstreams[upstreamId(Owner)].Phase =
        control::UpstreamPhase::Draining;
    configure();
    return after(10s, [this, At = Owner] {
      Config.Upstreams[upstreamId(At)].Phase = control::UpstreamPhase::Active;
      configure();
    });
  case Fault::SiblingKill:
    return killSibling();
  case Fault::EntryKill:
    DeadEntries.insert(Entry);
    return after(1s, [this, Name = "entry" + std::to_string(Entry++)] {
      Config.Entries[Name].Alive = false;
      configure();
    });
  case Fault::Deadline:
    Agents[Owner].Up.StallFor = 15s;
    return;
  case Fault::ClockJump:
    return after(10 * Hop, [this] { Now += ClockJumpSize; });
  default:
    return;
  }
}

void World::run(Duration For) {
  const TimePoint End = Now + For;
  while (Now < End) {
    const bool TimerNext = Queue.empty() || NextTimer <= Queue.begin()->first;
    const TimePoint Due = TimerNext ? NextTimer : Queue.begin()->first;
    if (Due > End)
      break;
    Now = std::max(Now, Due);
    if (TimerNext) {
      for (std::size_t At = 0; At < Agents.size(); ++At)
        event(At, TimerFired{});
      NextTimer = Now + 50ms;
      continue;
    }
    const std::function<void()> What = std::move(Queue.begin()->second);
    Queue.erase(Queue.begin());
    What();
  }
  Now = std::max(Now, End);
}

void World::play(SessionKind Kind, std::vector<Strike> At) {
  Strikes = std::move(At);
  Caller.Kind = Kind;
  Caller.Id = "r0000001";
  for (Node &Each : Agents)
    Each.Up.Separate = Kind == SessionKind::SeparatePost;
  Caller.start();
  // A line tells its caller nothing when it ends, so the caller gives up on a
  // feed that stays silent.
  if (Kind == SessionKind::Feed)
    after(60s, [this] { Caller.end(Result::Unknown); });
  Duration Length = 120s;
  for (const Strike &Each : Strikes)
    if (Each.Which == Fault::ClockJump)
      Length += ClockJumpSize;
  run(Length);
}

} // namespace jasminearch::agent::test
