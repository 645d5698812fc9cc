#ifndef JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H
#define JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H

#include "jasminearch/types.h"
#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace jasminearch::agent::detail {

/// Map whose entries expire after a lifetime. Its size is bounded: the oldest
/// entries are evicted when the map is full.
template <typename Key, typename Value> class ExpiringMap {
public:
  ExpiringMap(std::size_t MaxEntries, Duration Lifetime)
      : MaxEntries(MaxEntries), Lifetime(Lifetime) {}

  /// \returns the unexpired value of \p EntryKey, or null.
  Value *find(const Key &EntryKey, TimePoint Now) {
    const auto Found = Entries.find(EntryKey);
    if (Found == Entries.end() || Found->second.Expires <= Now)
      return nullptr;
    return &Found->second.Stored;
  }

  /// Inserts or replaces a value, which expires after the map's lifetime.
  /// Complexity: amortized constant.
  Value &put(const Key &EntryKey, Value NewValue, TimePoint Now) {
    return putUntil(EntryKey, std::move(NewValue), Now + Lifetime, Now);
  }

  /// Same as put(), with a given expiry time.
  Value &putUntil(const Key &EntryKey, Value NewValue, TimePoint Expires,
                  TimePoint Now) {
    trim(Now);
    Entry &Target = Entries[EntryKey];
    Target = {std::move(NewValue), Expires, ++LastSequence};
    Order.emplace_back(EntryKey, LastSequence);
    return Target.Stored;
  }

  /// Removes expired entries and, if the map is full, the oldest ones.
  void trim(TimePoint Now) {
    while (!Order.empty() && isFrontRemovable(Now)) {
      const auto Found = Entries.find(Order.front().first);
      if (Found != Entries.end() &&
          Found->second.Sequence == Order.front().second)
        Entries.erase(Found);
      Order.pop_front();
    }
  }

  std::size_t size() const { return Entries.size(); }

  /// Calls \p Visit with key, value and expiry time of each entry, oldest
  /// first.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[EntryKey, Sequence] : Order) {
      const auto Found = Entries.find(EntryKey);
      if (Found != Entries.end() && Found->second.Sequence == Sequence)
        Visit(EntryKey, Found->second.Stored, Found->second.Expires);
    }
  }

private:
  struct Entry {
    Value Stored;
    TimePoint Expires;
    std::uint64_t Sequence = 0;
  };

  bool isFrontRemovable(TimePoint Now) const {
    const auto &[EntryKey, Sequence] = Order.front();
    const auto Found = Entries.find(EntryKey);
    const bool Outdated =
        Found == Entries.end() || Found->second.Sequence != Sequence;
    return Outdated || Order.size() > MaxEntries ||
           Found->second.Expires <= Now;
  }

  std::size_t MaxEntries;
  Duration Lifetime;
  absl::flat_hash_map<Key, Entry> Entries;
  /// Keys and sequence numbers in insertion order. A replaced entry leaves
  /// outdated elements, whose sequence number differs from the entry's.
  std::deque<std::pair<Key, std::uint64_t>> Order;
  std::uint64_t LastSequence = 0;
};

} // namespace jasminearch::agent::detail

#endif // JASMINEARCH_AGENT_DETAIL_EXPIRING_MAP_H
