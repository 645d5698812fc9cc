#ifndef JASMINEARCH_TESTS_LINK_CLUSTER_H
#define JASMINEARCH_TESTS_LINK_CLUSTER_H

#include "jasminearch/clock.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/link/control_client_logic.h"
#include "jasminearch/link/control_server.h"
#include "jasminearch/link/handshake.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Control hosts, daemons and operators over a fake network and a fake log with
/// a fake clock. The decisions under test are those that ship.
namespace jasminearch::link::testing {

inline const std::string Key = "a link key of the test cluster";

/// A daemon with its control client.
struct FakeDaemon {
  ClientState State;
  LinkId Link = 0;
  int Host = -1;
  /// Nothing passes on the present link any more, in either direction.
  bool Silent = false;
  std::vector<std::uint64_t> Revisions;
  std::vector<Announced> Confirmed;
  std::vector<Error> Troubles;
  unsigned Dials = 0;
};

/// A raw link, as jasminectl would open one.
struct FakeOperator {
  LinkId Link = 0;
  int Host = 0;
  std::vector<Message> Received;
  bool Closed = false;

  template <typename T> const T *last() const {
    for (auto It = Received.rbegin(); It != Received.rend(); ++It)
      if (const T *Found = std::get_if<T>(&*It))
        return Found;
    return nullptr;
  }
};

struct FakeCluster {
  ManualClock Time;
  std::vector<ServerState> Hosts;
  std::map<std::string, FakeDaemon> Daemons;
  std::map<LinkId, std::string> DaemonLinks;
  std::map<LinkId, FakeOperator *> OperatorLinks;
  /// Index of the leader, or -1.
  int Leader = 0;
  /// Hosts without a quorum; they neither lead nor see commits.
  std::set<int> Partitioned;
  /// Proposals wait in Held instead of being committed.
  bool HoldCommits = false;
  std::vector<control::Command> Held;
  std::vector<control::Command> Committed;
  std::uint64_t At = 0;
  LinkId LastLink = 0;

  static Endpoint address(int Host) {
    return {0x7F000001, static_cast<std::uint16_t>(1000 + Host)};
  }

  explicit FakeCluster(ServerLimits Limits = {}) {
    ServerOptions O;
    O.Cluster = "test";
    O.LinkKey = Key;
    O.Limits = Limits;
    for (int I = 0; I < 3; ++I)
      O.Hosts.push_back({"c" + std::to_string(I), address(I)});
    for (int I = 0; I < 3; ++I) {
      O.Name = O.Hosts[static_cast<std::size_t>(I)].Name;
      Hosts.push_back(makeServerState(O));
      Hosts.back().Peers.clear();
    }
    Time.advance(std::chrono::hours(1));
    event(0, LeadershipChanged{true});
  }

  ServerView view(int Host) const {
    ServerView V;
    V.Now = Time.now();
    const bool Cut = Partitioned.count(Host) != 0;
    V.LeaseHeld = Host == Leader && !Cut;
    if (Leader >= 0 && !Cut)
      V.Leader = "c" + std::to_string(Leader);
    V.QuorumAge = Cut ? Duration(std::chrono::hours(1)) : Duration{};
    V.QueuedBytes = [](LinkId) { return std::size_t(0); };
    return V;
  }

  ServerState &host(int I) { return Hosts[static_cast<std::size_t>(I)]; }

  void event(int Host, const ServerEvent &E) {
    for (ServerEffect &Effect : handle(host(Host), E, view(Host)))
      std::visit([&](auto &Value) { perform(Host, Value); }, Effect);
  }

  void perform(int, const SendToLink &E) {
    const Message M = *decodeMessage(*E.Encoded);
    if (const auto Op = OperatorLinks.find(E.Id); Op != OperatorLinks.end()) {
      Op->second->Received.push_back(M);
      return;
    }
    const auto Name = DaemonLinks.find(E.Id);
    if (Name == DaemonLinks.end())
      return;
    FakeDaemon &D = Daemons.at(Name->second);
    if (D.Link == E.Id && !D.Silent)
      event(D, ClientReceived{D.State.Attempt, *E.Encoded});
  }
  void perform(int, const CloseLink &E) {
    if (const auto Op = OperatorLinks.find(E.Id); Op != OperatorLinks.end())
      Op->second->Closed = true;
    const auto Name = DaemonLinks.find(E.Id);
    if (Name == DaemonLinks.end())
      return;
    FakeDaemon &D = Daemons.at(Name->second);
    if (D.Link == E.Id && !D.Silent)
      event(D, ClientClosed{D.State.Attempt});
  }
  void perform(int Host, const Propose &E) {
    if (Host != Leader || Partitioned.count(Host) != 0)
      return event(Host, ProposalRefused{
                             E.Value, {ErrorCode::NotLeader, "not leading"}});
    Held.push_back(E.Value);
    if (!HoldCommits)
      commitHeld();
  }
  void perform(int, const ServerNotice &) {}
  template <typename Other> void perform(int, const Other &) {}

  void commitHeld() {
    while (!Held.empty()) {
      const control::Command C = Held.front();
      Held.erase(Held.begin());
      Committed.push_back(C);
      ++At;
      for (int I = 0; I < 3; ++I)
        if (Partitioned.count(I) == 0)
          event(I, EntryCommitted{{At}, control::encodeCommand(C)});
    }
  }

  void event(FakeDaemon &D, const ClientEvent &E) {
    for (ClientEffect &Effect : handle(D.State, E, Time.now()))
      std::visit([&](auto &Value) { perform(D, Value); }, Effect);
  }

  void perform(FakeDaemon &D, const Dial &E) {
    ++D.Dials;
    D.Silent = false;
    D.Host = E.To.Port - 1000;
    D.Link = ++LastLink;
    DaemonLinks[D.Link] = D.State.Options.Name;
    event(D, ClientOpened{E.Attempt});
    event(D.Host, LinkOpened{D.Link});
  }
  void perform(FakeDaemon &D, const SendMessage &E) {
    if (!D.Silent)
      event(D.Host, LinkReceived{D.Link, encodeMessage(E.Value)});
  }
  void perform(FakeDaemon &D, const Disconnect &) {
    const LinkId Old = std::exchange(D.Link, 0);
    if (!D.Silent)
      event(D.Host, LinkEnded{Old});
  }
  static void perform(FakeDaemon &D, const ConfigurationChanged &E) {
    D.Revisions.push_back(E.Value->InForce.Number);
  }
  static void perform(FakeDaemon &D, const AnnouncementCommitted &E) {
    D.Confirmed.push_back({E.Id, E.Instance});
  }
  static void perform(FakeDaemon &D, const ClientTrouble &E) {
    D.Troubles.push_back(E.Reason);
  }

  FakeDaemon &addEntry(const std::string &Name, std::uint64_t RunId = 1,
                       const std::string &LinkKey = Key,
                       const std::string &InCluster = "test") {
    ControlClientOptions O;
    O.Cluster = InCluster;
    O.Name = Name;
    O.LinkKey = LinkKey;
    for (int I = 0; I < 3; ++I)
      O.ControlHosts.push_back(address(I));
    O.Announcement =
        control::EntryAnnouncement{Name, "dc", {0x7F000001, 99}, RunId};
    FakeDaemon &D = Daemons[Name];
    D = FakeDaemon{};
    D.State = makeClientState(O, RunId, Time.now());
    return D;
  }

  /// Opens a link and sends a Hello.
  void open(FakeOperator &Op, int Host, Hello Claim = operatorHello(),
            const std::string &LinkKey = Key) {
    Op = FakeOperator{};
    Op.Host = Host;
    Op.Link = ++LastLink;
    OperatorLinks[Op.Link] = &Op;
    event(Host, LinkOpened{Op.Link});
    const auto *Ask = Op.last<Challenge>();
    if (Ask == nullptr)
      return;
    Claim.Proof = helloProof(LinkKey, Ask->Nonce, Claim);
    send(Op, Claim);
  }

  static Hello operatorHello() {
    Hello Claim;
    Claim.Cluster = "test";
    Claim.Name = "operator";
    Claim.Nonce = Bytes(NonceBytes, 1);
    return Claim;
  }

  void send(FakeOperator &Op, const Message &M) {
    event(Op.Host, LinkReceived{Op.Link, encodeMessage(M)});
  }

  /// Lets time pass in steps of one server tick.
  void run(std::chrono::milliseconds For) {
    for (Duration Left = For; Left > Duration{}; Left -= ServerTickInterval) {
      Time.advance(ServerTickInterval);
      for (int I = 0; I < 3; ++I)
        event(I, ServerTick{});
      for (auto &[Name, D] : Daemons)
        event(D, ClientTick{});
    }
  }

  void elect(int Host) {
    const int Former = Leader;
    Leader = Host;
    if (Former >= 0)
      event(Former, LeadershipChanged{false});
    if (Host >= 0)
      event(Host, LeadershipChanged{true});
  }

  static CommandRequest putProfile(const std::string &Id,
                                   std::uint64_t Expected = 0,
                                   double Imbalance = 1.05) {
    control::Profile P;
    P.Name = "tablets";
    P.MaxImbalance = Imbalance;
    return {{Id, control::PutProfile{P, {Expected}}}};
  }
};

} // namespace jasminearch::link::testing

#endif // JASMINEARCH_TESTS_LINK_CLUSTER_H
