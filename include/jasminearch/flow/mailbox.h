#ifndef JASMINEARCH_FLOW_MAILBOX_H
#define JASMINEARCH_FLOW_MAILBOX_H

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace jasminearch::flow {

/// Work that other threads hand to a traffic thread, which owns the state that
/// it touches.
class Mailbox {
public:
  Mailbox();
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Adds work and wakes the traffic thread. Safe from any thread.
  void post(std::function<void()> Work);

  /// Runs all work; called by the traffic thread.
  void run();

  /// A descriptor that is readable while there is work.
  int descriptor() const { return Wake; }

private:
  int Wake = -1;
  std::mutex Lock;
  std::vector<std::function<void()>> Queue;
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_MAILBOX_H
