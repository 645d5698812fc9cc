#include "jasminearch/flow/mailbox.h"
#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jasminearch::flow {

Mailbox::Mailbox() : Wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Mailbox::~Mailbox() {
  if (Wake >= 0)
    close(Wake);
}

void Mailbox::post(std::function<void()> Work) {
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Queue.push_back(std::move(Work));
  }
  // The write fails only if the counter is full, and then the thread wakes.
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written = write(Wake, &One, sizeof(One));
}

void Mailbox::run() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const auto Taken = read(Wake, &Count, sizeof(Count));
  std::vector<std::function<void()>> Work;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    Work.swap(Queue);
  }
  for (const auto &Item : Work)
    Item();
}

} // namespace jasminearch::flow
