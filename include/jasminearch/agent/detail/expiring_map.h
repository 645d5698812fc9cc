#ifndef JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H
#define JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H

#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace jasminearch::agent::detail {

/// A map whose entries end after a fixed lifetime, and which drops its oldest
/// entry rather than grow beyond a bound.
template <typename Key, typename Value> class ExpiringMap {
public:
  ExpiringMap(std::size_t MaxEntries, Duration Lifetime)
      : MaxEntries(MaxEntries), Lifetime(Lifetime) {}

  /// \returns the live value of \p Of, or null.
  Value *find(const Key &Of, TimePoint Now) {
    const auto Found = Entries.find(Of);
    if (Found == Entries.end() || Found->second.Expires <= Now)
      return nullptr;
    return &Found->second.Held;
  }

  /// Stores a value and starts its lifetime anew. Complexity: amortized
  /// constant.
  Value &put(const Key &Of, Value New, TimePoint Now) {
    return putUntil(Of, std::move(New), Now + Lifetime, Now);
  }

  /// As put(), with a given end.
  Value &putUntil(const Key &Of, Value New, TimePoint Expires, TimePoint Now) {
    trim(Now);
    Entry &Place = Entries[Of];
    Place = {std::move(New), Expires, ++LastPut};
    Order.emplace_back(Of, LastPut);
    return Place.Held;
  }

  /// Drops expired entries, and the oldest ones while the map is full.
  void trim(TimePoint Now) {
    while (!Order.empty() && frontMayGo(Now)) {
      const auto Found = Entries.find(Order.front().first);
      if (Found != Entries.end() && Found->second.Put == Order.front().second)
        Entries.erase(Found);
      Order.pop_front();
    }
  }

  std::size_t size() const { return Entries.size(); }

  /// Calls \p Visit with key, value and end of each entry, oldest first.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Of, Put] : Order) {
      const auto Found = Entries.find(Of);
      if (Found != Entries.end() && Found->second.Put == Put)
        Visit(Of, Found->second.Held, Found->second.Expires);
    }
  }

private:
  struct Entry {
    Value Held;
    TimePoint Expires;
    std::uint64_t Put = 0;
  };

  bool frontMayGo(TimePoint Now) const {
    const auto &[Of, Put] = Order.front();
    const auto Found = Entries.find(Of);
    const bool Outdated = Found == Entries.end() || Found->second.Put != Put;
    return Outdated || Order.size() > MaxEntries ||
           Found->second.Expires <= Now;
  }

  std::size_t MaxEntries;
  Duration Lifetime;
  absl::flat_hash_map<Key, Entry> Entries;
  /// Keys in the order of put(); an entry that was put again has older places,
  /// which no longer count.
  std::deque<std::pair<Key, std::uint64_t>> Order;
  std::uint64_t LastPut = 0;
};

} // namespace jasminearch::agent::detail

#endif // JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H
