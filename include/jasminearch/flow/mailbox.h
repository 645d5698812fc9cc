#ifndef JASMINEARCH_FLOW_MAILBOX_H
#define JASMINEARCH_FLOW_MAILBOX_H

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace jasminearch::flow {

/// Queue of functions that other threads post to a traffic thread. They run
/// there because only that thread may access its state.
class Mailbox {
public:
  Mailbox();
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Adds a function and wakes the traffic thread. Thread-safe.
  void post(std::function<void()> Work);

  /// Runs all queued functions; called by the traffic thread.
  void run();

  /// \returns a file descriptor that is readable while the queue isn't empty.
  int descriptor() const { return WakeDescriptor; }

private:
  int WakeDescriptor = -1;
  std::mutex Mutex;
  std::vector<std::function<void()>> Queue;
};

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_MAILBOX_H
