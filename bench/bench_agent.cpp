#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/handover.h"
#include "jasminearch/wire/coap_message.h"
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

/// Measures throughput and memory of the agent's logic without sockets. Prints
/// one JSON object a line.
namespace {

using namespace jasminearch;
using namespace jasminearch::agent;
using nlohmann::json;
using wire::CoapMessage;

constexpr Endpoint EntryAddress{0x7F000001, 1};
constexpr std::size_t BenchmarkSizes[] = {1'000, 10'000, 50'000, 100'000};

Bytes makeFrame(Endpoint Caller, absl::Span<const std::uint8_t> Payload) {
  wire::FrameHeader Header;
  Header.Service = {1};
  Header.Upstream = {1};
  Header.Instance = {1};
  Header.Caller = Caller;
  Header.Return = EntryAddress;
  constexpr std::size_t MaxHeaderBytes = 256;
  Bytes Out(Payload.size() + MaxHeaderBytes);
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
  Config.Entries["e"] = {"e", "dc", EntryAddress, true, {}};
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

Endpoint callerAt(std::size_t Index) {
  return {0x0A000000U + static_cast<std::uint32_t>(Index), 4000};
}

CoapMessage makeRequest(std::uint8_t Code, std::uint16_t MessageId) {
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

/// Sends a request through the agent to the upstream, and the upstream's
/// response back.
/// \returns the response that the agent itself sent to the caller, if any.
Bytes exchange(State &S, Endpoint Caller, const CoapMessage &Request,
               TimePoint Now) {
  const Bytes Datagram = buildCoap(Request).value();
  Bytes Response;
  for (const Effect &NextEffect : handle(
           S, FrameReceived{EntryAddress, makeFrame(Caller, Datagram)}, Now)) {
    if (const auto *SentFrame = std::get_if<SendFrame>(&NextEffect)) {
      const auto Frame = wire::decodeFrame(SentFrame->Datagram).value();
      Response.assign(Frame.Payload.begin(), Frame.Payload.end());
    }
    const auto *ToUpstream = std::get_if<SendUpstream>(&NextEffect);
    if (ToUpstream == nullptr)
      continue;
    const Bytes UpstreamResponse =
        buildCoap(makeResponse(Request, 0x45, 0)).value();
    handle(S, UpstreamReceived{ToUpstream->Flow, UpstreamResponse}, Now);
  }
  return Response;
}

void runPermitted(State &S, Endpoint Caller, std::uint16_t MessageId,
                  TimePoint Now) {
  CoapMessage Post = makeRequest(wire::code::Post, MessageId);
  const Bytes Response = exchange(S, Caller, Post, Now);
  const auto EchoChallenge = wire::parseCoap(Response).value();
  addOption(Post, wire::option::Echo,
            findOption(EchoChallenge, wire::option::Echo).value());
  ++Post.MessageId;
  exchange(S, Caller, Post, Now);
}

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

template <typename Function>
void measureRate(const char *Name, std::size_t Size, std::size_t Datagrams,
                 Function Run) {
  const auto Start = std::chrono::steady_clock::now();
  Run();
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  std::cout << json{{"bench", Name},
                    {"size", Size},
                    {"datagrams_per_second",
                     static_cast<std::uint64_t>(static_cast<double>(Datagrams) /
                                                Elapsed.count())}}
            << std::endl;
}

void printMemory(const char *Name, std::size_t Size, std::size_t HeapBefore) {
  std::cout << json{{"bench", Name},
                    {"size", Size},
                    {"bytes_each", (heapBytes() - HeapBefore) / Size}}
            << std::endl;
}

void benchFlows(std::size_t Size) {
  const TimePoint Now{};
  const std::size_t HeapBefore = heapBytes();
  auto S = makeAgent(Now);
  measureRate("new_flows", Size, 2 * Size, [&] {
    for (std::size_t Index = 0; Index < Size; ++Index)
      exchange(*S, callerAt(Index), makeRequest(wire::code::Get, 1), Now);
  });
  printMemory("flow_memory", Size, HeapBefore);
  measureRate("known_flows", Size, 2 * Size, [&] {
    for (std::size_t Index = 0; Index < Size; ++Index)
      exchange(*S, callerAt(Index), makeRequest(wire::code::Get, 2), Now);
  });
}

void benchRecords(std::size_t Size) {
  const TimePoint Now{};
  auto S = makeAgent(Now);
  exchange(*S, callerAt(0), makeRequest(wire::code::Get, 1), Now);
  const std::size_t HeapBefore = heapBytes();
  // Each request takes two datagrams from the caller and one from the upstream.
  measureRate("permitted_requests", Size, 3 * Size, [&] {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      constexpr std::size_t RequestsPerCaller = 1000;
      runPermitted(*S, callerAt(Index / RequestsPerCaller),
                   static_cast<std::uint16_t>(Index % RequestsPerCaller * 2),
                   Now);
    }
  });
  // Includes the permit's entry in the list of recently issued permits.
  printMemory("record_memory", Size, HeapBefore);
  const auto Start = std::chrono::steady_clock::now();
  const auto Parts = encodeHandover(*S, Now);
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  std::size_t TotalBytes = 0;
  for (const Bytes &Part : Parts)
    TotalBytes += Part.size();
  std::cout << json{{"bench", "handover"},
                    {"size", Size},
                    {"bytes", TotalBytes},
                    {"seconds", Elapsed.count()}}
            << std::endl;
}

} // namespace

int main() {
  for (const std::size_t Size : BenchmarkSizes)
    benchFlows(Size);
  for (const std::size_t Size : BenchmarkSizes)
    benchRecords(Size);
}
