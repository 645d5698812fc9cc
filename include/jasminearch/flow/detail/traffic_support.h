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

/// What the traffic threads of entry hosts and agents share.
namespace jasminearch::flow::detail {

/// Longest wait of a traffic thread.
inline constexpr int TickMilliseconds = 40;

/// Lines a second about flows that were placed, and about everything else. They
/// bound what logging costs a host with a few percent of a core.
inline constexpr unsigned PlacedLinesPerSecond = 10;
inline constexpr unsigned OtherLinesPerSecond = 40;

/// Adds a datagram to a batch, which is sent when it is full.
inline void send(net::SendBatch &Batch, const net::UdpSocket &Socket,
                 const Bytes &Datagram, const Endpoint &To) {
  if (Batch.full())
    Batch.flush(Socket);
  const auto Room = Batch.next();
  if (Datagram.size() > Room.size())
    return;
  std::memcpy(Room.data(), Datagram.data(), Datagram.size());
  Batch.add(Datagram.size(), To);
}

/// Bounds the lines about flows and tells how many were left out.
class DecisionLog {
public:
  bool allow(bool Placed, TimePoint Now) {
    if (Now - Window >= std::chrono::seconds(1)) {
      if (LeftOut != 0)
        logEvent(LogLevel::Info, "lines_left_out", {{"count", LeftOut}});
      Window = Now;
      LeftOut = 0;
    }
    if ((Placed ? PlacedLines : OtherLines).allow(Now))
      return true;
    ++LeftOut;
    return false;
  }

private:
  LogRateLimiter PlacedLines{PlacedLinesPerSecond};
  LogRateLimiter OtherLines{OtherLinesPerSecond};
  TimePoint Window{};
  std::uint64_t LeftOut = 0;
};

/// Runs \p Read on the traffic thread. \returns its text, or an empty one if
/// the thread doesn't answer soon.
template <typename Function> std::string ask(Mailbox &Mail, Function Read) {
  constexpr std::chrono::milliseconds Patience{500};
  auto Answer = std::make_shared<std::promise<std::string>>();
  auto Result = Answer->get_future();
  Mail.post([Answer, Read] { Answer->set_value(Read()); });
  if (Result.wait_for(Patience) != std::future_status::ready)
    return {};
  return Result.get();
}

} // namespace jasminearch::flow::detail

#endif // JASMINEARCH_FLOW_DETAIL_TRAFFIC_SUPPORT_H
