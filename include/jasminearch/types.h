#ifndef JASMINEARCH_TYPES_H
#define JASMINEARCH_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Identifiers, endpoints and time types shared by all modules.
namespace jasminearch {

/// Monotonic time of a Clock. Comparable within one process only.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Wall-clock time, for logs, reports and permit expiry.
using WallTime = std::chrono::system_clock::time_point;

using Bytes = std::vector<std::uint8_t>;

namespace detail {

/// A strongly typed integer. \p Tag makes different kinds of ids distinct
/// types.
template <typename Tag, typename Value> struct StrongId {
  Value Number{};

  constexpr auto operator<=>(const StrongId &) const = default;

  template <typename H> friend H AbslHashValue(H Hash, const StrongId &Id) {
    return H::combine(std::move(Hash), Id.Number);
  }
};

} // namespace detail

/// Identifies a service. Zero means no service.
using ServiceId = detail::StrongId<struct ServiceTag, std::uint32_t>;

/// Identifies an upstream. Assigned at its first announcement and never reused.
/// Zero means no upstream.
using UpstreamId = detail::StrongId<struct UpstreamTag, std::uint32_t>;

/// Index of a committed change in the replicated log. Zero is the state before
/// the first change.
using Revision = detail::StrongId<struct RevisionTag, std::uint64_t>;

/// Revision at which an upstream's announcement was committed. Unique, and
/// increases with each restart of the upstream's agent.
using Incarnation = detail::StrongId<struct IncarnationTag, std::uint64_t>;

/// Identifies one datagram in the logs of entry host, agent and upstream.
using TraceId = detail::StrongId<struct TraceTag, std::uint64_t>;

/// IPv4 address and UDP or TCP port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  constexpr auto operator<=>(const Endpoint &) const = default;

  template <typename H> friend H AbslHashValue(H Hash, const Endpoint &E) {
    return H::combine(std::move(Hash), E.Address, E.Port);
  }
};

/// \returns \p E formatted as "a.b.c.d:port".
std::string toString(const Endpoint &E);

} // namespace jasminearch

#endif // JASMINEARCH_TYPES_H
