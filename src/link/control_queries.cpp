#include "jasminearch/link/control_queries.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/link/control_client_logic.h"
#include <array>

namespace jasminearch::link {
namespace {

using nlohmann::json;

bool isSilent(const ServerState &S, const std::string &Name, TimePoint Now) {
  const auto Found = S.Daemons.find(Name);
  return Found == S.Daemons.end() ||
         Now - Found->second.LastHeard > SilenceLimit;
}

std::uint64_t applied(const ServerState &S, const std::string &Name) {
  const auto Found = S.Daemons.find(Name);
  return Found == S.Daemons.end() ? 0 : Found->second.InForce.Number;
}

/// \returns the names of all registered daemons.
std::vector<std::string> registered(const control::Configuration &Config) {
  std::vector<std::string> Names;
  for (const auto &[Id, U] : Config.Upstreams)
    if (U.Phase != control::UpstreamPhase::Lost)
      Names.push_back(U.Name);
  for (const auto &[Name, E] : Config.Entries)
    if (E.Alive)
      Names.push_back(Name);
  return Names;
}

json upstreamCounts(const control::Configuration &Config) {
  constexpr std::array<const char *, 4> Phases{"cold", "active", "draining",
                                               "lost"};
  std::array<std::size_t, Phases.size()> Counts{};
  for (const auto &[Id, U] : Config.Upstreams)
    ++Counts.at(static_cast<std::size_t>(U.Phase));
  json Out = json::object();
  for (std::size_t I = 0; I < Phases.size(); ++I)
    Out[Phases.at(I)] = Counts.at(I);
  return Out;
}

json entryCounts(const control::Configuration &Config) {
  std::size_t Alive = 0;
  for (const auto &[Name, E] : Config.Entries)
    Alive += E.Alive ? 1 : 0;
  return {{"alive", Alive}, {"lost", Config.Entries.size() - Alive}};
}

json status(const ServerState &S, const ServerView &View) {
  const control::Configuration &Config = S.Current.Config;
  using std::chrono::milliseconds;
  return {{"host", S.Options.Name},
          {"leader", View.Leader.value_or("")},
          {"revision", Config.InForce.Number},
          {"quorum_age_ms",
           std::chrono::duration_cast<milliseconds>(View.QuorumAge).count()},
          {"profiles", Config.Profiles.size()},
          {"services", Config.Services.size()},
          {"upstreams", upstreamCounts(Config)},
          {"entries", entryCounts(Config)},
          {"silent", silentDaemons(S, View.Now)}};
}

template <typename Map> json listOf(const Map &Objects) {
  json Out = json::array();
  for (const auto &[Id, Value] : Objects)
    Out.push_back(Value);
  return Out;
}

/// As listOf(), with what the leader knows of each daemon.
template <typename Map>
json listOfDaemons(const ServerState &S, const Map &Objects, TimePoint Now) {
  json Out = json::array();
  for (const auto &[Id, Value] : Objects) {
    json One = Value;
    One["silent"] = isSilent(S, Value.Name, Now);
    One["applied"] = applied(S, Value.Name);
    Out.push_back(std::move(One));
  }
  return Out;
}

json members(const ServerView &View) {
  json Out = json::array();
  for (const consensus::Member &M : View.Members)
    Out.push_back(
        {{"host", M.Host}, {"storage_id", M.StorageId}, {"voter", M.Voter}});
  return Out;
}

json whereInForce(const ServerState &S, Revision At, TimePoint Now) {
  const control::Configuration &Config = S.Current.Config;
  const Revision Wanted = At.Number == 0 ? Config.InForce : At;
  bool Everywhere = true;
  json Hosts = json::array();
  for (const std::string &Name : registered(Config)) {
    const std::uint64_t Has = applied(S, Name);
    const bool InForce = Has >= Wanted.Number && !isSilent(S, Name, Now);
    Everywhere = Everywhere && InForce;
    Hosts.push_back({{"name", Name}, {"applied", Has}, {"in_force", InForce}});
  }
  return {{"revision", Wanted.Number},
          {"everywhere", Everywhere},
          {"hosts", std::move(Hosts)},
          {"silent", silentDaemons(S, Now)}};
}

} // namespace

std::vector<std::string> silentDaemons(const ServerState &S, TimePoint Now) {
  std::vector<std::string> Silent;
  for (std::string &Name : registered(S.Current.Config))
    if (isSilent(S, Name, Now))
      Silent.push_back(std::move(Name));
  return Silent;
}

json answer(const ServerState &S, const Query &Ask, const ServerView &View) {
  const control::Configuration &Config = S.Current.Config;
  switch (Ask.Kind) {
  case QueryKind::Status:
    return status(S, View);
  case QueryKind::Profiles:
    return listOf(Config.Profiles);
  case QueryKind::Services:
    return listOf(Config.Services);
  case QueryKind::Upstreams:
    return listOfDaemons(S, Config.Upstreams, View.Now);
  case QueryKind::Entries:
    return listOfDaemons(S, Config.Entries, View.Now);
  case QueryKind::Members:
    return members(View);
  case QueryKind::InForce:
    return whereInForce(S, Ask.At, View.Now);
  case QueryKind::Outcomes:
    return control::summarizeOutcomes(S.Reports, Config, View.Now);
  case QueryKind::Burn:
    break;
  }
  return control::makeBurnReport(S.History, S.Reports, Config, View.Now,
                                 View.Wall);
}

} // namespace jasminearch::link
