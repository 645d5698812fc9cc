#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <string>
#include <xxhash.h>

namespace jasminearch::flow::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::uint64_t versionOf(const EntryFlows &E) {
  return E.Routes ? E.Routes->table().Version : 0;
}

} // namespace

std::uint64_t stableHash(const FlowKey &Flow) {
  const Bytes Key = encodeFlowKey(Flow);
  return XXH3_64bits(Key.data(), Key.size());
}

bool contains(const std::vector<Endpoint> &All, const Endpoint &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

void note(EntryContext &C, std::string_view Event, const FlowKey &Flow,
          std::string_view Reason, const Endpoint &Agent) {
  FlowDecision D{Event, Flow, std::string(Reason), Agent, versionOf(C.E), {},
                 0,     0};
  const auto At = C.E.Agents.find(Agent);
  if (At != C.E.Agents.end() && At->second.Report) {
    D.ReportAge = duration_cast<milliseconds>(C.Now - At->second.ReportedAt);
    D.Outstanding = At->second.Report->Outstanding;
    D.ActiveFlows = At->second.Report->ActiveFlows;
  }
  C.Out.emplace_back(D);
}

void reset(EntryContext &C, const FlowKey &Flow, std::uint32_t Sequence) {
  C.Out.emplace_back(SendReset{{Flow, Sequence}});
}

void forward(EntryContext &C, const Endpoint &Agent,
             absl::Span<const std::uint8_t> Raw) {
  C.Out.emplace_back(SendTunnel{
      Agent, encodeTunnel({TunnelKind::Forward, Holding::No, 0}, Raw)});
}

void ask(EntryContext &C, const Endpoint &Agent, TunnelKind Kind,
         const Bytes &Payload) {
  C.Out.emplace_back(
      SendTunnel{Agent, encodeTunnel({Kind, Holding::No, 0}, Payload)});
}

bool gone(const EntryContext &C, const Endpoint &Agent) {
  const auto At = C.E.Agents.find(Agent);
  if (At == C.E.Agents.end())
    return true;
  const AgentView &View = At->second;
  if (!View.Report)
    return C.Now - View.Since > AgentAbsent;
  if (View.Report->HoldsNothing)
    return true;
  const bool HadUpstream = View.Report->State != UpstreamState::Unknown;
  return C.Now - View.ReportedAt > (HadUpstream ? AgentGone : AgentAbsent);
}

} // namespace jasminearch::flow::detail
