#include "jasminearch/control/distribution.h"
#include <set>
#include <string>
#include <type_traits>

namespace jasminearch::control {
namespace {

using Kind = ObjectKey::Kind;

ObjectKey makeKey(Kind Of, const std::string &Name) { return {Of, Name, 0}; }

template <typename Id> ObjectKey makeKey(Kind Of, const Id &Number) {
  return {Of, {}, Number.Number};
}

/// Appends the keys of objects that were added, changed or removed since
/// \p Index was built, and updates \p Index. Both inputs are sorted by key.
template <typename Key, typename Object>
void updateKeys(Kind Of, std::vector<std::pair<Key, Revision>> &Index,
                const std::map<Key, Object> &Objects,
                std::vector<ObjectKey> &ChangedKeys) {
  auto Old = Index.begin();
  bool KeysDiffer = Index.size() != Objects.size();
  for (const auto &[Id, Value] : Objects) {
    while (Old != Index.end() && Old->first < Id) {
      ChangedKeys.push_back(makeKey(Of, Old->first));
      KeysDiffer = true;
      ++Old;
    }
    const bool Known = Old != Index.end() && Old->first == Id;
    KeysDiffer = KeysDiffer || !Known;
    if (!Known || Old->second != Value.Changed)
      ChangedKeys.push_back(makeKey(Of, Id));
    if (Known)
      (Old++)->second = Value.Changed;
  }
  for (; Old != Index.end(); ++Old) {
    ChangedKeys.push_back(makeKey(Of, Old->first));
    KeysDiffer = true;
  }
  if (!KeysDiffer)
    return;
  Index.clear();
  for (const auto &[Id, Value] : Objects)
    Index.emplace_back(Id, Value.Changed);
}

/// Updates \p Index to \p C.
/// \returns the keys of the objects that were added, changed or removed.
std::vector<ObjectKey> updateIndex(ObjectIndex &Index, const Configuration &C) {
  std::vector<ObjectKey> Keys;
  updateKeys(Kind::Profile, Index.Profiles, C.Profiles, Keys);
  updateKeys(Kind::Service, Index.Services, C.Services, Keys);
  updateKeys(Kind::Upstream, Index.Upstreams, C.Upstreams, Keys);
  updateKeys(Kind::Entry, Index.Entries, C.Entries, Keys);
  updateKeys(Kind::Table, Index.Tables, C.Tables, Keys);
  return Keys;
}

/// Calls \p Visit with the map of \p C that contains the kind of object that
/// \p Key identifies, and with the object's key in that map.
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

// Estimated encoded sizes, in bytes, excluding names. bench_distribution
// reports actual sizes.
constexpr std::size_t EstimatedObjectBytes = 220;
constexpr std::size_t EstimatedBucketBytes = 12;

template <typename Object> std::size_t estimatedBytes(const Object &Value) {
  if constexpr (std::is_same_v<Object, BucketTable>)
    return EstimatedObjectBytes + EstimatedBucketBytes * Value.Buckets.size();
  else
    return EstimatedObjectBytes + Value.Name.size();
}

/// Adds the object that \p Key identifies to \p Out, or its removal if it no
/// longer exists.
/// \returns the estimated size of the addition, in bytes.
std::size_t appendObject(Delta &Out, const ObjectKey &Key,
                         const Configuration &From) {
  return visitMap(From, Key, [&](const auto &Objects, const auto &Id) {
    const auto Found = Objects.find(Id);
    if (Found == Objects.end()) {
      Out.Removed.push_back(Key);
      return EstimatedObjectBytes;
    }
    visitMap(Out.Changed, Key, [&](auto &Target, const auto &) {
      using TargetMap = std::decay_t<decltype(Target)>;
      using SourceMap = std::decay_t<decltype(Objects)>;
      if constexpr (std::is_same_v<TargetMap, SourceMap>)
        Target.insert(*Found);
    });
    return estimatedBytes(Found->second);
  });
}

/// Splits objects into snapshot parts of limited size.
struct SnapshotSplitter {
  Revision At;
  std::vector<SnapshotPart> Parts;
  std::size_t Bytes = 0;

  explicit SnapshotSplitter(Revision At) : At(At) { startPart(); }

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
      if (Bytes > 0 && Bytes + Size > TargetSnapshotPartBytes)
        startPart();
      Bytes += Size;
      auto &Target = Parts.back().Part.*Member;
      Target.emplace_hint(Target.end(), Id, Value);
    }
  }
};

/// Checks the conditions that apply to both deltas and snapshots.
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
void mergeMap(std::map<Key, Object> &Target,
              const std::map<Key, Object> &From) {
  for (const auto &[Id, Value] : From)
    Target.insert_or_assign(Id, Value);
}

void mergeObjects(Configuration &Target, const Configuration &From) {
  mergeMap(Target.Profiles, From.Profiles);
  mergeMap(Target.Services, From.Services);
  mergeMap(Target.Upstreams, From.Upstreams);
  mergeMap(Target.Entries, From.Entries);
  mergeMap(Target.Tables, From.Tables);
}

/// Merges by moving the map nodes instead of copying the objects.
void moveObjects(Configuration &Target, Configuration From) {
  Target.Profiles.merge(From.Profiles);
  Target.Services.merge(From.Services);
  Target.Upstreams.merge(From.Upstreams);
  Target.Entries.merge(From.Entries);
  Target.Tables.merge(From.Tables);
}

} // namespace

RetainedChanges startRetainedChanges(const Configuration &Current) {
  RetainedChanges Retained;
  Retained.Base = Current.InForce;
  updateIndex(Retained.Index, Current);
  return Retained;
}

void retainChanges(RetainedChanges &Retained, const Configuration &Current) {
  const Revision Last =
      Retained.Changes.empty() ? Retained.Base : Retained.Changes.back().At;
  if (Current.InForce <= Last)
    return;
  Retained.Changes.push_back(
      {Current.InForce, updateIndex(Retained.Index, Current)});
  if (Retained.Changes.size() <= MaxRetainedChanges)
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
  std::set<ObjectKey> ChangedKeys;
  for (auto C = Retained.Changes.rbegin();
       C != Retained.Changes.rend() && C->At > Last; ++C)
    ChangedKeys.insert(C->ChangedKeys.begin(), C->ChangedKeys.end());
  Delta Update;
  Update.From = Last;
  Update.Changed.InForce = Current.InForce;
  std::size_t Size = 0;
  for (const ObjectKey &Key : ChangedKeys) {
    Size += appendObject(Update, Key, Current);
    if (Size > MaxDeltaBytes)
      return NeedsSnapshot{};
  }
  return Update;
}

std::vector<SnapshotPart> splitSnapshot(const Configuration &Current) {
  SnapshotSplitter S(Current.InForce);
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
      (R.NextPart > 0 && R.ReceivedObjects.InForce != At)) {
    discardPartialSnapshot(R);
    return fail(ErrorCode::MessageMalformed,
                "snapshot part " + std::to_string(Update.Index) +
                    " of revision " + std::to_string(At.Number) +
                    " is out of order");
  }
  ++R.NextPart;
  R.ReceivedObjects.InForce = At;
  moveObjects(R.ReceivedObjects, std::move(Update.Part));
  if (!Update.Last)
    return false;
  const bool Newer = At > inForce(R);
  if (Newer)
    R.InForce =
        std::make_shared<const Configuration>(std::move(R.ReceivedObjects));
  discardPartialSnapshot(R);
  return Newer;
}

void discardPartialSnapshot(ConfigReceiver &R) {
  R.ReceivedObjects = Configuration{};
  R.NextPart = 0;
}

} // namespace jasminearch::control
