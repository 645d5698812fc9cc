#include "jasminearch/fleet/fleet_client.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

namespace {

/// A control host that has shown no recent quorum for this long is left for
/// another one: it may be cut off from the others.
constexpr std::chrono::milliseconds QuorumPatience{1500};

} // namespace

FleetClient::FleetClient(FleetClientOptions Given, const Clock &Time,
                         FleetClientHandlers Handlers)
    : Options(std::move(Given)), Time(Time), Handlers(std::move(Handlers)) {
  setSeeds(Options.Seeds);
  if (!Hosts.empty())
    NextHost = Options.Seed % Hosts.size();
}

link::LinkHandlers FleetClient::linkHandlers() {
  link::LinkHandlers H;
  H.Opened = [this](link::LinkId Id, bool) { opened(Id); };
  H.Received = [this](link::LinkId Id, const Bytes &Message) {
    received(Id, Message);
  };
  H.Closed = [this](link::LinkId Id) { closed(Id); };
  return H;
}

void FleetClient::setSeeds(std::vector<std::string> Seeds) {
  Options.Seeds = std::move(Seeds);
  learn(Options.Seeds);
}

/// Control hosts that are listed no more are kept only if they are seeds.
void FleetClient::learn(const std::vector<std::string> &Listed) {
  std::vector<std::string> Known = Options.Seeds;
  for (const std::string &Host : Listed)
    if (std::find(Known.begin(), Known.end(), Host) == Known.end() &&
        Known.size() < MaxKnownControlHosts)
      Known.push_back(Host);
  Hosts = std::move(Known);
}

void FleetClient::opened(link::LinkId Id) {
  if (Link != Id)
    return Hub->close(Id);
  const TimePoint Now = Time.now();
  Open = true;
  Pause = RedialPause;
  HeardAt = QuorumAt = Now;
  StatusDue = Now + StatusInterval;
  Hub->send(
      Id, encode(Hello{Options.Own, Options.Host, Options.Tunnel, version()}));
  logEvent(LogLevel::Info, "control_linked",
           {{"control", LinkedTo}, {"version", version()}});
}

void FleetClient::closed(link::LinkId Id) {
  if (Link != Id)
    return;
  logEvent(LogLevel::Warning, "control_lost",
           {{"control", LinkedTo}, {"reason", std::string("link closed")}});
  Link.reset();
  DialDue = Time.now() + Pause;
  Pause = std::min<std::chrono::milliseconds>(2 * Pause, RedialPauseMax);
  Open = false;
}

void FleetClient::hangUp(std::string_view Reason) {
  logEvent(LogLevel::Warning, "control_lost",
           {{"control", LinkedTo}, {"reason", std::string(Reason)}});
  const link::LinkId Id = *Link;
  Link.reset();
  Open = false;
  DialDue = TimePoint{};
  Hub->close(Id);
}

void FleetClient::received(link::LinkId Id, const Bytes &Encoded) {
  if (Link != Id)
    return;
  const TimePoint Now = Time.now();
  HeardAt = Now;
  auto Decoded = decode(Encoded);
  if (!Decoded) {
    logError("message_unreadable", Decoded.error());
    return;
  }
  if (const auto *M = std::get_if<Status>(&*Decoded)) {
    if (M->QuorumAge >= QuorumFresh)
      return;
    QuorumAt = Now;
    // The control host's version is what it would send; ours is as new.
    QuorumSeen = QuorumSeen || M->RoutesVersion <= version();
  } else if (const auto *M = std::get_if<ControlHosts>(&*Decoded)) {
    learn(M->Hosts);
  } else if (const auto *M = std::get_if<Agents>(&*Decoded)) {
    Listed = Listed || M->Complete;
    std::vector<Endpoint> Known;
    for (const AgentRecord &R : M->Known)
      Known.push_back(R.Tunnel);
    if (Handlers.AgentListReceived)
      Handlers.AgentListReceived(Known, M->Complete);
  } else if (const auto *M = std::get_if<Left>(&*Decoded)) {
    if (Handlers.AgentLeft)
      Handlers.AgentLeft(M->Tunnel);
  } else if (auto *M = std::get_if<fleet::Routes>(&*Decoded)) {
    if (M->Table.Version <= version())
      return;
    Routes = std::make_shared<const flow::RouteIndex>(std::move(M->Table));
    QuorumSeen = true;
    logEvent(LogLevel::Info, "routes_in_force",
             {{"version", version()}, {"control", LinkedTo}});
    if (Handlers.RoutesChanged)
      Handlers.RoutesChanged(Routes);
  }
}

void FleetClient::leave() {
  if (Open)
    Hub->send(*Link, encode(Left{Options.Tunnel}));
  Leaving = true;
}

void FleetClient::dial(TimePoint Now) {
  if (Hosts.empty())
    return;
  LinkedTo = Hosts[NextHost++ % Hosts.size()];
  HeardAt = Now;
  Open = false;
  Link = Hub->connect(LinkedTo, Options.LinkPort);
}

void FleetClient::tick() {
  if (Leaving)
    return;
  const TimePoint Now = Time.now();
  if (!Link) {
    if (Now >= DialDue)
      dial(Now);
    return;
  }
  if (!Open) {
    if (Now - HeardAt >= DialLimit)
      hangUp("no answer");
    return;
  }
  if (Now - HeardAt >= LinkSilent)
    return hangUp("silent");
  if (Now - QuorumAt >= QuorumPatience)
    return hangUp("no recent quorum");
  if (Now < StatusDue)
    return;
  StatusDue = Now + StatusInterval;
  Hub->send(*Link, encode(Status{{}, version()}));
}

} // namespace jasminearch::fleet
