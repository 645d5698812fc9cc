#include "jasminearch/net/datagram_batch.h"
#include <algorithm>
#include <cerrno>

namespace jasminearch::net {

namespace detail {

BatchBuffers::BatchBuffers()
    : Memory(std::make_unique_for_overwrite<std::uint8_t[]>(
          BatchSize * wire::MaxDatagramBytes)),
      Addresses(BatchSize), IoVectors(BatchSize), Messages(BatchSize) {
  for (std::size_t I = 0; I < BatchSize; ++I) {
    IoVectors[I].iov_base = Memory.get() + I * wire::MaxDatagramBytes;
    IoVectors[I].iov_len = wire::MaxDatagramBytes;
    msghdr &Header = Messages[I].msg_hdr;
    Header.msg_iov = &IoVectors[I];
    Header.msg_iovlen = 1;
    Header.msg_name = &Addresses[I];
    Header.msg_namelen = sizeof(sockaddr_in);
  }
}

} // namespace detail

std::size_t ReceiveBatch::receive(const UdpSocket &Socket) {
  // recvmmsg overwrites the address length of each datagram it receives.
  for (std::size_t I = 0; I < Count; ++I)
    Buffers.Messages[I].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int Received = recvmmsg(Socket.descriptor(), Buffers.Messages.data(),
                                BatchSize, MSG_WAITFORONE, nullptr);
  Count = static_cast<std::size_t>(std::max(Received, 0));
  return Count;
}

absl::Span<const std::uint8_t> ReceiveBatch::datagram(std::size_t Index) const {
  return {static_cast<const std::uint8_t *>(Buffers.IoVectors[Index].iov_base),
          Buffers.Messages[Index].msg_len};
}

Endpoint ReceiveBatch::from(std::size_t Index) const {
  return toEndpoint(Buffers.Addresses[Index]);
}

absl::Span<std::uint8_t> SendBatch::next() {
  return {Buffers.Memory.get() + Count * wire::MaxDatagramBytes,
          wire::MaxDatagramBytes};
}

void SendBatch::add(std::size_t Bytes, const Endpoint &To) {
  Buffers.IoVectors[Count].iov_len = Bytes;
  Buffers.Addresses[Count] = toSocketAddress(To);
  ++Count;
}

std::size_t SendBatch::flush(const UdpSocket &Socket) {
  std::size_t Processed = 0;
  std::size_t Sent = 0;
  while (Processed < Count) {
    const int SentNow =
        sendmmsg(Socket.descriptor(), &Buffers.Messages[Processed],
                 static_cast<unsigned>(Count - Processed), 0);
    if (SentNow < 0 && errno == EINTR)
      continue;
    // sendmmsg fails only for the first datagram of the call; skip that one.
    Processed += SentNow > 0 ? static_cast<std::size_t>(SentNow) : 1;
    Sent += static_cast<std::size_t>(std::max(SentNow, 0));
  }
  Refused += Count - Sent;
  Count = 0;
  return Sent;
}

} // namespace jasminearch::net
