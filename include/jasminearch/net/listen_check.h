#ifndef JASMINEARCH_NET_LISTEN_CHECK_H
#define JASMINEARCH_NET_LISTEN_CHECK_H

#include "jasminearch/types.h"
#include <cstdint>

namespace jasminearch::net {

/// What a ListenCheck has found.
enum class ListenState : std::uint8_t {
  /// No answer yet, no check started, or the check failed for another reason.
  Unknown,
  Yes,
  /// The host refused the connection: no process listens there.
  No,
};

/// Asks a host whether any process listens at an address: opens a TCP
/// connection and closes it. Never blocks.
class ListenCheck {
public:
  ListenCheck() = default;
  ListenCheck(const ListenCheck &) = delete;
  ListenCheck &operator=(const ListenCheck &) = delete;
  ~ListenCheck();

  /// Starts a check of \p To; one that is still open is given up.
  void start(const Endpoint &To);

  /// \returns the descriptor to poll for POLLOUT, or -1 if no check is open.
  int descriptor() const { return Handle; }

  /// Ends the check once descriptor() is ready. \returns what it found.
  ListenState finish();

private:
  int Handle = -1;
  /// Error of connect() itself; zero while the connection is being made.
  int Failure = 0;
};

} // namespace jasminearch::net

#endif // JASMINEARCH_NET_LISTEN_CHECK_H
