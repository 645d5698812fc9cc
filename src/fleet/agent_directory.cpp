#include "jasminearch/fleet/agent_directory.h"
#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace jasminearch::fleet {

namespace {

std::uint64_t hashOf(const AgentRecord &R) {
  const std::array<std::uint64_t, 4> Fields = {
      std::uint64_t{R.Tunnel.Address} << 16U | R.Tunnel.Port, R.Incarnation,
      R.RunId, R.Number};
  return XXH3_64bits(Fields.data(), sizeof(Fields));
}

bool isShared(const DirectoryEntry &E) {
  return E.Confirmed && !E.Record.Departed;
}

/// Adds the entry's record to its bucket's hash, or removes it: both are the
/// same operation.
void toggleHash(AgentDirectory &D, const DirectoryEntry &E) {
  if (isShared(E))
    D.Hashes[bucketOf(E.Record.Tunnel)] ^= hashOf(E.Record);
}

bool inMask(const Endpoint &Tunnel, std::uint64_t Mask) {
  return (Mask >> bucketOf(Tunnel) & 1U) != 0;
}

} // namespace

bool supersedes(const AgentRecord &A, const AgentRecord &B) {
  return std::tie(A.Incarnation, A.RunId, A.Number, A.Departed) >
         std::tie(B.Incarnation, B.RunId, B.Number, B.Departed);
}

MergeResult merge(AgentDirectory &D, const AgentRecord &Record, bool Confirmed,
                  TimePoint Now) {
  const auto [It, New] =
      D.Entries.try_emplace(Record.Tunnel, DirectoryEntry{Record, Now, false});
  DirectoryEntry &E = It->second;
  if (!New && supersedes(E.Record, Record))
    return MergeResult::Superseded;
  const bool Same = !New && !supersedes(Record, E.Record);
  if (Same && (E.Confirmed || !Confirmed))
    return MergeResult::Unchanged;
  toggleHash(D, E);
  D.Departures -= !New && E.Record.Departed ? 1 : 0;
  D.Departures += Record.Departed ? 1 : 0;
  E = {Record, Now, Confirmed};
  toggleHash(D, E);
  return Same ? MergeResult::Unchanged : MergeResult::Changed;
}

void touch(AgentDirectory &D, const Endpoint &Tunnel, TimePoint Now) {
  if (const auto It = D.Entries.find(Tunnel); It != D.Entries.end())
    It->second.HeardAt = std::max(It->second.HeardAt, Now);
}

const DirectoryEntry *find(const AgentDirectory &D, const Endpoint &Tunnel) {
  const auto It = D.Entries.find(Tunnel);
  return It == D.Entries.end() ? nullptr : &It->second;
}

std::size_t presentAgents(const AgentDirectory &D) {
  return D.Entries.size() - D.Departures;
}

std::size_t bucketOf(const Endpoint &Tunnel) {
  const std::uint64_t Key = std::uint64_t{Tunnel.Address} << 16U | Tunnel.Port;
  return XXH3_64bits(&Key, sizeof(Key)) % DirectoryBucketCount;
}

std::uint64_t combinedHash(const AgentDirectory &D) {
  return XXH3_64bits(D.Hashes.data(), sizeof(D.Hashes));
}

std::uint64_t differingBuckets(const AgentDirectory &D,
                               const DirectoryHashes &Other) {
  std::uint64_t Mask = 0;
  for (std::size_t I = 0; I < DirectoryBucketCount; ++I)
    if (D.Hashes[I] != Other[I])
      Mask |= std::uint64_t{1} << I;
  return Mask;
}

std::vector<AgentRecord> recordsIn(const AgentDirectory &D,
                                   std::uint64_t Mask) {
  std::vector<AgentRecord> Found;
  for (const auto &[Tunnel, E] : D.Entries)
    if (isShared(E) && inMask(Tunnel, Mask))
      Found.push_back(E.Record);
  return Found;
}

std::vector<AgentRecord> newerThan(const AgentDirectory &D,
                                   const std::vector<AgentRecord> &Theirs,
                                   std::uint64_t Mask) {
  std::vector<AgentRecord> Found;
  std::set<Endpoint> Listed;
  for (const AgentRecord &R : Theirs) {
    Listed.insert(R.Tunnel);
    if (const DirectoryEntry *E = find(D, R.Tunnel);
        E && supersedes(E->Record, R))
      Found.push_back(E->Record);
  }
  if (Mask == 0)
    return Found;
  for (const AgentRecord &R : recordsIn(D, Mask))
    if (!Listed.contains(R.Tunnel))
      Found.push_back(R);
  return Found;
}

void forgetDepartures(AgentDirectory &D, TimePoint Now) {
  const auto Forget = [&D](const auto &Excess) {
    D.Departures -= std::erase_if(D.Entries, [&Excess](const auto &Item) {
      return Item.second.Record.Departed && Excess(Item.second);
    });
  };
  if (D.Departures == 0)
    return;
  Forget([Now](const DirectoryEntry &E) {
    return Now - E.HeardAt >= DepartureLifetime;
  });
  if (D.Departures <= MaxDepartures)
    return;
  std::vector<TimePoint> Times;
  for (const auto &[Tunnel, E] : D.Entries)
    if (E.Record.Departed)
      Times.push_back(E.HeardAt);
  const auto Kept = Times.end() - static_cast<std::ptrdiff_t>(MaxDepartures);
  std::nth_element(Times.begin(), Kept, Times.end());
  Forget(
      [Oldest = *Kept](const DirectoryEntry &E) { return E.HeardAt < Oldest; });
}

} // namespace jasminearch::fleet
