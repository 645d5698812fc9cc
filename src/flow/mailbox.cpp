#include "jasminearch/flow/mailbox.h"
#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jasminearch::flow {

Mailbox::Mailbox() : WakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Mailbox::~Mailbox() {
  if (WakeDescriptor >= 0)
    close(WakeDescriptor);
}

void Mailbox::post(std::function<void()> Work) {
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    Queue.push_back(std::move(Work));
  }
  // The write fails only if the event counter is full, and then the thread
  // wakes up anyway.
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      write(WakeDescriptor, &One, sizeof(One));
}

void Mailbox::run() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const auto Received =
      read(WakeDescriptor, &Count, sizeof(Count));
  std::vector<std::function<void()>> Work;
  {
    const std::lock_guard<std::mutex> Guard(Mutex);
    Work.swap(Queue);
  }
  for (const auto &Item : Work)
    Item();
}

} // namespace jasminearch::flow
