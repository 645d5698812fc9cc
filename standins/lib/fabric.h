#ifndef STANDINS_LIB_FABRIC_H
#define STANDINS_LIB_FABRIC_H

#include "jasminearch/types.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// Faults that the fabric applies to datagrams in both directions. Loss,
/// Duplicate and Reorder are probabilities from 0 to 1.
struct FabricFaults {
  /// One-way delay of every datagram, and the maximum that is added to it at
  /// random.
  jasminearch::Duration Delay{};
  jasminearch::Duration Jitter{};
  double Loss = 0;
  double Duplicate = 0;
  double Reorder = 0;
  /// Extra delay of datagrams that are reordered.
  jasminearch::Duration ReorderDelay = std::chrono::milliseconds{5};
};

/// An entry host that receives callers' datagrams from the fabric.
struct FabricEntry {
  jasminearch::Endpoint Address;
  /// Whether datagrams to and from it are lost.
  bool Cut = false;

  bool operator==(const FabricEntry &) const = default;
};

/// Counts of datagrams since the start.
struct FabricCounts {
  std::uint64_t FromCallers = 0;
  std::uint64_t ToEntries = 0;
  std::uint64_t FromEntries = 0;
  std::uint64_t ToCallers = 0;
  std::uint64_t Lost = 0;
  std::uint64_t LostAtCut = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Reordered = 0;
  /// From callers while there was no entry host; dropped.
  std::uint64_t NoEntry = 0;
  /// From entry hosts without a valid PROXY header; dropped.
  std::uint64_t BadHeader = 0;
  /// From entry hosts with a source that isn't a service address of this
  /// fabric; dropped.
  std::uint64_t UnknownSource = 0;
  /// Dropped because MaxQueuedDatagrams were queued or the datagram would have
  /// been too large.
  std::uint64_t Overflow = 0;
  std::uint64_t SendFailed = 0;
  /// Datagrams that were sent more than 100 microseconds after they were due.
  std::uint64_t SentLate = 0;
  std::uint64_t MaxLatenessMicroseconds = 0;
};

/// Settings, counts and random generator that decide what happens to a
/// datagram.
struct FabricState {
  FabricFaults Faults;
  std::vector<FabricEntry> Entries;
  FabricCounts Counts;
  std::mt19937_64 Random;
};

/// Destination and send time of one copy of a datagram.
struct PlannedCopy {
  jasminearch::Endpoint To;
  jasminearch::TimePoint Due;
};

/// The copies of one datagram: none if it is lost, two if it is duplicated.
struct PlannedCopies {
  std::size_t Count = 0;
  std::array<PlannedCopy, 2> Copies;
};

/// Plans the copies of a caller's datagram and chooses an entry host for each
/// copy independently. Equal seeds, arguments and states give equal plans.
PlannedCopies planToEntries(FabricState &State, jasminearch::TimePoint Now);

/// Plans the copies of a datagram from the entry host \p From to \p Caller.
PlannedCopies planToCaller(FabricState &State,
                           const jasminearch::Endpoint &From,
                           const jasminearch::Endpoint &Caller,
                           jasminearch::TimePoint Now);

/// Runs one command of the control port.
/// \returns "ok", the counts, or "error: " and the reason.
///
///     add 127.0.20.1:7000     send datagrams to this entry host, too
///     remove 127.0.20.1:7000  send no more datagrams to this entry host
///     cut 127.0.20.1:7000     lose all datagrams to and from it
///     heal 127.0.20.1:7000    end the cut
///     loss 0.05               lose this share of all datagrams
///     counts                  return the counts as JSON
std::string runFabricCommand(FabricState &State, std::string_view Command);

/// \returns \p Counts as a JSON object on one line.
std::string toJson(const FabricCounts &Counts);

} // namespace standins

#endif // STANDINS_LIB_FABRIC_H
