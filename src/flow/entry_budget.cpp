#include "jasminearch/flow/detail/entry_steps.h"
#include <algorithm>
#include <utility>

namespace jasminearch::flow::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

void recordUploadDecision(EntryContext &C, std::string_view Event,
                          const FlowKey &Flow, std::string_view Reason,
                          milliseconds ExpectedWait) {
  const UploadBudget &B = C.E.Budget;
  UploadDecision D{Event, Flow, Reason};
  D.Open = B.OpenCount;
  D.Waiting = B.Waiting.size();
  D.Limit = B.Limit.Value;
  D.ExpectedWait = ExpectedWait;
  D.UploadTime = duration_cast<milliseconds>(B.UploadTime);
  D.RoundTrip = duration_cast<milliseconds>(B.Limit.RoundTrip);
  C.Out.emplace_back(D);
}

/// Resets an upload that never opened: its caller may try again elsewhere.
void refuseUpload(EntryContext &C, const FlowKey &Flow, UploadRefusal Reason,
                  milliseconds ExpectedWait) {
  recordUploadDecision(C, "upload_refused", Flow, describe(Reason),
                       ExpectedWait);
  sendReset(C, Flow, 0);
}

/// \returns whether an earlier copy of the opening was admitted, or the flow is
/// open.
bool isKnown(EntryContext &C, const FlowKey &Flow) {
  const auto It = C.E.Budget.Uploads.find(Flow);
  if (It != C.E.Budget.Uploads.end() && It->second.Counts) {
    It->second.LastSeen = C.Now;
    return true;
  }
  return C.E.Flows.contains(Flow) || C.E.PendingOpenings.contains(Flow);
}

/// Places an opening that got a share after a wait.
void placeWaiting(EntryContext &C, const FlowKey &Flow,
                  const WaitingUpload &W) {
  const auto P = C.E.Codec.Decode(W.Raw, Direction::FromCaller);
  if (!P || !C.E.Routes->find(Flow.Service))
    return sendReset(C, Flow, 0);
  onOpening(C, *P, W.Raw, W.ArrivedAt);
}

/// Releases the shares of flows that an effect resets. \returns the number of
/// effects.
std::size_t releaseReset(EntryContext &C, std::size_t FirstEffect) {
  for (std::size_t I = FirstEffect; I < C.Out.size(); ++I)
    if (const auto *R = std::get_if<SendReset>(&C.Out[I]))
      onUploadReset(C.E.Budget, R->Value.Flow);
  return C.Out.size();
}

} // namespace

void updateBudget(EntryFlows &E) {
  const auto &Routes = E.Routes->table().Routes;
  const bool HasUploads =
      std::any_of(Routes.begin(), Routes.end(),
                  [](const Route &R) { return R.Kind == RequestKind::Upload; });
  E.Budget.Enabled = HasUploads && E.Budget.LinkRate > 0;
}

bool admitOpening(EntryContext &C, const Packet &P, const Route &R,
                  absl::Span<const std::uint8_t> Raw, TimePoint ArrivedAt) {
  UploadBudget &B = C.E.Budget;
  if (!B.Enabled || R.Kind != RequestKind::Upload || isKnown(C, P.Flow))
    return true;
  // A copy adds nothing while the first one waits.
  if (B.Waiting.contains(P.Flow))
    return false;
  const UploadOpening Opening{P.Flow, ArrivedAt, P.OpeningAge,
                              R.LatencyObjective, R.Timeout};
  const AdmissionResult Result = decideOpening(B, Opening, C.Now);
  if (Result.Outcome == Admission::Admitted)
    return true;
  if (Result.Outcome == Admission::Waits)
    addWaiting(B, Opening, Bytes(Raw.begin(), Raw.end()));
  else
    refuseUpload(C, P.Flow, Result.Reason, Result.ExpectedWait);
  return false;
}

void recordUpload(EntryContext &C, const Packet &P, const Route &R) {
  UploadBudget &B = C.E.Budget;
  if (!B.Enabled || R.Kind != RequestKind::Upload)
    return;
  B.Waiting.erase(P.Flow);
  onUploadPacket(B, P, C.Now);
}

void recordProbeAnswer(EntryContext &C, const Endpoint &Agent) {
  if (!C.E.Budget.Enabled)
    return;
  const auto It = C.E.Agents.find(Agent);
  // After a second probe it is uncertain which one was answered.
  if (It == C.E.Agents.end() ||
      It->second.UnansweredSince != It->second.ProbedAt)
    return;
  onProbeAnswer(
      C.E.Budget,
      duration_cast<std::chrono::microseconds>(C.Now - It->second.ProbedAt),
      C.Now);
}

void settleBudget(EntryContext &C) {
  UploadBudget &B = C.E.Budget;
  if (B.Uploads.empty() && B.Waiting.empty())
    return;
  std::size_t Next = releaseReset(C, 0);
  // Openings that became too late since the last tick still start: refusing
  // them here lowered uploads and small requests on narrow links in the replay.
  while (const auto Taken = takeWaiting(B, C.Now)) {
    placeWaiting(C, Taken->first, Taken->second);
    Next = releaseReset(C, Next);
  }
}

double queryBytesPerSecond(const UploadBudget &B) {
  constexpr double BitsPerByte = 8;
  const auto Usual = static_cast<double>(QueryBytesPerSecond);
  if (!B.Enabled)
    return Usual;
  const double Width = B.LinkRate * B.RateFactor;
  return std::min(Usual, MaxQueryShare * Width / BitsPerByte);
}

void tickBudget(EntryContext &C) {
  UploadBudget &B = C.E.Budget;
  if (B.LinkRate <= 0)
    return;
  tick(B, C.E.Counters.SendsRefused, C.Now);
  while (const auto Flow = takeExpired(B, C.Now))
    refuseUpload(C, *Flow, UploadRefusal::WaitedTooLong, {});
}

} // namespace jasminearch::flow::detail
