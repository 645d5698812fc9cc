#include "jasminearch/net/udp_socket.h"
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace jasminearch::net {

namespace {

Expected<UdpSocket> socketError(const Endpoint &Local, const char *Operation) {
  return fail(ErrorCode::SocketFailed,
              std::string(Operation) + " failed for UDP socket " +
                  toString(Local) + ": " + std::strerror(errno));
}

bool setOption(int Handle, int Name, const void *Value, socklen_t Size) {
  return setsockopt(Handle, SOL_SOCKET, Name, Value, Size) == 0;
}

bool configure(int Handle, const UdpOptions &Options) {
  const int Buffer = Options.BufferBytes;
  const auto Timeout = Options.ReceiveTimeout;
  timeval Wait{};
  Wait.tv_sec = Timeout.count() / 1000;
  Wait.tv_usec = Timeout.count() % 1000 * 1000;
  return setOption(Handle, SO_RCVBUF, &Buffer, sizeof(Buffer)) &&
         setOption(Handle, SO_SNDBUF, &Buffer, sizeof(Buffer)) &&
         setOption(Handle, SO_RCVTIMEO, &Wait, sizeof(Wait));
}

} // namespace

UdpSocket::UdpSocket(UdpSocket &&Other) noexcept
    : Handle(std::exchange(Other.Handle, -1)) {}

UdpSocket &UdpSocket::operator=(UdpSocket &&Other) noexcept {
  std::swap(Handle, Other.Handle);
  return *this;
}

UdpSocket::~UdpSocket() {
  if (Handle >= 0)
    close(Handle);
}

Expected<UdpSocket> bindUdp(const Endpoint &Local, const UdpOptions &Options) {
  UdpSocket Socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  if (Socket.descriptor() < 0)
    return socketError(Local, "socket");
  if (!configure(Socket.descriptor(), Options))
    return socketError(Local, "setsockopt");
  const sockaddr_in Address = toSocketAddress(Local);
  if (bind(Socket.descriptor(), reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0)
    return socketError(Local, "bind");
  return Socket;
}

Endpoint localEndpoint(const UdpSocket &Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket.descriptor(), reinterpret_cast<sockaddr *>(&Address),
              &Size);
  return toEndpoint(Address);
}

sockaddr_in toSocketAddress(const Endpoint &E) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(E.Address);
  Address.sin_port = htons(E.Port);
  return Address;
}

Endpoint toEndpoint(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

} // namespace jasminearch::net
