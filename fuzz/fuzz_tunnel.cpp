#include "jasminearch/flow/flow_digest.h"
#include "jasminearch/flow/load_report.h"
#include "jasminearch/flow/tunnel.h"
#include "packet_format.h"
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::flow;

/// Decodes bytes that any host could send to a tunnel or packet address. What
/// decodes must survive a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const absl::Span<const std::uint8_t> Input(Data, Size);
  if (const auto Datagram = decodeTunnel(Input)) {
    const Bytes Again = encodeTunnel(Datagram->Header, Datagram->Payload);
    const auto Back = decodeTunnel(Again);
    if (!Back || Back->Header != Datagram->Header)
      std::abort();
  }
  if (const auto Key = decodeFlowKey(Input))
    if (*decodeFlowKey(encodeFlowKey(*Key)) != *Key)
      std::abort();
  if (const auto Part = decodeFlowList(Input))
    if (*decodeFlowList(encodeFlowList(*Part)) != *Part)
      std::abort();
  if (const auto Request = decodeFlowListRequest(Input))
    if (*decodeFlowListRequest(encodeFlowListRequest(*Request)) != *Request)
      std::abort();
  if (const auto Request = decodeDigestRequest(Input))
    if (*decodeDigestRequest(encodeDigestRequest(*Request)) != *Request)
      std::abort();
  if (const auto Answer = decodeDigestAnswer(Input))
    if (*decodeDigestAnswer(encodeDigestAnswer(*Answer)) != *Answer)
      std::abort();
  if (const auto Report = decodeLoadReport(Data, Size)) {
    const Bytes Again = encodeLoadReport(*Report);
    const auto Back = decodeLoadReport(Again.data(), Again.size());
    if (!Back || *Back != *Report)
      std::abort();
  }
  const PacketCodec Codec = platform::packetCodec();
  Bytes Copy(Data, Data + Size);
  for (const Direction From : {Direction::FromCaller, Direction::FromUpstream})
    if (Codec.Decode(Input, From)) {
      Codec.SetTag(absl::MakeSpan(Copy), 1);
      Codec.ClearMarks(absl::MakeSpan(Copy));
    }
  return 0;
}
