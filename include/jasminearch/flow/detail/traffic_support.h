#ifndef JASMINEARCH_FLOW_DETAIL_TRAFFIC_SUPPORT_H
#define JASMINEARCH_FLOW_DETAIL_TRAFFIC_SUPPORT_H

#include "jasminearch/flow/mailbox.h"
#include "jasminearch/log.h"
#include "jasminearch/net/datagram_batch.h"
#include "jasminearch/types.h"
#include <chrono>
#include <cstdint>
#include <cstring>
#include <future>
#include <memory>
#include <string>
#include <utility>

/// Code that the traffic threads of entry hosts and agents share.
namespace jasminearch::flow::detail {

/// Longest time that a traffic thread waits for events.
inline constexpr int TickIntervalMs = 40;

/// Maximum log lines per second about placed flows, and about all other
/// decisions. They limit the cost of logging on a host that has only a few
/// percent of a core.
inline constexpr unsigned PlacedLinesPerSecond = 10;
inline constexpr unsigned OtherLinesPerSecond = 40;

/// Adds a datagram to a batch and sends the batch first if it is full.
/// Datagrams that are too large are dropped.
inline void send(net::SendBatch &Batch, const net::UdpSocket &Socket,
                 const Bytes &Datagram, const Endpoint &To) {
  if (Batch.full())
    Batch.flush(Socket);
  const auto Buffer = Batch.next();
  if (Datagram.size() > Buffer.size())
    return;
  std::memcpy(Buffer.data(), Datagram.data(), Datagram.size());
  Batch.add(Datagram.size(), To);
}

/// Limits the rate of log lines about flows, and logs how many were suppressed.
class DecisionLogLimiter {
public:
  bool allow(bool Placed, TimePoint Now) {
    if (Now - WindowStart >= std::chrono::seconds(1)) {
      if (Suppressed != 0)
        logEvent(LogLevel::Info, "lines_left_out", {{"count", Suppressed}});
      WindowStart = Now;
      Suppressed = 0;
    }
    if ((Placed ? PlacedLines : OtherLines).allow(Now))
      return true;
    ++Suppressed;
    return false;
  }

private:
  LogRateLimiter PlacedLines{PlacedLinesPerSecond};
  LogRateLimiter OtherLines{OtherLinesPerSecond};
  TimePoint WindowStart{};
  std::uint64_t Suppressed = 0;
};

/// Calls \p Read on the traffic thread and waits for it. \returns its result,
/// or an empty string if the thread doesn't answer within the timeout.
template <typename Function>
std::string callAndWait(Mailbox &Mail, Function Read) {
  constexpr std::chrono::milliseconds Timeout{500};
  auto Answer = std::make_shared<std::promise<std::string>>();
  auto Result = Answer->get_future();
  Mail.post([Answer, Read] { Answer->set_value(Read()); });
  if (Result.wait_for(Timeout) != std::future_status::ready)
    return {};
  return Result.get();
}

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_TRAFFIC_SUPPORT_H
