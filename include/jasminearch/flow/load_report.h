#ifndef JASMINEARCH_FLOW_LOAD_REPORT_H
#define JASMINEARCH_FLOW_LOAD_REPORT_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <absl/types/span.h>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jasminearch::flow {

/// State of an upstream as its agent knows it.
enum class UpstreamState : std::uint8_t {
  /// The agent hasn't heard from the upstream, or not within the announcement's
  /// lease.
  Unknown = 0,
  Ready = 1,
  /// The upstream is leaving: it keeps its flows and gets no new ones.
  Draining = 2,
};

/// Maximum number of routes whose service times a report states.
inline constexpr std::size_t MaxReportedRoutes = 4;

/// Service time of the requests of one route.
struct RouteServiceTime {
  /// routeTag() of the route's address.
  std::uint16_t Route = 0;
  std::chrono::microseconds Time{0};

  auto operator<=>(const RouteServiceTime &) const = default;
};

/// \returns a hash of a route's address that identifies the route in reports.
std::uint16_t routeTag(const Endpoint &Address);

/// An agent's load report, the answer to an entry host's probe.
struct LoadReport {
  /// Identifies the run of the agent.
  std::uint64_t RunId = 0;
  /// Sequence number of the report within the run.
  std::uint64_t Number = 0;
  /// serviceTag() of the upstream's service; zero if there is no upstream.
  std::uint32_t ServiceTag = 0;
  UpstreamState State = UpstreamState::Unknown;
  /// Number of requests that the upstream handles concurrently.
  std::uint32_t Slots = 1;
  /// Remaining time of the upstream's cold start.
  std::chrono::milliseconds ColdRemaining{0};
  /// Number of flows with a packet within ActiveFlowWindow.
  std::uint32_t ActiveFlows = 0;
  /// Number of flows with an unanswered request.
  std::uint32_t Outstanding = 0;
  /// Time since the first unanswered packet was delivered; zero if the upstream
  /// has sent anything since the last delivery.
  std::chrono::milliseconds Silent{0};
  /// The upstream is known to hold no flows at the time of the report.
  bool HoldsNoFlows = false;
  /// Moving average of the time from a request to the first data of its
  /// response.
  std::chrono::microseconds ResponseTime{0};
  /// Number of openings that the cold limit allows now; empty without a limit.
  std::optional<std::uint32_t> ColdOpeningsLeft = {};

  // Estimates; zero if unknown or not requested.

  /// Typical time that a request takes once it has a slot.
  std::chrono::microseconds ServiceTime{0};
  /// Work that remains for the requests in flight and the waiting openings, as
  /// the sum over all slots. Valid if ServiceTime isn't zero.
  std::chrono::microseconds RemainingWork{0};
  /// Time since the newest sample of ServiceTime, if that is long ago.
  std::chrono::milliseconds SampleAge{0};
  /// How much longer than usual the upstream has answered nothing, or what is
  /// left of that.
  std::chrono::milliseconds Overdue{0};
  /// Service times of the routes with the most requests, MaxReportedRoutes at
  /// most. They tell apart an upstream that is slow and one that gets more
  /// requests of a route with much work.
  std::vector<RouteServiceTime> RouteTimes = {};

  auto operator<=>(const LoadReport &) const = default;
};

/// Payload of a probe that asks for the estimates in the answer. Agents of
/// earlier versions ignore it. Entry hosts of earlier versions send probes
/// without a payload, and accept only reports of 11 fields.
inline constexpr std::uint8_t ProbeForEstimates = 1;

/// \returns whether the sender of a probe with this payload reads estimates.
bool asksForEstimates(absl::Span<const std::uint8_t> ProbePayload);

/// Removes the estimates and the openings left, for entry hosts that can't read
/// them. The agent enforces the cold limit without their help.
void clearEstimates(LoadReport &Report);

/// Encodes \p Report as a CBOR array: 11 fields, and after them a tag and a
/// value for each estimate that isn't zero and for the openings left, also zero
/// ones, if there is a cold limit.
Bytes encodeLoadReport(const LoadReport &Report);

/// \returns MessageMalformed for input that encodeLoadReport() can't produce.
/// Values with unknown tags, of later versions, are ignored.
Expected<LoadReport> decodeLoadReport(const std::uint8_t *Data,
                                      std::size_t Size);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_LOAD_REPORT_H
