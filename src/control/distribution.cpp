#include "jasminearch/control/distribution.h"
#include <set>
#include <string>
#include <type_traits>

namespace jasminearch::control {
namespace {

using Kind = ObjectKey::Kind;

ObjectKey keyOf(Kind Of, const std::string &Name) { return {Of, Name, 0}; }

template <typename Id> ObjectKey keyOf(Kind Of, const Id &Number) {
  return {Of, {}, Number.Number};
}

/// Appends the keys whose revision differs between \p Index and \p Objects,
/// and brings \p Index up to date. Both are sorted by the same key.
template <typename Key, typename Object>
void compare(Kind Of, std::vector<std::pair<Key, Revision>> &Index,
             const std::map<Key, Object> &Objects,
             std::vector<ObjectKey> &Touched) {
  auto Old = Index.begin();
  bool KeysDiffer = Index.size() != Objects.size();
  for (const auto &[Id, Value] : Objects) {
    while (Old != Index.end() && Old->first < Id) {
      Touched.push_back(keyOf(Of, Old->first));
      KeysDiffer = true;
      ++Old;
    }
    const bool Known = Old != Index.end() && Old->first == Id;
    KeysDiffer = KeysDiffer || !Known;
    if (!Known || Old->second != Value.Changed)
      Touched.push_back(keyOf(Of, Id));
    if (Known)
      (Old++)->second = Value.Changed;
  }
  for (; Old != Index.end(); ++Old) {
    Touched.push_back(keyOf(Of, Old->first));
    KeysDiffer = true;
  }
  if (!KeysDiffer)
    return;
  Index.clear();
  for (const auto &[Id, Value] : Objects)
    Index.emplace_back(Id, Value.Changed);
}

std::vector<ObjectKey> touched(ObjectIndex &Index, const Configuration &C) {
  std::vector<ObjectKey> Keys;
  compare(Kind::Profile, Index.Profiles, C.Profiles, Keys);
  compare(Kind::Service, Index.Services, C.Services, Keys);
  compare(Kind::Upstream, Index.Upstreams, C.Upstreams, Keys);
  compare(Kind::Entry, Index.Entries, C.Entries, Keys);
  compare(Kind::Table, Index.Tables, C.Tables, Keys);
  return Keys;
}

/// Calls \p Visit with the map of \p C that holds objects of kind \p Of and the
/// key in it.
template <typename Config, typename Visitor>
auto visitMap(Config &C, const ObjectKey &Key, Visitor Visit) {
  switch (Key.Of) {
  case Kind::Profile:
    return Visit(C.Profiles, Key.Name);
  case Kind::Service:
    return Visit(C.Services, ServiceId{Key.Number});
  case Kind::Upstream:
    return Visit(C.Upstreams, UpstreamId{Key.Number});
  case Kind::Entry:
    return Visit(C.Entries, Key.Name);
  case Kind::Table:
    break;
  }
  return Visit(C.Tables, ServiceId{Key.Number});
}

// Estimates of encoded sizes, in bytes, without their names. Measured by
// bench_distribution.
constexpr std::size_t ObjectBytes = 220;
constexpr std::size_t BucketBytes = 12;

template <typename Object> std::size_t estimatedBytes(const Object &Value) {
  if constexpr (std::is_same_v<Object, BucketTable>)
    return ObjectBytes + BucketBytes * Value.Buckets.size();
  else
    return ObjectBytes + Value.Name.size();
}

/// Copies the object that \p Key names, or notes that it is gone.
/// \returns the estimated size of what was added.
std::size_t addTo(Delta &Out, const ObjectKey &Key, const Configuration &From) {
  return visitMap(From, Key, [&](const auto &Objects, const auto &Id) {
    const auto Found = Objects.find(Id);
    if (Found == Objects.end()) {
      Out.Removed.push_back(Key);
      return ObjectBytes;
    }
    visitMap(Out.Changed, Key, [&](auto &Into, const auto &) {
      using Into_t = std::decay_t<decltype(Into)>;
      using From_t = std::decay_t<decltype(Objects)>;
      if constexpr (std::is_same_v<Into_t, From_t>)
        Into.insert(*Found);
    });
    return estimatedBytes(Found->second);
  });
}

/// Collects objects into parts of limited size.
struct Splitter {
  Revision At;
  std::vector<SnapshotPart> Parts;
  std::size_t Bytes = 0;

  explicit Splitter(Revision At) : At(At) { startPart(); }

  void startPart() {
    SnapshotPart Next;
    Next.Part.InForce = At;
    Next.Index = static_cast<std::uint32_t>(Parts.size());
    Parts.push_back(std::move(Next));
    Bytes = 0;
  }

  template <typename Key, typename Object>
  void add(const std::map<Key, Object> &Objects,
           std::map<Key, Object> Configuration::*Member) {
    for (const auto &[Id, Value] : Objects) {
      const std::size_t Size = estimatedBytes(Value);
      if (Bytes > 0 && Bytes + Size > SnapshotPartBytes)
        startPart();
      Bytes += Size;
      auto &Into = Parts.back().Part.*Member;
      Into.emplace_hint(Into.end(), Id, Value);
    }
  }
};

/// Checks what holds for deltas and snapshots alike.
Expected<void> checkUpdate(const ConfigReceiver &R, Revision At,
                           std::chrono::milliseconds QuorumAge) {
  if (!R.InForce && QuorumAge > MaxStartupQuorumAge)
    return fail(ErrorCode::NoQuorum,
                "the control host's last quorum is " +
                    std::to_string(QuorumAge.count()) + " ms old; a newly " +
                    "started process allows " +
                    std::to_string(MaxStartupQuorumAge.count()) + " ms");
  if (At < inForce(R))
    return fail(ErrorCode::StaleRevision,
                "revision " + std::to_string(At.Number) + " is older than " +
                    std::to_string(inForce(R).Number) + " in force");
  return {};
}

template <typename Key, typename Object>
void mergeInto(std::map<Key, Object> &Into, const std::map<Key, Object> &From) {
  for (const auto &[Id, Value] : From)
    Into.insert_or_assign(Id, Value);
}

void mergeObjects(Configuration &Into, const Configuration &From) {
  mergeInto(Into.Profiles, From.Profiles);
  mergeInto(Into.Services, From.Services);
  mergeInto(Into.Upstreams, From.Upstreams);
  mergeInto(Into.Entries, From.Entries);
  mergeInto(Into.Tables, From.Tables);
}

/// Moves the nodes instead of copying them.
void moveObjects(Configuration &Into, Configuration From) {
  Into.Profiles.merge(From.Profiles);
  Into.Services.merge(From.Services);
  Into.Upstreams.merge(From.Upstreams);
  Into.Entries.merge(From.Entries);
  Into.Tables.merge(From.Tables);
}

} // namespace

RetainedChanges startRetainedChanges(const Configuration &Current) {
  RetainedChanges Retained;
  Retained.Base = Current.InForce;
  touched(Retained.Index, Current);
  return Retained;
}

void retainChanges(RetainedChanges &Retained, const Configuration &Current) {
  const Revision Last =
      Retained.Changes.empty() ? Retained.Base : Retained.Changes.back().At;
  if (Current.InForce <= Last)
    return;
  Retained.Changes.push_back(
      {Current.InForce, touched(Retained.Index, Current)});
  if (Retained.Changes.size() <= ChangesRetained)
    return;
  Retained.Base = Retained.Changes.front().At;
  Retained.Changes.pop_front();
}

std::variant<UpToDate, Delta, NeedsSnapshot>
selectUpdate(Revision Last, const RetainedChanges &Retained,
             const Configuration &Current) {
  if (Last >= Current.InForce)
    return UpToDate{};
  if (Last.Number == 0 || Last < Retained.Base)
    return NeedsSnapshot{};
  std::set<ObjectKey> Touched;
  for (auto C = Retained.Changes.rbegin();
       C != Retained.Changes.rend() && C->At > Last; ++C)
    Touched.insert(C->Touched.begin(), C->Touched.end());
  Delta Update;
  Update.From = Last;
  Update.Changed.InForce = Current.InForce;
  std::size_t Size = 0;
  for (const ObjectKey &Key : Touched) {
    Size += addTo(Update, Key, Current);
    if (Size > MaxDeltaBytes)
      return NeedsSnapshot{};
  }
  return Update;
}

std::vector<SnapshotPart> splitSnapshot(const Configuration &Current) {
  Splitter S(Current.InForce);
  S.add(Current.Profiles, &Configuration::Profiles);
  S.add(Current.Services, &Configuration::Services);
  S.add(Current.Upstreams, &Configuration::Upstreams);
  S.add(Current.Entries, &Configuration::Entries);
  S.add(Current.Tables, &Configuration::Tables);
  S.Parts.back().Last = true;
  return std::move(S.Parts);
}

Revision inForce(const ConfigReceiver &R) {
  return R.InForce ? R.InForce->InForce : Revision{};
}

Expected<bool> applyDelta(ConfigReceiver &R, const Delta &Update,
                          std::chrono::milliseconds QuorumAge) {
  const Revision At = Update.Changed.InForce;
  if (auto Allowed = checkUpdate(R, At, QuorumAge); !Allowed)
    return tl::make_unexpected(Allowed.error());
  if (At == inForce(R))
    return false;
  if (Update.From > inForce(R))
    return fail(ErrorCode::RevisionFromFuture,
                "the changes begin at revision " +
                    std::to_string(Update.From.Number) + ", after " +
                    std::to_string(inForce(R).Number) + " in force");
  auto Next = R.InForce ? std::make_shared<Configuration>(*R.InForce)
                        : std::make_shared<Configuration>();
  for (const ObjectKey &Key : Update.Removed)
    visitMap(*Next, Key,
             [](auto &Objects, const auto &Id) { return Objects.erase(Id); });
  mergeObjects(*Next, Update.Changed);
  Next->InForce = At;
  R.InForce = std::move(Next);
  return true;
}

Expected<bool> applySnapshotPart(ConfigReceiver &R, SnapshotPart Update,
                                 std::chrono::milliseconds QuorumAge) {
  const Revision At = Update.Part.InForce;
  if (auto Allowed = checkUpdate(R, At, QuorumAge); !Allowed) {
    discardPartialSnapshot(R);
    return tl::make_unexpected(Allowed.error());
  }
  if (Update.Index == 0)
    discardPartialSnapshot(R);
  if (Update.Index != R.NextPart ||
      (R.NextPart > 0 && R.Collected.InForce != At)) {
    discardPartialSnapshot(R);
    return fail(ErrorCode::MessageMalformed,
                "snapshot part " + std::to_string(Update.Index) +
                    " of revision " + std::to_string(At.Number) +
                    " is out of order");
  }
  ++R.NextPart;
  R.Collected.InForce = At;
  moveObjects(R.Collected, std::move(Update.Part));
  if (!Update.Last)
    return false;
  const bool Newer = At > inForce(R);
  if (Newer)
    R.InForce = std::make_shared<const Configuration>(std::move(R.Collected));
  discardPartialSnapshot(R);
  return Newer;
}

void discardPartialSnapshot(ConfigReceiver &R) {
  R.Collected = Configuration{};
  R.NextPart = 0;
}

} // namespace jasminearch::control
