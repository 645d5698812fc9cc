#include "jasminearch/fleet/fleet_client.h"
#include "jasminearch/fleet/evacuation.h"
#include "jasminearch/log.h"
#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

namespace {

/// If a control host reports no recent quorum for this long, the client moves
/// to another one: it may be cut off from the others.
constexpr std::chrono::milliseconds NoQuorumTimeout{1500};

} // namespace

FleetClient::FleetClient(FleetClientOptions InitialOptions, const Clock &Time,
                         FleetClientHandlers Handlers)
    : Options(std::move(InitialOptions)), Time(Time),
      Handlers(std::move(Handlers)) {
  Own.Tunnel = Options.Tunnel;
  Own.RunId = Options.RunId;
  Own.Incarnation = 1;
  Own.DataCentre = Options.DataCentre;
  Own.Region = Options.Region;
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
  updateHosts(Options.Seeds);
}

/// Replaces the known control hosts by the seeds and those listed.
void FleetClient::updateHosts(const std::vector<std::string> &ListedHosts) {
  std::vector<std::string> Known = Options.Seeds;
  for (const std::string &Host : ListedHosts)
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
  ReconnectDelay = MinReconnectDelay;
  HeardAt = QuorumAt = Now;
  const std::uint64_t Held =
      Options.Own == Role::Agent ? LimitsVersion : version();
  Hub->send(Id, encode(Hello{Options.Own, Options.Host, Options.Tunnel, Held}));
  if (Options.Own == Role::Agent)
    makeStatement();
  sendStatus(Now);
  logEvent(LogLevel::Info, "control_linked",
           {{"control", LinkedHost}, {"version", version()}});
}

void FleetClient::closed(link::LinkId Id) {
  if (Link != Id)
    return;
  logEvent(LogLevel::Warning, "control_lost",
           {{"control", LinkedHost}, {"reason", std::string("link closed")}});
  Link.reset();
  ConnectDue = Time.now() + ReconnectDelay;
  ReconnectDelay = std::min<std::chrono::milliseconds>(2 * ReconnectDelay,
                                                       MaxReconnectDelay);
  Open = false;
}

void FleetClient::disconnect(std::string_view Reason) {
  logEvent(LogLevel::Warning, "control_lost",
           {{"control", LinkedHost}, {"reason", std::string(Reason)}});
  const link::LinkId Id = *Link;
  Link.reset();
  Open = false;
  ConnectDue = TimePoint{};
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
  handleMessage(*Decoded, Now);
  Current = Current || (Routes && AgentListComplete && QuorumSeen &&
                        Evacuated.Number >= NamedEvacuations);
}

void FleetClient::handleMessage(Message &Value, TimePoint Now) {
  if (const auto *M = std::get_if<Status>(&Value)) {
    handleStatus(*M, Now);
  } else if (const auto *M = std::get_if<ControlHosts>(&Value)) {
    updateHosts(M->Hosts);
  } else if (const auto *M = std::get_if<Agents>(&Value)) {
    handleAgents(*M, Now);
  } else if (const auto *M = std::get_if<Evacuations>(&Value)) {
    handleEvacuations(*M, Now);
  } else if (const auto *M = std::get_if<ServiceLimits>(&Value)) {
    handleServiceLimits(*M);
  } else if (const auto *M = std::get_if<EarlierRuns>(&Value)) {
    if (Options.Own == Role::Agent && Handlers.EarlierRunsReported)
      Handlers.EarlierRunsReported(*M);
  } else if (auto *M = std::get_if<fleet::Routes>(&Value)) {
    if (M->Table.Version <= version())
      return;
    Routes = std::make_shared<const flow::RouteIndex>(std::move(M->Table));
    QuorumSeen = true;
    logEvent(LogLevel::Info, "routes_in_force",
             {{"version", version()}, {"control", LinkedHost}});
    if (Handlers.RoutesChanged)
      Handlers.RoutesChanged(Routes);
  }
}

void FleetClient::handleStatus(const Status &Value, TimePoint Now) {
  // Also from a control host without a quorum: what it names was committed, and
  // another one sends it.
  NamedEvacuations = std::max(NamedEvacuations, Value.EvacuationNumber);
  if (Value.QuorumAge >= MaxRecentQuorumAge)
    return;
  QuorumAt = Now;
  // The routes are current if the control host has no newer version to send.
  QuorumSeen = QuorumSeen || Value.RoutesVersion <= version();
}

void FleetClient::handleEvacuations(const Evacuations &Received,
                                    TimePoint Now) {
  if (!supersedes(Received, Evacuated))
    return;
  Evacuated = Received;
  logEvent(LogLevel::Info, "evacuation_in_force",
           {{"number", Evacuated.Number},
            {"data_centres", absl::StrJoin(Evacuated.DataCentres, ",")},
            {"control", LinkedHost}});
  if (Handlers.EvacuationsChanged)
    Handlers.EvacuationsChanged(Evacuated);
  if (Open)
    sendStatus(Now);
}

void FleetClient::handleServiceLimits(const ServiceLimits &Received) {
  if (Options.Own != Role::Agent || Received.RoutesVersion <= LimitsVersion)
    return;
  LimitsVersion = Received.RoutesVersion;
  logEvent(LogLevel::Info, "limits_in_force",
           {{"version", LimitsVersion},
            {"limits", std::uint64_t{Received.Limits.size()}},
            {"services", std::uint64_t{Received.Services.size()}},
            {"control", LinkedHost}});
  if (Handlers.ServiceLimitsChanged)
    Handlers.ServiceLimitsChanged(Received);
}

void FleetClient::handleAgents(const Agents &Received, TimePoint Now) {
  if (Options.Own == Role::Agent) {
    for (const AgentRecord &R : Received.Records)
      if (R.Tunnel == Own.Tunnel)
        compareWithOwn(R);
    return;
  }
  AgentListComplete = AgentListComplete || Received.Complete;
  Agents Listed{{}, Received.Complete};
  std::vector<Endpoint> Departed;
  for (const AgentRecord &R : Received.Records) {
    const DirectoryEntry *Known = find(Directory, R.Tunnel);
    const bool WasListed = Known && !Known->Record.Departed;
    const MergeResult Result = merge(Directory, R, true, Now);
    if (Result == MergeResult::Superseded)
      continue;
    if (!R.Departed)
      Listed.Records.push_back(R);
    else if (WasListed)
      Departed.push_back(R.Tunnel);
  }
  if (Handlers.AgentListReceived)
    Handlers.AgentListReceived(Listed);
  if (Handlers.AgentLeft)
    for (const Endpoint &Tunnel : Departed)
      Handlers.AgentLeft(Tunnel);
  forgetDepartures(Directory, Now);
}

void FleetClient::makeStatement() {
  ++Own.Number;
  Own.Departed = !Listed;
  DeparturePending = Own.Departed;
  if (Open)
    Hub->send(*Link, encode(Agents{{Own}}));
}

void FleetClient::compareWithOwn(const AgentRecord &Record) {
  if (supersedes(Own, Record))
    return;
  if (!supersedes(Record, Own)) {
    if (std::exchange(DeparturePending, false))
      disconnect("upstream is gone");
    return;
  }
  logEvent(LogLevel::Info, "statement_superseded",
           {{"incarnation", Record.Incarnation},
            {"number", Record.Number},
            {"own_incarnation", Own.Incarnation},
            {"own_number", Own.Number}});
  if (Record.Incarnation == Own.Incarnation && Record.RunId == Own.RunId)
    Own.Number = Record.Number;
  else
    Own.Incarnation = Record.Incarnation + 1;
  makeStatement();
}

void FleetClient::setListed(bool NewListed) {
  if (std::exchange(Listed, NewListed) == NewListed)
    return;
  // Control hosts know nothing of an agent that hasn't made a statement yet.
  if (Own.Number != 0)
    makeStatement();
  else if (!Listed && Link)
    disconnect("upstream is gone");
}

void FleetClient::reportMissingUpstream() {
  if (Own.Number == 0 && !Listed)
    makeStatement();
}

void FleetClient::connectToNextHost(TimePoint Now) {
  if (Hosts.empty())
    return;
  LinkedHost = Hosts[NextHost++ % Hosts.size()];
  HeardAt = Now;
  Open = false;
  Link = Hub->connect(LinkedHost, Options.LinkPort);
}

void FleetClient::tick() {
  const TimePoint Now = Time.now();
  if (!Link) {
    if ((Listed || DeparturePending) && Now >= ConnectDue)
      connectToNextHost(Now);
    return;
  }
  if (!Open) {
    if (Now - HeardAt >= ConnectTimeout)
      disconnect("no answer");
    return;
  }
  if (Now - HeardAt >= LinkSilenceTimeout)
    return disconnect("silent");
  if (Now - QuorumAt >= NoQuorumTimeout)
    return disconnect("no recent quorum");
  if (Now < StatusDue)
    return;
  sendStatus(Now);
}

void FleetClient::sendStatus(TimePoint Now) {
  StatusDue = Now + StatusInterval;
  Hub->send(*Link, encode(Status{{}, version(), Evacuated.Number}));
}

void FleetClient::setServiceTag(std::uint32_t Tag) {
  if (std::exchange(Own.ServiceTag, Tag) != Tag && Open)
    makeStatement();
}

} // namespace jasminearch::fleet
