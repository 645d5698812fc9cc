#include "jasminearch/agent/request_records.h"

namespace jasminearch::agent {

namespace {

void dropAnswer(RequestRecords &In, RequestRecord &Of) {
  if (!Of.ByAnswerAge.is_linked())
    return;
  In.ByAnswerAge.erase(In.ByAnswerAge.iterator_to(Of));
  In.AnswerBytes -= Of.Answer.size();
  Of.Answer = Bytes();
}

void dropUpload(RequestRecords &In, const RequestRecord &Of) {
  const auto Found = In.Uploads.find({Of.Caller, Of.OperationKey});
  if (Found != In.Uploads.end() && Found->second == Of.Nonce)
    In.Uploads.erase(Found);
}

} // namespace

RequestRecords::~RequestRecords() {
  ByAge.clear();
  ByAnswerAge.clear();
}

RequestRecord *findRecord(RequestRecords &In, std::uint64_t Nonce) {
  const auto Found = In.ByNonce.find(Nonce);
  return Found == In.ByNonce.end() ? nullptr : Found->second.get();
}

RequestRecord *addRecord(RequestRecords &In, std::uint64_t Nonce,
                         RequestPhase Phase, TimePoint Now) {
  if (In.ByNonce.size() >= In.Limits.MaxRecords)
    return nullptr;
  auto [Place, Added] =
      In.ByNonce.try_emplace(Nonce, std::make_unique<RequestRecord>());
  if (!Added)
    return nullptr;
  RequestRecord &Made = *Place->second;
  Made.Nonce = Nonce;
  Made.Phase = Phase;
  Made.Expires = Now + PermitLifetime;
  In.ByAge.push_back(Made);
  return &Made;
}

void storeAnswer(RequestRecords &In, RequestRecord &Of,
                 absl::Span<const std::uint8_t> Answer) {
  dropAnswer(In, Of);
  if (Answer.empty() || Answer.size() > In.Limits.MaxAnswerBytes)
    return;
  Of.Answer.assign(Answer.begin(), Answer.end());
  In.AnswerBytes += Of.Answer.size();
  In.ByAnswerAge.push_back(Of);
  while (In.AnswerBytes > In.Limits.MaxAnswerBytes)
    dropAnswer(In, In.ByAnswerAge.front());
}

void startUpload(RequestRecords &In, RequestRecord &Of) {
  Of.Upload.Active = true;
  In.Uploads[{Of.Caller, Of.OperationKey}] = Of.Nonce;
}

RequestRecord *findUpload(RequestRecords &In, Endpoint Caller,
                          std::uint64_t OperationKey) {
  const auto Found = In.Uploads.find({Caller, OperationKey});
  return Found == In.Uploads.end() ? nullptr : findRecord(In, Found->second);
}

void expireRecords(RequestRecords &In, TimePoint Now) {
  while (!In.ByAge.empty() && In.ByAge.front().Expires <= Now) {
    RequestRecord &Old = In.ByAge.front();
    dropAnswer(In, Old);
    dropUpload(In, Old);
    In.ByAge.pop_front();
    In.ByNonce.erase(Old.Nonce);
  }
}

} // namespace jasminearch::agent
