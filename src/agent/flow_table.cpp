#include "jasminearch/agent/flow_table.h"
#include <algorithm>

namespace jasminearch::agent {

namespace {

bool occupiesSlot(const Exchange &Value) {
  return !Value.Cancelled && !Value.UploadBlock;
}

FlowList &findContainingList(FlowTable &Table, const Flow &Value) {
  return Value.Lines.empty() ? Table.PlainFlows : Table.LineFlows;
}

} // namespace

FlowTable::~FlowTable() {
  PlainFlows.clear();
  LineFlows.clear();
  Busy.clear();
}

Flow *findFlow(FlowTable &Table, Endpoint Caller) {
  const auto Found = Table.ByCaller.find(Caller);
  return Found == Table.ByCaller.end() ? nullptr : Found->second.get();
}

Flow *findFlow(FlowTable &Table, FlowId Id) {
  const auto Found = Table.ById.find(Id);
  return Found == Table.ById.end() ? nullptr : Found->second;
}

Flow *addFlow(FlowTable &Table, Endpoint Caller, TimePoint Now) {
  if (Table.ByCaller.size() >= Table.MaxFlows)
    return nullptr;
  auto [Position, Inserted] =
      Table.ByCaller.try_emplace(Caller, std::make_unique<Flow>());
  if (!Inserted)
    return nullptr;
  Flow &NewFlow = *Position->second;
  NewFlow.Id = FlowId{++Table.LastId};
  NewFlow.Caller = Caller;
  NewFlow.LastUsed = Now;
  Table.ById[NewFlow.Id] = &NewFlow;
  Table.PlainFlows.push_back(NewFlow);
  return &NewFlow;
}

Flow *evictableFlow(FlowTable &Table) {
  // Few flows have exchanges (those that occupy slots, and cancelled ones), so
  // the search is short.
  for (Flow &Candidate : Table.PlainFlows)
    if (Candidate.Exchanges.empty())
      return &Candidate;
  return nullptr;
}

void touchFlow(FlowTable &Table, Flow &CallerFlow, TimePoint Now) {
  CallerFlow.LastUsed = Now;
  FlowList &List = findContainingList(Table, CallerFlow);
  List.splice(List.end(), List, List.iterator_to(CallerFlow));
}

void removeFlow(FlowTable &Table, Flow &Old) {
  while (!Old.Exchanges.empty())
    removeExchange(Table, Old, Old.Exchanges.size() - 1);
  while (!Old.Lines.empty())
    removeLine(Table, Old, wire::Token(Old.Lines.back().RequestToken));
  Table.PlainFlows.erase(Table.PlainFlows.iterator_to(Old));
  Table.ById.erase(Old.Id);
  Table.ByCaller.erase(Endpoint(Old.Caller));
}

void addExchange(FlowTable &Table, Flow &CallerFlow, const Exchange &New) {
  if (CallerFlow.Exchanges.empty())
    Table.Busy.push_back(CallerFlow);
  CallerFlow.Exchanges.push_back(New);
  if (occupiesSlot(New))
    ++Table.InFlight;
}

void removeExchange(FlowTable &Table, Flow &CallerFlow, std::size_t Index) {
  if (occupiesSlot(CallerFlow.Exchanges[Index]))
    --Table.InFlight;
  CallerFlow.Exchanges.erase(CallerFlow.Exchanges.begin() +
                             static_cast<std::ptrdiff_t>(Index));
  if (CallerFlow.Exchanges.empty())
    Table.Busy.erase(Table.Busy.iterator_to(CallerFlow));
}

void cancelExchange(FlowTable &Table, Flow &CallerFlow, std::size_t Index,
                    TimePoint Until) {
  Exchange &Ended = CallerFlow.Exchanges[Index];
  if (occupiesSlot(Ended))
    --Table.InFlight;
  Ended.Cancelled = true;
  Ended.Deadline = Until;
}

Exchange *findExchange(Flow &CallerFlow, const wire::Token &Token) {
  const auto Found = std::find_if(
      CallerFlow.Exchanges.begin(), CallerFlow.Exchanges.end(),
      [&](const Exchange &Open) { return Open.RequestToken == Token; });
  return Found == CallerFlow.Exchanges.end() ? nullptr : &*Found;
}

Line *findLine(Flow &CallerFlow, const wire::Token &Token) {
  const auto Found = std::find_if(
      CallerFlow.Lines.begin(), CallerFlow.Lines.end(),
      [&](const Line &Open) { return Open.RequestToken == Token; });
  return Found == CallerFlow.Lines.end() ? nullptr : &*Found;
}

void addLine(FlowTable &Table, Flow &CallerFlow, const Line &New) {
  if (findLine(CallerFlow, New.RequestToken) != nullptr)
    return;
  // A caller that registers again with a new token leaves its old line behind.
  if (CallerFlow.Lines.size() >= MaxLinesPerFlow)
    removeLine(Table, CallerFlow,
               wire::Token(CallerFlow.Lines.front().RequestToken));
  if (CallerFlow.Lines.empty())
    Table.LineFlows.splice(Table.LineFlows.end(), Table.PlainFlows,
                           Table.PlainFlows.iterator_to(CallerFlow));
  CallerFlow.Lines.push_back(New);
  ++Table.Lines;
}

void removeLine(FlowTable &Table, Flow &CallerFlow, const wire::Token &Token) {
  const Line *Found = findLine(CallerFlow, Token);
  if (Found == nullptr)
    return;
  CallerFlow.Lines.erase(CallerFlow.Lines.begin() +
                         (Found - CallerFlow.Lines.data()));
  --Table.Lines;
  if (CallerFlow.Lines.empty())
    Table.PlainFlows.splice(Table.PlainFlows.end(), Table.LineFlows,
                            Table.LineFlows.iterator_to(CallerFlow));
}

void addMessageId(Flow &CallerFlow, std::uint16_t MessageId) {
  if (hasMessageId(CallerFlow, MessageId))
    return;
  CallerFlow.MessageIds[CallerFlow.NextMessageIdIndex] = MessageId;
  CallerFlow.NextMessageIdIndex = static_cast<std::uint8_t>(
      (CallerFlow.NextMessageIdIndex + 1) % MaxMessageIdsPerFlow);
  CallerFlow.MessageIdCount = static_cast<std::uint8_t>(std::min<std::size_t>(
      CallerFlow.MessageIdCount + 1, MaxMessageIdsPerFlow));
}

bool hasMessageId(const Flow &CallerFlow, std::uint16_t MessageId) {
  const auto End = CallerFlow.MessageIds.begin() + CallerFlow.MessageIdCount;
  return std::find(CallerFlow.MessageIds.begin(), End, MessageId) != End;
}

void addReissuedMessageId(Flow &CallerFlow, const ReissuedMessageId &New) {
  if (CallerFlow.ReissuedMessageIds.size() >= MaxMessageIdsPerFlow)
    CallerFlow.ReissuedMessageIds.erase(CallerFlow.ReissuedMessageIds.begin());
  CallerFlow.ReissuedMessageIds.push_back(New);
}

std::optional<std::uint16_t> upstreamMessageId(const Flow &CallerFlow,
                                               std::uint16_t ToCaller) {
  const auto Found = std::find_if(
      CallerFlow.ReissuedMessageIds.rbegin(),
      CallerFlow.ReissuedMessageIds.rend(),
      [&](const ReissuedMessageId &Id) { return Id.ToCaller == ToCaller; });
  if (Found != CallerFlow.ReissuedMessageIds.rend())
    return Found->FromUpstream;
  if (hasMessageId(CallerFlow, ToCaller))
    return ToCaller;
  return std::nullopt;
}

void addTransfer(Flow &CallerFlow, std::uint64_t OperationKey) {
  if (hasTransfer(CallerFlow, OperationKey))
    return;
  if (CallerFlow.Transfers.size() >= MaxTransfersPerFlow)
    CallerFlow.Transfers.erase(CallerFlow.Transfers.begin());
  CallerFlow.Transfers.push_back(OperationKey);
}

bool hasTransfer(const Flow &CallerFlow, std::uint64_t OperationKey) {
  return std::find(CallerFlow.Transfers.begin(), CallerFlow.Transfers.end(),
                   OperationKey) != CallerFlow.Transfers.end();
}

void removeTransfer(Flow &CallerFlow, std::uint64_t OperationKey) {
  const auto Known = std::find(CallerFlow.Transfers.begin(),
                               CallerFlow.Transfers.end(), OperationKey);
  if (Known != CallerFlow.Transfers.end())
    CallerFlow.Transfers.erase(Known);
}

} // namespace jasminearch::agent
