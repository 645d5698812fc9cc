#include "jasminearch/control/query_documents.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/routing/bucket_table.h"
#include <algorithm>

namespace jasminearch::control {

using nlohmann::json;

namespace {

template <typename Map> json listOf(const Map &Objects) {
  json List = json::array();
  for (const auto &[Key, Value] : Objects)
    List.push_back(Value);
  return List;
}

json hostState(const std::string &Host, Revision Wanted,
               const std::map<std::string, Revision> &Applied) {
  const auto At = Applied.find(Host);
  if (At == Applied.end())
    return {{"host", Host}, {"in_force", nullptr}, {"state", "can't tell"}};
  return {{"host", Host},
          {"in_force", At->second.Number},
          {"state", At->second >= Wanted ? "in force" : "behind"}};
}

} // namespace

const char *name(UpstreamPhase Phase) {
  switch (Phase) {
  case UpstreamPhase::Cold:
    return "cold";
  case UpstreamPhase::Active:
    return "active";
  case UpstreamPhase::Draining:
    return "draining";
  case UpstreamPhase::Lost:
    return "lost";
  }
  return "unknown phase";
}

json profilesDocument(const Configuration &Config) {
  return {{"revision", Config.InForce.Number},
          {"profiles", listOf(Config.Profiles)}};
}

json servicesDocument(const Configuration &Config) {
  return {{"revision", Config.InForce.Number},
          {"services", listOf(Config.Services)}};
}

json upstreamsDocument(const Configuration &Config) {
  json Buckets = json::object();
  for (const auto &[Id, Table] : Config.Tables)
    for (const auto &[Owner, Count] : routing::bucketsByOwner(Table))
      Buckets[std::to_string(Owner.Number)] = Count;
  Buckets.erase("0");
  return {{"revision", Config.InForce.Number},
          {"upstreams", listOf(Config.Upstreams)},
          {"services", listOf(Config.Services)},
          {"buckets", std::move(Buckets)}};
}

json entriesDocument(const Configuration &Config) {
  return {{"revision", Config.InForce.Number},
          {"entries", listOf(Config.Entries)}};
}

json membersDocument(Revision At, const std::vector<MemberStatus> &Members) {
  json List = json::array();
  for (const MemberStatus &M : Members)
    List.push_back({{"host", M.Host},
                    {"storage_id", M.StorageId},
                    {"voter", M.Voter},
                    {"leader", M.Leader}});
  return {{"revision", At.Number}, {"members", std::move(List)}};
}

json inForceDocument(const Configuration &Config, Revision Wanted,
                     const std::map<std::string, Revision> &Applied) {
  const Revision Target = Wanted.Number == 0 ? Config.InForce : Wanted;
  json Hosts = json::array();
  for (const auto &[Name, Entry] : Config.Entries)
    if (Entry.Alive)
      Hosts.push_back(hostState(Name, Target, Applied));
  for (const auto &[Id, U] : Config.Upstreams)
    if (U.Phase != UpstreamPhase::Lost)
      Hosts.push_back(hostState(U.Name, Target, Applied));
  const bool Everywhere =
      Target <= Config.InForce &&
      std::all_of(Hosts.begin(), Hosts.end(), [](const json &Host) {
        return Host.at("state") == "in force";
      });
  return {{"revision", Config.InForce.Number},
          {"wanted", Target.Number},
          {"everywhere", Everywhere},
          {"hosts", std::move(Hosts)}};
}

json statusDocument(const Configuration &Config, const std::string &Leader,
                    std::chrono::milliseconds QuorumAge,
                    std::size_t LinkedHosts) {
  json Phases = json::object();
  for (const auto &[Id, U] : Config.Upstreams) {
    json &Count = Phases[name(U.Phase)];
    Count = Count.is_null() ? 1 : Count.get<std::size_t>() + 1;
  }
  const auto Entries = std::count_if(
      Config.Entries.begin(), Config.Entries.end(),
      [](const auto &NameAndEntry) { return NameAndEntry.second.Alive; });
  return {{"revision", Config.InForce.Number},
          {"leader", Leader},
          {"quorum_age_ms", QuorumAge.count()},
          {"profiles", Config.Profiles.size()},
          {"services", Config.Services.size()},
          {"upstreams", std::move(Phases)},
          {"entries", Entries},
          {"linked_hosts", LinkedHosts}};
}

} // namespace jasminearch::control
