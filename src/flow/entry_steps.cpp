#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <string>
#include <xxhash.h>

namespace jasminearch::flow::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::uint64_t routesVersion(const EntryFlows &E) {
  return E.Routes ? E.Routes->table().Version : 0;
}

} // namespace

std::uint64_t hashFlow(const FlowKey &Flow) {
  const Bytes Key = encodeFlowKey(Flow);
  return XXH3_64bits(Key.data(), Key.size());
}

bool contains(const std::vector<Endpoint> &All, const Endpoint &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

void recordDecision(EntryContext &C, std::string_view Event,
                    const FlowKey &Flow, std::string_view Reason,
                    const Endpoint &Agent) {
  FlowDecision D{Event, Flow, std::string(Reason), Agent, routesVersion(C.E)};
  const Route *R = C.E.Routes ? C.E.Routes->find(Flow.Service) : nullptr;
  D.Upload = R && R->Kind == RequestKind::Upload;
  const auto It = C.E.Agents.find(Agent);
  if (It != C.E.Agents.end() && It->second.Report) {
    D.ReportAge = duration_cast<milliseconds>(C.Now - It->second.ReportedAt);
    D.Outstanding = It->second.Report->Outstanding;
    D.ActiveFlows = It->second.Report->ActiveFlows;
    D.ServiceTime = It->second.Report->ServiceTime;
    D.RemainingWork = It->second.Report->RemainingWork;
    D.Overdue = It->second.Report->Overdue;
  }
  C.Out.emplace_back(D);
}

void sendReset(EntryContext &C, const FlowKey &Flow, std::uint32_t Sequence) {
  C.Out.emplace_back(SendReset{{Flow, Sequence}});
}

void forward(EntryContext &C, const Endpoint &Agent,
             absl::Span<const std::uint8_t> Raw) {
  C.Out.emplace_back(SendTunnel{
      Agent, encodeTunnel({TunnelKind::Forward, FlowPresence::No, 0}, Raw)});
}

void sendMessage(EntryContext &C, const Endpoint &Agent, TunnelKind Kind,
                 const Bytes &Payload) {
  C.Out.emplace_back(
      SendTunnel{Agent, encodeTunnel({Kind, FlowPresence::No, 0}, Payload)});
}

bool holdsNoFlows(const EntryContext &C, const Endpoint &Agent,
                  TimePoint Since) {
  const auto It = C.E.Agents.find(Agent);
  if (It == C.E.Agents.end())
    return true;
  const AgentView &View = It->second;
  return View.Report && View.Report->HoldsNoFlows && View.ReportedAt >= Since;
}

} // namespace jasminearch::flow::detail
