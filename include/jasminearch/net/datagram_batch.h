#ifndef JASMINEARCH_NET_DATAGRAM_BATCH_H
#define JASMINEARCH_NET_DATAGRAM_BATCH_H

#include "jasminearch/net/udp_socket.h"
#include "jasminearch/types.h"
#include "jasminearch/wire/frame.h"
#include <absl/types/span.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <sys/socket.h>
#include <vector>

namespace jasminearch::net {

/// Datagrams that one system call receives or sends at most.
inline constexpr std::size_t BatchSize = 64;

namespace detail {

/// Memory and descriptors of a batch. Every slot holds the largest datagram.
/// Pages are touched only as far as datagrams fill them.
struct BatchBuffers {
  BatchBuffers();

  std::unique_ptr<std::uint8_t[]> Memory;
  std::vector<sockaddr_in> Addresses;
  std::vector<iovec> IoVectors;
  std::vector<mmsghdr> Messages;
};

} // namespace detail

/// Datagrams taken with one recvmmsg call. One object per thread.
class ReceiveBatch {
public:
  /// Waits for a datagram, at most for the socket's timeout, and takes those
  /// that are there. \returns their number, zero after a timeout or a signal.
  std::size_t receive(const UdpSocket &Socket);

  std::size_t size() const { return Count; }

  /// Bytes of datagram \p Index, valid until the next receive().
  absl::Span<const std::uint8_t> datagram(std::size_t Index) const;

  /// Sender of datagram \p Index.
  Endpoint from(std::size_t Index) const;

private:
  detail::BatchBuffers Buffers;
  std::size_t Count = 0;
};

/// Datagrams that leave with one sendmmsg call. One object per thread.
class SendBatch {
public:
  /// Room for the next datagram. Only valid while full() is false.
  absl::Span<std::uint8_t> next();

  /// Adds the first \p Bytes of next() as a datagram to \p To.
  void add(std::size_t Bytes, const Endpoint &To);

  bool full() const { return Count == BatchSize; }
  std::size_t size() const { return Count; }

  /// Sends all datagrams and empties the batch. A datagram that the system
  /// refuses is left out. \returns the number sent.
  std::size_t flush(const UdpSocket &Socket);

private:
  detail::BatchBuffers Buffers;
  std::size_t Count = 0;
};

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_DATAGRAM_BATCH_H
