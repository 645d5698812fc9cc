#ifndef JASMINEARCH_NET_UDP_SOCKET_H
#define JASMINEARCH_NET_UDP_SOCKET_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <netinet/in.h>

/// UDP sockets and batches of datagrams for traffic threads.
namespace jasminearch::net {

/// How a socket is opened.
struct UdpOptions {
  /// Bytes asked for as receive and send buffer. The system may give less.
  int BufferBytes = 4 << 20;
  /// Longest wait of one receive call; zero waits without end.
  std::chrono::milliseconds ReceiveTimeout{100};
};

/// Owns one bound IPv4 UDP socket. Movable, not copyable. Threads may receive
/// and send on one socket at the same time.
class UdpSocket {
public:
  UdpSocket() = default;
  explicit UdpSocket(int Descriptor) : Handle(Descriptor) {}
  UdpSocket(UdpSocket &&Other) noexcept;
  UdpSocket &operator=(UdpSocket &&Other) noexcept;
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;
  ~UdpSocket();

  /// \returns the file descriptor, or -1 when there is no socket.
  int descriptor() const { return Handle; }

private:
  int Handle = -1;
};

/// Opens a socket and binds it. Port zero lets the system choose.
/// \returns SocketFailed with the endpoint and the system's reason.
Expected<UdpSocket> bindUdp(const Endpoint &Local, const UdpOptions &Options);

/// \returns the endpoint that \p Socket is bound to.
Endpoint localEndpoint(const UdpSocket &Socket);

/// Conversions between endpoints and socket addresses.
sockaddr_in toSocketAddress(const Endpoint &E);
Endpoint toEndpoint(const sockaddr_in &Address);

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_UDP_SOCKET_H
