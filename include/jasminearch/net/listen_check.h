#ifndef JASMINEARCH_NET_LISTEN_CHECK_H
#define JASMINEARCH_NET_LISTEN_CHECK_H

#include "jasminearch/types.h"
#include <cstdint>

namespace jasminearch::net {

/// Result of a ListenCheck.
enum class ListenState : std::uint8_t {
  /// No check was started, or it failed for a reason other than a refused
  /// connection.
  Unknown,
  Yes,
  /// The host refused the connection: no process listens at the address.
  No,
};

/// Checks whether a process listens at a TCP address by opening a connection
/// and closing it. Never blocks.
class ListenCheck {
public:
  ListenCheck() = default;
  ListenCheck(const ListenCheck &) = delete;
  ListenCheck &operator=(const ListenCheck &) = delete;
  ~ListenCheck();

  /// Starts a check of \p To and cancels one that is still open.
  void start(const Endpoint &To);

  /// \returns the file descriptor to poll for POLLOUT, or -1 if no check is
  /// open.
  int descriptor() const { return Handle; }

  /// Ends the check; call it once descriptor() is ready. \returns the result.
  ListenState finish();

private:
  int Handle = -1;
  /// Error number of connect(); zero if it succeeded or is in progress.
  int ConnectError = 0;
};

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_LISTEN_CHECK_H
