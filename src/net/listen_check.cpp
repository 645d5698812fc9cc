#include "jasminearch/net/listen_check.h"
#include "jasminearch/net/udp_socket.h"
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jasminearch::net {

ListenCheck::~ListenCheck() {
  if (Handle >= 0)
    close(Handle);
}

void ListenCheck::start(const Endpoint &To) {
  if (Handle >= 0)
    close(Handle);
  Handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Handle < 0)
    return;
  const sockaddr_in Address = toSocketAddress(To);
  const int Status = connect(
      Handle, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  Failure = Status == 0 || errno == EINPROGRESS ? 0 : errno;
}

ListenState ListenCheck::finish() {
  const int Socket = std::exchange(Handle, -1);
  if (Socket < 0)
    return ListenState::Unknown;
  int Error = Failure;
  socklen_t Size = sizeof(Error);
  if (Error == 0 &&
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0)
    Error = errno;
  close(Socket);
  if (Error == 0)
    return ListenState::Yes;
  return Error == ECONNREFUSED ? ListenState::No : ListenState::Unknown;
}

} // namespace jasminearch::net
