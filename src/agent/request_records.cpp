#include "jasminearch/agent/request_records.h"

namespace jasminearch::agent {

namespace {

void removeAnswer(RequestRecords &Records, RequestRecord &Record) {
  if (!Record.ByAnswerAge.is_linked())
    return;
  Records.ByAnswerAge.erase(Records.ByAnswerAge.iterator_to(Record));
  Records.AnswerBytes -= Record.Answer.size();
  Record.Answer = Bytes();
}

void removeUpload(RequestRecords &Records, const RequestRecord &Record) {
  const auto Found = Records.Uploads.find({Record.Caller, Record.OperationKey});
  if (Found != Records.Uploads.end() && Found->second == Record.Nonce)
    Records.Uploads.erase(Found);
}

} // namespace

RequestRecords::~RequestRecords() {
  ByAge.clear();
  ByAnswerAge.clear();
}

RequestRecord *findRecord(RequestRecords &Records, std::uint64_t Nonce) {
  const auto Found = Records.ByNonce.find(Nonce);
  return Found == Records.ByNonce.end() ? nullptr : Found->second.get();
}

RequestRecord *addRecord(RequestRecords &Records, std::uint64_t Nonce,
                         RequestPhase Phase, TimePoint Now) {
  if (Records.ByNonce.size() >= Records.Limits.MaxRecords)
    return nullptr;
  auto [Position, Inserted] =
      Records.ByNonce.try_emplace(Nonce, std::make_unique<RequestRecord>());
  if (!Inserted)
    return nullptr;
  RequestRecord &NewRecord = *Position->second;
  NewRecord.Nonce = Nonce;
  NewRecord.Phase = Phase;
  NewRecord.Expires = Now + PermitLifetime;
  Records.ByAge.push_back(NewRecord);
  return &NewRecord;
}

void storeAnswer(RequestRecords &Records, RequestRecord &Record,
                 absl::Span<const std::uint8_t> Answer) {
  removeAnswer(Records, Record);
  if (Answer.empty() || Answer.size() > Records.Limits.MaxAnswerBytes)
    return;
  Record.Answer.assign(Answer.begin(), Answer.end());
  Records.AnswerBytes += Record.Answer.size();
  Records.ByAnswerAge.push_back(Record);
  while (Records.AnswerBytes > Records.Limits.MaxAnswerBytes)
    removeAnswer(Records, Records.ByAnswerAge.front());
}

void startUpload(RequestRecords &Records, RequestRecord &Record) {
  Record.Upload.Active = true;
  Records.Uploads[{Record.Caller, Record.OperationKey}] = Record.Nonce;
}

RequestRecord *findUpload(RequestRecords &Records, Endpoint Caller,
                          std::uint64_t OperationKey) {
  const auto Found = Records.Uploads.find({Caller, OperationKey});
  return Found == Records.Uploads.end() ? nullptr
                                        : findRecord(Records, Found->second);
}

void expireRecords(RequestRecords &Records, TimePoint Now) {
  while (!Records.ByAge.empty() && Records.ByAge.front().Expires <= Now) {
    RequestRecord &Expired = Records.ByAge.front();
    removeAnswer(Records, Expired);
    removeUpload(Records, Expired);
    Records.ByAge.pop_front();
    Records.ByNonce.erase(Expired.Nonce);
  }
}

} // namespace jasminearch::agent
