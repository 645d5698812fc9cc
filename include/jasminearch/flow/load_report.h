#ifndef JASMINEARCH_FLOW_LOAD_REPORT_H
#define JASMINEARCH_FLOW_LOAD_REPORT_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace jasminearch::flow {

/// What an agent knows of the upstream beside it.
enum class UpstreamState : std::uint8_t {
  /// The agent has not heard it, or not within the announcement's lease.
  Unknown = 0,
  Ready = 1,
  /// Leaving: keeps its flows, gets no new ones.
  Draining = 2,
};

/// An agent's report to entry hosts, sent a few times a second.
struct LoadReport {
  /// Differs between runs of the agent.
  std::uint64_t RunId = 0;
  /// Increases with each report of a run.
  std::uint64_t Number = 0;
  std::string Service;
  std::string UpstreamName;
  std::string DataCentre;
  UpstreamState State = UpstreamState::Unknown;
  /// Requests that the upstream handles at a time.
  std::uint32_t Slots = 1;
  /// Time for which the upstream is still slow after its start.
  std::chrono::milliseconds ColdRemaining{0};
  /// Flows that had a packet within FlowActiveWindow.
  std::uint32_t ActiveFlows = 0;
  /// Flows whose last data came from the caller: requests without an answer.
  std::uint32_t Outstanding = 0;
  /// Time since the first unanswered packet was delivered; zero if the upstream
  /// has sent something since the last delivery.
  std::chrono::milliseconds Silent{0};
  /// The upstream is known to hold no flow, so that nobody has to ask.
  bool HoldsNothing = false;
  /// Recent mean time from request to first data of the response.
  std::chrono::microseconds ResponseTime{0};

  auto operator<=>(const LoadReport &) const = default;
};

/// Encodes as a CBOR array.
Bytes encodeLoadReport(const LoadReport &Report);

/// \returns MessageMalformed for anything that encodeLoadReport() can't write.
Expected<LoadReport> decodeLoadReport(const std::uint8_t *Data,
                                      std::size_t Size);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_LOAD_REPORT_H
