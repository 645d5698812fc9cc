#include "jasminearch/fleet/control_node.h"
#include "jasminearch/log.h"
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void logRecord(std::string_view Event, const AgentRecord &R) {
  logEvent(LogLevel::Info, Event,
           {{"agent", toString(R.Tunnel)},
            {"service_tag", std::uint64_t{R.ServiceTag}},
            {"incarnation", R.Incarnation},
            {"number", R.Number},
            {"control", R.ControlHost}});
}

} // namespace

// Statements of agents --------------------------------------------------------

void ControlNode::handleAgentStatement(link::LinkId Id, IncomingLink &L,
                                       const Agents &Value) {
  for (AgentRecord R : Value.Records) {
    if (R.Tunnel != L.From.Tunnel)
      continue;
    R.ControlHost = Options.Host;
    // An agent that has just restarted doesn't know its upstream's service yet;
    // mostly it is the one of before.
    const DirectoryEntry *Held = find(Directory, R.Tunnel);
    if (Held && !Held->Record.Departed && R.ServiceTag == 0)
      R.ServiceTag = Held->Record.ServiceTag;
    if (!L.Statement)
      recordEarlierRuns(L, R);
    L.Statement = std::move(R);
    confirmStatement(Id, L);
    // Acknowledges the departure.
    if (L.Statement->Departed)
      send(Id, Agents{{*L.Statement}});
  }
}

void ControlNode::recordEarlierRuns(IncomingLink &L,
                                    const AgentRecord &Stated) const {
  const DirectoryEntry *Held = find(Directory, Stated.Tunnel);
  // The record of this run has replaced those of earlier ones, or they haven't
  // arrived yet.
  if (Held ? Held->Record.RunId == Stated.RunId : !directoryComplete())
    return;
  L.Earlier.emplace();
  if (Held && Held->Confirmed)
    L.Earlier->HeardAt = lastHeard(*Held);
}

void ControlNode::sendEarlierRuns(link::LinkId Id, IncomingLink &L,
                                  TimePoint Now) {
  if (!L.Earlier || L.Earlier->Sent)
    return;
  L.Earlier->Sent = true;
  EarlierRuns Known;
  if (L.Earlier->HeardAt)
    Known.HeardAge = duration_cast<milliseconds>(Now - *L.Earlier->HeardAt);
  send(Id, Known);
}

void ControlNode::confirmStatement(link::LinkId Id, const IncomingLink &L) {
  if (!L.Statement)
    return;
  const AgentRecord Stated = *L.Statement;
  switch (mergeRecord(Stated, RecordSource::ThisHost)) {
  case MergeResult::Superseded:
    // The agent answers with a record that supersedes the one held.
    return send(Id, Agents{{find(Directory, Stated.Tunnel)->Record}});
  case MergeResult::Unchanged:
  case MergeResult::Changed:
    touch(Directory, Stated.Tunnel, Time.now());
  }
}

MergeResult ControlNode::mergeRecord(const AgentRecord &Record,
                                     RecordSource Source) {
  const DirectoryEntry *Held = find(Directory, Record.Tunnel);
  // A departure that follows another one changes no list: after a loss of power
  // agents without an upstream report theirs again.
  const bool ListingChanged =
      !Held || Held->Record.Departed != Record.Departed ||
      (!Record.Departed && Held->Record.ServiceTag != Record.ServiceTag);
  const bool FirstDeparture = !Held && Record.Departed;
  const MergeResult Result = merge(Directory, Record, true, Time.now());
  if (Result == MergeResult::Superseded)
    ++Counters.Superseded;
  if (Result != MergeResult::Changed)
    return Result;
  ++Counters.Changes;
  DirectoryChanged = true;
  if (Record.Departed)
    AgentStoreDue = Time.now();
  if (ListingChanged) {
    if (!FirstDeparture)
      logRecord(Record.Departed ? "agent_left" : "agent_known", Record);
    sendToEntryHosts(encode(Agents{{Record}}));
    if (Source == RecordSource::ThisHost)
      publish(Record);
  }
  // An agent that is linked here and didn't make this record has to supersede
  // it.
  if (const auto Link = AgentLinks.find(Record.Tunnel);
      Link != AgentLinks.end() &&
      IncomingLinks.at(Link->second).Statement != Record)
    send(Link->second, Agents{{Record}});
  return Result;
}

void ControlNode::publish(const AgentRecord &Record) {
  for (const auto &[Host, P] : Peers)
    if (P.Open)
      sendDirectoryMessage(*P.Link, Agents{{Record}});
}

// Other control hosts ---------------------------------------------------------

void ControlNode::handleDirectoryMessage(link::LinkId Id,
                                         const Message &Value) {
  if (const auto *M = std::get_if<Agents>(&Value))
    handleRecords(Id, *M);
  else if (const auto *M = std::get_if<DirectoryDigest>(&Value))
    handleDigest(Id, *M);
  else if (const auto *M = std::get_if<DirectoryBuckets>(&Value))
    handleBuckets(Id, *M);
  else
    return;
  ++Counters.Received;
}

void ControlNode::handleRecords(link::LinkId Id, const Agents &Value) {
  for (const AgentRecord &R : Value.Records)
    mergeRecord(R, RecordSource::ControlHost);
  if (Value.Complete && !DirectoryReceived) {
    DirectoryReceived = true;
    sendAgentLists(Time.now());
  }
  const auto Newer = newerThan(Directory, Value.Records, Value.Buckets);
  if (!Newer.empty() || Value.Buckets != 0)
    sendDirectoryMessage(
        Id, Agents{Newer, Value.Buckets != 0 && directoryComplete()});
}

void ControlNode::handleDigest(link::LinkId Id, const DirectoryDigest &Value) {
  recordBeats(Value.Beats, Time.now());
  if (Value.Hash != combinedHash(Directory))
    return sendDirectoryMessage(Id, DirectoryBuckets{Directory.Hashes});
  if (Value.Complete && !DirectoryReceived) {
    DirectoryReceived = true;
    sendAgentLists(Time.now());
  }
}

void ControlNode::handleBuckets(link::LinkId Id,
                                const DirectoryBuckets &Value) {
  const std::uint64_t Mask = differingBuckets(Directory, Value.Hashes);
  if (Mask != 0)
    sendDirectoryMessage(
        Id, Agents{recordsIn(Directory, Mask), directoryComplete(), Mask});
}

void ControlNode::sendDirectoryMessage(link::LinkId Id, const Message &Value) {
  ++Counters.Sent;
  send(Id, Value);
}

DirectoryDigest ControlNode::digest(const std::string &Receiver,
                                    TimePoint Now) const {
  DirectoryDigest M{combinedHash(Directory), directoryComplete(), {}};
  M.Beats.push_back({Options.Host, OwnBeat});
  for (const auto &[Host, B] : Beats) {
    const bool Runs = B.IncreasedAt && Now - *B.IncreasedAt < HostBeatLifetime;
    // A host that has restarted continues above its earlier count.
    if (Runs || Host == Receiver)
      M.Beats.push_back({Host, B.Count});
  }
  return M;
}

void ControlNode::sendDigests(TimePoint Now) {
  ++OwnBeat;
  std::erase_if(Beats, [Now](const auto &Item) {
    return Now - Item.second.KnownAt >= HostBeatLifetime;
  });
  for (const auto &[Host, P] : Peers)
    if (P.Open)
      sendDirectoryMessage(*P.Link, digest(Host, Now));
}

void ControlNode::recordBeats(const std::vector<HostBeat> &Received,
                              TimePoint Now) {
  for (const HostBeat &Beat : Received) {
    if (Beat.Host == Options.Host) {
      OwnBeat = std::max(OwnBeat, Beat.Count);
      continue;
    }
    const auto [It, New] = Beats.try_emplace(Beat.Host);
    KnownBeat &Known = It->second;
    if (New)
      Known = {Beat.Count, Now, std::nullopt};
    else if (Beat.Count > Known.Count)
      Known = {Beat.Count, Now, Now};
  }
}

// Silence ---------------------------------------------------------------------

TimePoint ControlNode::lastHeard(const DirectoryEntry &Entry) const {
  const auto Beat = Beats.find(Entry.Record.ControlHost);
  if (!Entry.Confirmed || Beat == Beats.end() || !Beat->second.IncreasedAt)
    return Entry.HeardAt;
  return std::max(Entry.HeardAt, *Beat->second.IncreasedAt);
}

/// Declares agents departed that nobody has heard from for too long.
void ControlNode::removeSilentAgents(TimePoint Now) {
  if (!hasRecentQuorum()) {
    QuorumSince.reset();
    return;
  }
  if (!QuorumSince)
    QuorumSince = Now;
  std::vector<AgentRecord> Silent;
  for (const auto &[Tunnel, Entry] : Directory.Entries) {
    if (Entry.Record.Departed)
      continue;
    const milliseconds Lifetime =
        Entry.Confirmed ? AgentRecordLifetime : StoredAgentLifetime;
    const TimePoint HeardAt = lastHeard(Entry);
    if (Now - std::max(HeardAt, *QuorumSince) < Lifetime)
      continue;
    logEvent(
        LogLevel::Warning, "agent_silent",
        {{"agent", toString(Tunnel)},
         {"silent_ms",
          std::int64_t{duration_cast<milliseconds>(Now - HeardAt).count()}},
         {"stored", !Entry.Confirmed}});
    Silent.push_back(Entry.Record);
  }
  for (AgentRecord &R : Silent) {
    R.Departed = true;
    // The other hosts find out about agents of a lost control host themselves.
    mergeRecord(R, R.ControlHost == Options.Host ? RecordSource::ThisHost
                                                 : RecordSource::ControlHost);
  }
}

// Lists and store -------------------------------------------------------------

bool ControlNode::directoryComplete() const {
  return DirectoryReceived || Time.now() - StartedAt >= AgentListGracePeriod;
}

Agents ControlNode::allAgents() const {
  Agents All;
  All.Complete = directoryComplete();
  for (const auto &[Tunnel, Entry] : Directory.Entries)
    All.Records.push_back(Entry.Record);
  return All;
}

void ControlNode::sendAgentList(link::LinkId Id, IncomingLink &L,
                                TimePoint Now) {
  const Agents All = allAgents();
  // An incomplete list is followed by a complete one after the grace period.
  L.AgentListDue = Now + (All.Complete ? AgentListInterval
                                       : milliseconds(AgentListGracePeriod));
  send(Id, All);
}

void ControlNode::sendAgentLists(TimePoint Now) {
  for (auto &[Id, L] : IncomingLinks)
    if (L.HelloReceived && L.From.Sender == Role::Entry)
      sendAgentList(Id, L, Now);
}

void ControlNode::sendToEntryHosts(const Bytes &Encoded) {
  if (!Hub)
    return;
  for (const auto &[Id, L] : IncomingLinks)
    if (L.HelloReceived && L.From.Sender == Role::Entry)
      Hub->send(Id, Encoded);
}

void ControlNode::loadAgents() {
  const auto Stored = Store.Load();
  if (!Stored)
    return logError("agents_unreadable", Stored.error());
  if (Stored->empty())
    return;
  const auto Decoded = decode(*Stored);
  const auto *Known = Decoded ? std::get_if<Agents>(&*Decoded) : nullptr;
  if (!Known) {
    logError("agents_unreadable", Decoded ? Error{ErrorCode::MessageUnknownType,
                                                  "not a list of agents"}
                                          : Decoded.error());
    return;
  }
  // The age of stored records is unknown, so each agent gets the full lifetime
  // to be heard from again.
  for (const AgentRecord &R : Known->Records)
    merge(Directory, R, false, Time.now());
  DirectoryReceived = true;
  logEvent(LogLevel::Info, "agents_loaded",
           {{"agents", std::uint64_t{presentAgents(Directory)}}});
}

void ControlNode::saveAgents() {
  if (!DirectoryChanged)
    return;
  // A full disk may have room the next time.
  if (const auto Saved = Store.Save(encode(allAgents())); !Saved)
    return logError("agents_unsaved", Saved.error());
  DirectoryChanged = false;
}

} // namespace jasminearch::fleet
