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

/// Maximum number of datagrams per system call.
inline constexpr std::size_t BatchSize = 64;

namespace detail {

/// Buffers and message headers of a batch. Each buffer holds a datagram of the
/// maximum size; memory pages that no datagram reaches are never touched.
struct BatchBuffers {
  BatchBuffers();

  std::unique_ptr<std::uint8_t[]> Memory;
  std::vector<sockaddr_in> Addresses;
  std::vector<iovec> IoVectors;
  std::vector<mmsghdr> Messages;
};

} // namespace detail

/// Datagrams received with one recvmmsg call. Not synchronized: use one object
/// per thread.
class ReceiveBatch {
public:
  /// Waits for a datagram, at most for the socket's receive timeout, and
  /// receives all that are available up to BatchSize. \returns their number;
  /// zero after a timeout or a signal.
  std::size_t receive(const UdpSocket &Socket);

  std::size_t size() const { return Count; }

  /// \returns the datagram at \p Index, valid until the next receive().
  absl::Span<const std::uint8_t> datagram(std::size_t Index) const;

  /// \returns the sender of the datagram at \p Index.
  Endpoint from(std::size_t Index) const;

private:
  detail::BatchBuffers Buffers;
  std::size_t Count = 0;
};

/// Datagrams to be sent with sendmmsg. Not synchronized: use one object per
/// thread.
class SendBatch {
public:
  /// \returns the buffer for the next datagram. Must not be called if full().
  absl::Span<std::uint8_t> next();

  /// Adds a datagram to \p To that consists of the first \p Bytes of next().
  void add(std::size_t Bytes, const Endpoint &To);

  bool full() const { return Count == BatchSize; }
  std::size_t size() const { return Count; }

  /// Sends all datagrams and clears the batch. Datagrams that can't be sent are
  /// dropped. \returns the number of datagrams sent.
  std::size_t flush(const UdpSocket &Socket);

  /// \returns the number of datagrams that the socket has refused so far, for
  /// example because its buffer was full.
  std::uint64_t refused() const { return Refused; }

private:
  detail::BatchBuffers Buffers;
  std::size_t Count = 0;
  std::uint64_t Refused = 0;
};

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_DATAGRAM_BATCH_H
