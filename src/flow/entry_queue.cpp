#include "jasminearch/flow/entry_queue.h"
#include <utility>

namespace jasminearch::flow {

namespace {

/// \returns the class of a caller's packet. A last packet and a reset stay
/// behind the data of their flow, which would count as a new request at the
/// agent; other packets without data are small and let the flow go on.
SendClass classOf(const EntryFlows &E, const Packet &P) {
  if (P.Opens)
    return SendClass::Control;
  if (P.DataBytes == 0 && !P.Finishes && !P.Resets)
    return SendClass::Small;
  const Route *R = E.Routes ? E.Routes->find(P.Flow.Service) : nullptr;
  return R && R->Kind == RequestKind::Upload ? SendClass::Bulk
                                             : SendClass::Small;
}

} // namespace

void updatePacing(LinkQueue &Q, UploadBudget &B) {
  B.Backlog = backlog(Q);
  B.LinkBytes = Q.BytesArrived + Q.BytesLeft;
  const double Rate = B.Enabled ? B.LinkRate * B.RateFactor : 0;
  if (Rate != Q.PacedFor)
    setLinkRate(Q, Rate);
}

QueuedDatagram describeDatagram(const EntryFlows &E, SendTunnel S) {
  QueuedDatagram D;
  D.To = S.To;
  D.Datagram = std::move(S.Datagram);
  const auto Tunnel = decodeTunnel(D.Datagram);
  if (!Tunnel || Tunnel->Header.Kind != TunnelKind::Forward)
    return D;
  const auto P = E.Codec.Decode(Tunnel->Payload, Direction::FromCaller);
  if (!P)
    return D;
  D.Class = classOf(E, *P);
  D.Flow = P->Flow;
  D.Sequence = P->Sequence;
  D.DataBytes = P->DataBytes;
  D.Repeats = P->DataBytes != 0 || P->Opens || P->Finishes;
  return D;
}

bool leavesAtOnce(LinkQueue &Q, const EntryFlows &E, SendTunnel &S,
                  TimePoint Now) {
  if (takeTokens(Q, S.Datagram.size(), Now))
    return true;
  enqueue(Q, describeDatagram(E, std::move(S)), Now);
  return false;
}

} // namespace jasminearch::flow
