#ifndef JASMINEARCH_NET_UDP_SOCKET_H
#define JASMINEARCH_NET_UDP_SOCKET_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <netinet/in.h>

/// UDP sockets, datagram batches and checks of TCP listeners.
namespace jasminearch::net {

/// Options of a new socket.
struct UdpOptions {
  /// Requested size of the receive and the send buffer, in bytes. The system
  /// may grant less.
  int BufferBytes = 4 << 20;
  /// Timeout of a receive call; zero means no timeout.
  std::chrono::milliseconds ReceiveTimeout{100};
};

/// Owns a bound IPv4 UDP socket. Several threads may receive and send on one
/// socket concurrently.
class UdpSocket {
public:
  UdpSocket() = default;
  explicit UdpSocket(int Descriptor) : Handle(Descriptor) {}
  UdpSocket(UdpSocket &&Other) noexcept;
  UdpSocket &operator=(UdpSocket &&Other) noexcept;
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;
  ~UdpSocket();

  /// \returns the file descriptor, or -1 if the object owns no socket.
  int descriptor() const { return Handle; }

private:
  int Handle = -1;
};

/// Opens a socket and binds it to \p Local. Port zero lets the system choose a
/// port. \returns SocketFailed with the endpoint and the system's error
/// message.
Expected<UdpSocket> bindUdp(const Endpoint &Local, const UdpOptions &Options);

/// \returns the endpoint that \p Socket is bound to.
Endpoint localEndpoint(const UdpSocket &Socket);

/// Conversions between Endpoint and sockaddr_in.
sockaddr_in toSocketAddress(const Endpoint &E);
Endpoint toEndpoint(const sockaddr_in &Address);

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_UDP_SOCKET_H
