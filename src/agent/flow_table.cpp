#include "jasminearch/agent/flow_table.h"
#include <algorithm>

namespace jasminearch::agent {

namespace {

bool counts(const Exchange &Of) { return !Of.Cancelled && !Of.UploadBlock; }

FlowsByUse &listOf(FlowTable &In, const Flow &Of) {
  return Of.Lines.empty() ? In.PlainFlows : In.LineFlows;
}

} // namespace

FlowTable::~FlowTable() {
  PlainFlows.clear();
  LineFlows.clear();
  Busy.clear();
}

Flow *findFlow(FlowTable &In, Endpoint Caller) {
  const auto Found = In.ByCaller.find(Caller);
  return Found == In.ByCaller.end() ? nullptr : Found->second.get();
}

Flow *findFlow(FlowTable &In, FlowId Id) {
  const auto Found = In.ById.find(Id);
  return Found == In.ById.end() ? nullptr : Found->second;
}

Flow *addFlow(FlowTable &In, Endpoint Caller, TimePoint Now) {
  if (In.ByCaller.size() >= In.MaxFlows)
    return nullptr;
  auto [Place, Added] =
      In.ByCaller.try_emplace(Caller, std::make_unique<Flow>());
  if (!Added)
    return nullptr;
  Flow &Made = *Place->second;
  Made.Id = FlowId{++In.LastId};
  Made.Caller = Caller;
  Made.LastUsed = Now;
  In.ById[Made.Id] = &Made;
  In.PlainFlows.push_back(Made);
  return &Made;
}

Flow *evictableFlow(FlowTable &In) {
  // Flows with exchanges are few (slots and cancelled requests), so the search
  // ends early.
  for (Flow &Candidate : In.PlainFlows)
    if (Candidate.Exchanges.empty())
      return &Candidate;
  return nullptr;
}

void touchFlow(FlowTable &In, Flow &Used, TimePoint Now) {
  Used.LastUsed = Now;
  FlowsByUse &List = listOf(In, Used);
  List.splice(List.end(), List, List.iterator_to(Used));
}

void removeFlow(FlowTable &In, Flow &Old) {
  while (!Old.Exchanges.empty())
    removeExchange(In, Old, Old.Exchanges.size() - 1);
  while (!Old.Lines.empty())
    removeLine(In, Old, wire::Token(Old.Lines.back().RequestToken));
  In.PlainFlows.erase(In.PlainFlows.iterator_to(Old));
  In.ById.erase(Old.Id);
  In.ByCaller.erase(Endpoint(Old.Caller));
}

void addExchange(FlowTable &In, Flow &Of, const Exchange &New) {
  if (Of.Exchanges.empty())
    In.Busy.push_back(Of);
  Of.Exchanges.push_back(New);
  if (counts(New))
    ++In.InFlight;
}

void removeExchange(FlowTable &In, Flow &Of, std::size_t Index) {
  if (counts(Of.Exchanges[Index]))
    --In.InFlight;
  Of.Exchanges.erase(Of.Exchanges.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Of.Exchanges.empty())
    In.Busy.erase(In.Busy.iterator_to(Of));
}

void cancelExchange(FlowTable &In, Flow &Of, std::size_t Index,
                    TimePoint Until) {
  Exchange &Ended = Of.Exchanges[Index];
  if (counts(Ended))
    --In.InFlight;
  Ended.Cancelled = true;
  Ended.Deadline = Until;
}

Exchange *findExchange(Flow &Of, const wire::Token &Token) {
  const auto Found = std::find_if(
      Of.Exchanges.begin(), Of.Exchanges.end(),
      [&](const Exchange &Open) { return Open.RequestToken == Token; });
  return Found == Of.Exchanges.end() ? nullptr : &*Found;
}

Line *findLine(Flow &Of, const wire::Token &Token) {
  const auto Found =
      std::find_if(Of.Lines.begin(), Of.Lines.end(), [&](const Line &Open) {
        return Open.RequestToken == Token;
      });
  return Found == Of.Lines.end() ? nullptr : &*Found;
}

void addLine(FlowTable &In, Flow &Of, const Line &New) {
  if (findLine(Of, New.RequestToken) != nullptr)
    return;
  // A caller that registers again under a new token leaves the old line behind.
  if (Of.Lines.size() >= MaxLinesPerFlow)
    removeLine(In, Of, wire::Token(Of.Lines.front().RequestToken));
  if (Of.Lines.empty())
    In.LineFlows.splice(In.LineFlows.end(), In.PlainFlows,
                        In.PlainFlows.iterator_to(Of));
  Of.Lines.push_back(New);
  ++In.Lines;
}

void removeLine(FlowTable &In, Flow &Of, const wire::Token &Token) {
  const Line *Found = findLine(Of, Token);
  if (Found == nullptr)
    return;
  Of.Lines.erase(Of.Lines.begin() + (Found - Of.Lines.data()));
  --In.Lines;
  if (Of.Lines.empty())
    In.PlainFlows.splice(In.PlainFlows.end(), In.LineFlows,
                         In.LineFlows.iterator_to(Of));
}

void rememberMessageId(Flow &Of, std::uint16_t MessageId) {
  if (knowsMessageId(Of, MessageId))
    return;
  Of.MessageIds[Of.NextMessageIdPlace] = MessageId;
  Of.NextMessageIdPlace = static_cast<std::uint8_t>(
      (Of.NextMessageIdPlace + 1) % RememberedMessageIds);
  Of.MessageIdCount = static_cast<std::uint8_t>(
      std::min<std::size_t>(Of.MessageIdCount + 1, RememberedMessageIds));
}

bool knowsMessageId(const Flow &Of, std::uint16_t MessageId) {
  const auto End = Of.MessageIds.begin() + Of.MessageIdCount;
  return std::find(Of.MessageIds.begin(), End, MessageId) != End;
}

void rememberReissued(Flow &Of, const ReissuedMessageId &New) {
  if (Of.Reissued.size() >= RememberedMessageIds)
    Of.Reissued.erase(Of.Reissued.begin());
  Of.Reissued.push_back(New);
}

std::optional<std::uint16_t> upstreamMessageId(const Flow &Of,
                                               std::uint16_t ToCaller) {
  const auto Found = std::find_if(
      Of.Reissued.rbegin(), Of.Reissued.rend(),
      [&](const ReissuedMessageId &Id) { return Id.ToCaller == ToCaller; });
  if (Found != Of.Reissued.rend())
    return Found->FromUpstream;
  if (knowsMessageId(Of, ToCaller))
    return ToCaller;
  return std::nullopt;
}

void rememberTransfer(Flow &Of, std::uint64_t OperationKey) {
  if (knowsTransfer(Of, OperationKey))
    return;
  if (Of.Transfers.size() >= RememberedTransfers)
    Of.Transfers.erase(Of.Transfers.begin());
  Of.Transfers.push_back(OperationKey);
}

bool knowsTransfer(const Flow &Of, std::uint64_t OperationKey) {
  return std::find(Of.Transfers.begin(), Of.Transfers.end(), OperationKey) !=
         Of.Transfers.end();
}

void forgetTransfer(Flow &Of, std::uint64_t OperationKey) {
  const auto Known =
      std::find(Of.Transfers.begin(), Of.Transfers.end(), OperationKey);
  if (Known != Of.Transfers.end())
    Of.Transfers.erase(Known);
}

} // namespace jasminearch::agent
