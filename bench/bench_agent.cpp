#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/handover.h"
#include "jasminearch/wire/coap_message.h"
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

/// Speed and memory of the agent's decisions. Prints one JSON object a line.
/// Sockets are not part of it.
namespace {

using namespace jasminearch;
using namespace jasminearch::agent;
using nlohmann::json;
using wire::CoapMessage;

constexpr Endpoint EntryAt{0x7F000001, 1};
constexpr std::size_t Sizes[] = {1'000, 10'000, 50'000, 100'000};

Bytes frame(Endpoint Caller, absl::Span<const std::uint8_t> Payload) {
  wire::FrameHeader Header;
  Header.Service = {1};
  Header.Upstream = {1};
  Header.Instance = {1};
  Header.Caller = Caller;
  Header.Return = EntryAt;
  constexpr std::size_t HeaderRoom = 256;
  Bytes Out(Payload.size() + HeaderRoom);
  Out.resize(wire::encodeFrame(Header, Payload, absl::MakeSpan(Out)).value());
  return Out;
}

std::unique_ptr<State> makeAgent(TimePoint Now) {
  auto Out = std::make_unique<State>(AgentOptions{UINT32_MAX, {}, 131'072},
                                     PermitKey{}, Now);
  control::Configuration Config;
  Config.InForce = {50};
  Config.Profiles["p"].Name = "p";
  Config.Services[{1}] = {{1}, "s", {1, 1}, "p", {}};
  Config.Entries["e"] = {"e", "dc", EntryAt, true, {}};
  control::Upstream &Up = Config.Upstreams[{1}];
  Up.Id = {1};
  Up.Service = {1};
  Up.Instance = {1};
  Up.Phase = control::UpstreamPhase::Active;
  handle(*Out,
         ConfigurationChanged{
             std::make_shared<const control::Configuration>(Config)},
         Now);
  handle(*Out, Announced{{1}, {1}}, Now);
  return Out;
}

Endpoint callerAt(std::size_t Which) {
  return {0x0A000000U + static_cast<std::uint32_t>(Which), 4000};
}

CoapMessage request(std::uint8_t Code, std::uint16_t MessageId) {
  CoapMessage Out;
  Out.Code = Code;
  Out.MessageId = MessageId;
  Out.RequestToken = {2,
                      {static_cast<std::uint8_t>(MessageId >> 8U),
                       static_cast<std::uint8_t>(MessageId & 0xFFU)}};
  static const std::uint8_t Path[] = {'l', 'i', 's', 't', 's'};
  addOption(Out, wire::option::UriPath, Path);
  return Out;
}

/// Sends a request and the upstream's answer through the agent.
/// \returns the agent's answer to the caller's datagram, if it made one.
Bytes exchange(State &S, Endpoint Caller, const CoapMessage &Asked,
               TimePoint Now) {
  const Bytes Datagram = buildCoap(Asked).value();
  Bytes Told;
  for (const Effect &Todo :
       handle(S, FrameReceived{EntryAt, frame(Caller, Datagram)}, Now)) {
    if (const auto *Sent = std::get_if<SendFrame>(&Todo)) {
      const auto Read = wire::decodeFrame(Sent->Datagram).value();
      Told.assign(Read.Payload.begin(), Read.Payload.end());
    }
    const auto *Delivered = std::get_if<SendUpstream>(&Todo);
    if (Delivered == nullptr)
      continue;
    const Bytes Answer = buildCoap(makeResponse(Asked, 0x45, 0)).value();
    handle(S, UpstreamReceived{Delivered->Flow, Answer}, Now);
  }
  return Told;
}

void runPermitted(State &S, Endpoint Caller, std::uint16_t MessageId,
                  TimePoint Now) {
  CoapMessage Post = request(wire::code::Post, MessageId);
  const Bytes Told = exchange(S, Caller, Post, Now);
  const auto Answer = wire::parseCoap(Told).value();
  addOption(Post, wire::option::Echo,
            findOption(Answer, wire::option::Echo).value());
  ++Post.MessageId;
  exchange(S, Caller, Post, Now);
}

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

template <typename Work>
void timed(const char *Name, std::size_t Size, std::size_t Datagrams,
           Work Body) {
  const auto Start = std::chrono::steady_clock::now();
  Body();
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  std::cout << json{{"bench", Name},
                    {"size", Size},
                    {"datagrams_per_second",
                     static_cast<std::uint64_t>(static_cast<double>(Datagrams) /
                                                Took.count())}}
            << std::endl;
}

void memoryLine(const char *Name, std::size_t Size, std::size_t Before) {
  std::cout << json{{"bench", Name},
                    {"size", Size},
                    {"bytes_each", (heapBytes() - Before) / Size}}
            << std::endl;
}

void benchFlows(std::size_t Size) {
  const TimePoint Now{};
  const std::size_t Before = heapBytes();
  auto S = makeAgent(Now);
  timed("new_flows", Size, 2 * Size, [&] {
    for (std::size_t At = 0; At < Size; ++At)
      exchange(*S, callerAt(At), request(wire::code::Get, 1), Now);
  });
  memoryLine("flow_memory", Size, Before);
  timed("known_flows", Size, 2 * Size, [&] {
    for (std::size_t At = 0; At < Size; ++At)
      exchange(*S, callerAt(At), request(wire::code::Get, 2), Now);
  });
}

void benchRecords(std::size_t Size) {
  const TimePoint Now{};
  auto S = makeAgent(Now);
  exchange(*S, callerAt(0), request(wire::code::Get, 1), Now);
  const std::size_t Before = heapBytes();
  // Each request costs the caller two datagrams and the upstream one.
  timed("permitted_requests", Size, 3 * Size, [&] {
    for (std::size_t At = 0; At < Size; ++At) {
      constexpr std::size_t PerCaller = 1000;
      runPermitted(*S, callerAt(At / PerCaller),
                   static_cast<std::uint16_t>(At % PerCaller * 2), Now);
    }
  });
  // Includes the permit's entry among the lately issued ones.
  memoryLine("record_memory", Size, Before);
  const auto Start = std::chrono::steady_clock::now();
  const auto Parts = encodeHandover(*S, Now);
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  std::size_t Sum = 0;
  for (const Bytes &Part : Parts)
    Sum += Part.size();
  std::cout << json{{"bench", "handover"},
                    {"size", Size},
                    {"bytes", Sum},
                    {"seconds", Took.count()}}
            << std::endl;
}

} // namespace

int main() {
  for (const std::size_t Size : Sizes)
    benchFlows(Size);
  for (const std::size_t Size : Sizes)
    benchRecords(Size);
}
