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

/// What the fabric does to datagrams, in both directions. Shares are 0 to 1.
struct FabricFaults {
  /// One-way delay of every datagram, and the most that is added at random.
  jasminearch::Duration Delay{};
  jasminearch::Duration Jitter{};
  double Loss = 0;
  double Duplicate = 0;
  double Reorder = 0;
  /// Added to datagrams that are reordered.
  jasminearch::Duration ReorderDelay = std::chrono::milliseconds{5};
};

/// An entry host that the fabric sprays to.
struct FabricEntry {
  jasminearch::Endpoint Address;
  /// Datagrams to and from it are lost.
  bool Cut = false;

  bool operator==(const FabricEntry &) const = default;
};

/// Datagrams since the start.
struct FabricCounts {
  std::uint64_t FromCallers = 0;
  std::uint64_t ToEntries = 0;
  std::uint64_t FromEntries = 0;
  std::uint64_t ToCallers = 0;
  std::uint64_t Lost = 0;
  std::uint64_t LostAtCut = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Reordered = 0;
  /// From callers while there was no entry host.
  std::uint64_t NoEntry = 0;
  /// From entry hosts without a valid PROXY header.
  std::uint64_t BadHeader = 0;
  /// From entry hosts with a source that is no service address here.
  std::uint64_t UnknownSource = 0;
  /// Dropped, because too many datagrams were waiting.
  std::uint64_t Overflow = 0;
  std::uint64_t SendFailed = 0;
  /// Datagrams sent later than due by more than 100 microseconds.
  std::uint64_t SentLate = 0;
  std::uint64_t MaxLatenessMicroseconds = 0;
};

/// Everything that decides what happens to a datagram.
struct FabricState {
  FabricFaults Faults;
  std::vector<FabricEntry> Entries;
  FabricCounts Counts;
  std::mt19937_64 Random;
};

/// One copy of a datagram on its way.
struct PlannedCopy {
  jasminearch::Endpoint To;
  jasminearch::TimePoint Due;
};

/// Copies of one datagram: none when it is lost, two when it is duplicated.
struct PlannedCopies {
  std::size_t Count = 0;
  std::array<PlannedCopy, 2> Copies;
};

/// Plans a caller's datagram. Each copy goes to an entry host of its own.
/// Equal seeds, arguments and states give equal plans.
PlannedCopies planToEntries(FabricState &State, jasminearch::TimePoint Now);

/// Plans a datagram that the entry host \p From returned for \p Caller.
PlannedCopies planToCaller(FabricState &State,
                           const jasminearch::Endpoint &From,
                           const jasminearch::Endpoint &Caller,
                           jasminearch::TimePoint Now);

/// Runs one command of the control port and returns the reply: "ok", a line of
/// counts, or "error" and the reason.
///
///     add 127.0.20.1:7000     spray to this entry host, too
///     remove 127.0.20.1:7000  take it out
///     cut 127.0.20.1:7000     lose what goes to it and comes from it
///     heal 127.0.20.1:7000    end the cut
///     loss 0.05               lose this share of all datagrams
///     counts                  reply with the counts as JSON
std::string runFabricCommand(FabricState &State, std::string_view Command);

/// \returns \p Counts as one JSON object on one line.
std::string toJson(const FabricCounts &Counts);

} // namespace standins

#endif // STANDINS_LIB_FABRIC_H
