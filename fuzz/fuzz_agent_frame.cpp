#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/handover.h"
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::agent;

namespace {

std::shared_ptr<const control::Configuration> makeConfiguration() {
  control::Configuration Out;
  Out.InForce = {50};
  Out.Profiles["p"].Name = "p";
  Out.Services[{1}] = {{1}, "s", {1, 1}, "p", {}};
  Out.Entries["e"] = {"e", "dc", {2, 2}, true, {}};
  for (std::uint32_t Id = 1; Id <= 3; ++Id) {
    control::Upstream Up;
    Up.Id = {Id};
    Up.Service = {1};
    Up.Agent = {3, static_cast<std::uint16_t>(Id)};
    Up.Instance = {Id};
    Up.Phase = control::UpstreamPhase::Active;
    Out.Upstreams[Up.Id] = Up;
  }
  return std::make_shared<const control::Configuration>(std::move(Out));
}

/// \returns a frame with a caller's datagram that the agent accepts.
Bytes makeFrame(absl::Span<const std::uint8_t> Payload) {
  wire::FrameHeader Header;
  Header.Service = {1};
  Header.Upstream = {1};
  Header.Instance = {1};
  Header.Caller = {9, 9};
  Header.Return = {2, 2};
  Bytes Out(Payload.size() + 256);
  Out.resize(
      wire::encodeFrame(Header, Payload, absl::MakeSpan(Out)).value_or(0));
  return Out;
}

/// Passes an event to the agent. Of the effects, only OpenFlow is carried out.
void feed(State &S, const Event &Input, TimePoint Now) {
  for (const Effect &NextEffect : handle(S, Input, Now))
    if (const auto *Open = std::get_if<OpenFlow>(&NextEffect))
      handle(S, FlowBound{Open->Flow, 1}, Now);
}

} // namespace

/// Sends the input to an agent. The first byte selects whether the rest is used
/// as whole frames, as a caller's datagrams, as datagrams of the upstream, or
/// as a hand-over part.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const auto Config = makeConfiguration();
  constexpr std::size_t MaxInputBytes = 4096;
  if (Size < 2 || Size > MaxInputBytes)
    return 0;
  TimePoint Now{};
  State S({2, {100, 4096}, 100}, PermitKey{}, Now);
  feed(S, ConfigurationChanged{Config}, Now);
  feed(S, Announced{{1}, {1}}, Now);
  const std::uint8_t Mode = Data[0];
  const absl::Span<const std::uint8_t> Rest(Data + 1, Size - 1);
  const std::size_t SplitPosition = Mode % Rest.size();
  for (const auto Part :
       {Rest.subspan(0, SplitPosition), Rest.subspan(SplitPosition)}) {
    constexpr unsigned Modes = 4;
    if (Mode % Modes == 0)
      feed(S, FrameReceived{{3, 2}, Part}, Now);
    const Bytes Frame = makeFrame(Part);
    if (Mode % Modes != 0)
      feed(S, FrameReceived{{2, 2}, Frame}, Now);
    for (const auto &[Id, Flow] : S.Flows.ByCaller)
      if (Mode % Modes == 2) {
        feed(S, UpstreamReceived{Flow->Id, Part}, Now);
        break;
      }
    Now += std::chrono::seconds(Mode);
    feed(S, TimerFired{}, Now);
  }
  if (Mode % 4 == 3) {
    State Successor({}, {}, Now);
    HandoverProgress Progress;
    (void)applyHandoverPart(Successor, Progress,
                            Bytes(Rest.begin(), Rest.end()), Now);
  }
  if (S.Records.AnswerBytes > S.Records.Limits.MaxAnswerBytes)
    std::abort();
  return 0;
}
