#include "jasminearch/link/control_queries.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/link/control_client_logic.h"
#include <array>

namespace jasminearch::link {
namespace {

using nlohmann::json;

bool isSilent(const ServerState &State, const std::string &Name,
              TimePoint Now) {
  const auto Found = State.Daemons.find(Name);
  return Found == State.Daemons.end() ||
         Now - Found->second.LastHeard > SilenceTimeout;
}

std::uint64_t appliedRevision(const ServerState &State,
                              const std::string &Name) {
  const auto Found = State.Daemons.find(Name);
  return Found == State.Daemons.end() ? 0 : Found->second.InForce.Number;
}

/// \returns the names of all registered daemons.
std::vector<std::string> registeredNames(const control::Configuration &Config) {
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

json status(const ServerState &State, const ServerView &View) {
  const control::Configuration &Config = State.Current.Config;
  using std::chrono::milliseconds;
  return {{"host", State.Options.Name},
          {"leader", View.Leader.value_or("")},
          {"revision", Config.InForce.Number},
          {"quorum_age_ms",
           std::chrono::duration_cast<milliseconds>(View.QuorumAge).count()},
          {"profiles", Config.Profiles.size()},
          {"services", Config.Services.size()},
          {"upstreams", upstreamCounts(Config)},
          {"entries", entryCounts(Config)},
          {"silent", silentDaemons(State, View.Now)}};
}

template <typename Map> json listObjects(const Map &Objects) {
  json Out = json::array();
  for (const auto &[Id, Value] : Objects)
    Out.push_back(Value);
  return Out;
}

/// Like listObjects(), but adds what the leader knows about each daemon.
template <typename Map>
json listDaemons(const ServerState &State, const Map &Objects, TimePoint Now) {
  json Out = json::array();
  for (const auto &[Id, Value] : Objects) {
    json Object = Value;
    Object["silent"] = isSilent(State, Value.Name, Now);
    Object["applied"] = appliedRevision(State, Value.Name);
    Out.push_back(std::move(Object));
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

json inForceReport(const ServerState &State, Revision At, TimePoint Now) {
  const control::Configuration &Config = State.Current.Config;
  const Revision Wanted = At.Number == 0 ? Config.InForce : At;
  bool Everywhere = true;
  json Hosts = json::array();
  for (const std::string &Name : registeredNames(Config)) {
    const std::uint64_t Applied = appliedRevision(State, Name);
    const bool InForce =
        Applied >= Wanted.Number && !isSilent(State, Name, Now);
    Everywhere = Everywhere && InForce;
    Hosts.push_back(
        {{"name", Name}, {"applied", Applied}, {"in_force", InForce}});
  }
  return {{"revision", Wanted.Number},
          {"everywhere", Everywhere},
          {"hosts", std::move(Hosts)},
          {"silent", silentDaemons(State, Now)}};
}

} // namespace

std::vector<std::string> silentDaemons(const ServerState &State,
                                       TimePoint Now) {
  std::vector<std::string> Silent;
  for (std::string &Name : registeredNames(State.Current.Config))
    if (isSilent(State, Name, Now))
      Silent.push_back(std::move(Name));
  return Silent;
}

json answerQuery(const ServerState &State, const Query &Request,
                 const ServerView &View) {
  const control::Configuration &Config = State.Current.Config;
  switch (Request.Kind) {
  case QueryKind::Status:
    return status(State, View);
  case QueryKind::Profiles:
    return listObjects(Config.Profiles);
  case QueryKind::Services:
    return listObjects(Config.Services);
  case QueryKind::Upstreams:
    return listDaemons(State, Config.Upstreams, View.Now);
  case QueryKind::Entries:
    return listDaemons(State, Config.Entries, View.Now);
  case QueryKind::Members:
    return members(View);
  case QueryKind::InForce:
    return inForceReport(State, Request.At, View.Now);
  case QueryKind::Outcomes:
    return control::summarizeOutcomes(State.Reports, Config, View.Now);
  case QueryKind::Burn:
    break;
  }
  return control::makeBurnReport(State.History, State.Reports, Config, View.Now,
                                 View.Wall);
}

} // namespace jasminearch::link
