#ifndef JASMINEARCH_TESTS_FLEET_WORLD_H
#define JASMINEARCH_TESTS_FLEET_WORLD_H

#include "consensus_fakes.h"
#include "jasminearch/fleet/control_node.h"
#include "jasminearch/fleet/fleet_client.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Control hosts and daemons on an in-memory network with one simulated clock.
namespace jasminearch::fleet::test {

using consensus::testing::FakeDisk;

class FleetWorld;

/// The links of one simulated host.
class FakeHub final : public link::LinkHub {
public:
  FakeHub(FleetWorld &World, std::string Host, link::LinkHandlers Handlers)
      : World(World), Host(std::move(Host)), Handlers(std::move(Handlers)) {}

  bool listen(const std::string &, std::uint16_t) override { return true; }
  std::uint16_t listeningPort() const override { return 0; }
  link::LinkId connect(const std::string &Address, std::uint16_t) override;
  void send(link::LinkId Id, const Bytes &Message) override;
  void close(link::LinkId Id) override;
  std::size_t queuedBytes(link::LinkId) const override { return 0; }
  void every(unsigned, std::function<void()>) override {}
  void post(std::function<void()> Action) override { Action(); }
  void run() override {}
  void stop() override {}

  FleetWorld &World;
  std::string Host;
  link::LinkHandlers Handlers;
  /// Open links by id: the host at the other end, and the link's id there.
  std::map<link::LinkId, std::pair<std::string, link::LinkId>> Links;
};

struct ControlHost {
  std::shared_ptr<FakeDisk> Disk = std::make_shared<FakeDisk>();
  Bytes Agents;
  std::unique_ptr<ControlNode> Node;
};

struct Daemon {
  std::unique_ptr<FleetClient> Client;
  std::vector<std::uint64_t> Versions;
  std::set<Endpoint> Agents;
  std::map<Endpoint, std::uint32_t> ServiceTags;
  std::size_t CompleteLists = 0;
  std::set<Endpoint> DepartedAgents;
  /// What the handlers were called with.
  std::vector<Evacuations> Evacuated;
  std::vector<ServiceLimits> Limits;
  std::vector<EarlierRuns> Earlier;
  /// The agents that are listed and haven't left since.
  std::set<Endpoint> ListedAgents;
};

class FleetWorld {
public:
  explicit FleetWorld(std::vector<std::string> InitialSeeds)
      : Seeds(std::move(InitialSeeds)) {}

  void startControl(const std::string &Host, bool FirstStart) {
    ControlHost &H = Controls[Host];
    ControlNodeOptions O;
    O.Cluster = "test";
    O.Host = Host;
    O.Seeds = Seeds;
    O.Bootstrap = FirstStart;
    O.Seed = ++NextSeed;
    const std::shared_ptr<FakeDisk> Disk = H.Disk;
    AgentStore Store;
    Store.Load = [&H]() -> Expected<Bytes> { return H.Agents; };
    Store.Save = [&H](const Bytes &Content) -> Expected<void> {
      if (H.Disk->Full)
        return fail(ErrorCode::StorageFull, "the fake disk is full");
      H.Agents = Content;
      return {};
    };
    H.Node = std::make_unique<ControlNode>(
        O, Time,
        [this, Disk](consensus::ReplicatedLogOptions Options,
                     consensus::ReplicatedLogHandlers Handlers) {
          return consensus::openReplicatedLog(
              consensus::testing::openFakeFolder(Disk), std::move(Options),
              Time, std::move(Handlers));
        },
        std::move(Store));
    attach(Host, H.Node->linkHandlers());
    H.Node->setHub(Hubs.at(Host).get());
  }

  static Endpoint tunnelOf(const std::string &Host) {
    return {static_cast<std::uint32_t>(std::hash<std::string>{}(Host)), 7720};
  }

  Daemon &startDaemon(const std::string &Host, Role Own) {
    Daemon &D = Daemons[Host];
    FleetClientOptions O;
    O.Own = Own;
    O.Host = Host;
    O.Tunnel = tunnelOf(Host);
    O.Seeds = Seeds;
    O.Seed = O.RunId = ++NextSeed;
    FleetClientHandlers H;
    H.RoutesChanged = [&D](const std::shared_ptr<const flow::RouteIndex> &R) {
      D.Versions.push_back(R->table().Version);
    };
    H.AgentListReceived = [&D](const Agents &List) {
      for (const AgentRecord &R : List.Records) {
        D.Agents.insert(R.Tunnel);
        D.ListedAgents.insert(R.Tunnel);
        D.ServiceTags[R.Tunnel] = R.ServiceTag;
      }
      D.CompleteLists += List.Complete ? 1 : 0;
    };
    H.AgentLeft = [&D](const Endpoint &A) {
      D.DepartedAgents.insert(A);
      D.ListedAgents.erase(A);
    };
    H.EvacuationsChanged = [&D](const Evacuations &E) {
      D.Evacuated.push_back(E);
    };
    H.ServiceLimitsChanged = [&D](const ServiceLimits &L) {
      D.Limits.push_back(L);
    };
    H.EarlierRunsReported = [&D](const EarlierRuns &E) {
      D.Earlier.push_back(E);
    };
    D.Client = std::make_unique<FleetClient>(O, Time, std::move(H));
    attach(Host, D.Client->linkHandlers());
    D.Client->setHub(Hubs.at(Host).get());
    return D;
  }

  /// Ends a process; the other hosts see its links closed.
  void kill(const std::string &Host) {
    if (const auto C = Controls.find(Host); C != Controls.end())
      C->second.Node.reset();
    Daemons.erase(Host);
    const auto It = Hubs.find(Host);
    if (It == Hubs.end())
      return;
    const auto Links = It->second->Links;
    Hubs.erase(It);
    for (const auto &[Id, Other] : Links)
      scheduleClose(Other.first, Other.second);
  }

  /// Advances the simulation by \p For in steps of 10 ms.
  void run(Duration For) {
    for (Duration Done{}; Done < For; Done += std::chrono::milliseconds(10)) {
      Time.advance(std::chrono::milliseconds(10));
      for (auto &[Host, H] : Controls)
        if (H.Node && !SuspendedHosts.contains(Host) &&
            !PausedHosts.contains(Host))
          H.Node->tick();
      for (auto &[Host, D] : Daemons)
        if (!PausedHosts.contains(Host))
          D.Client->tick();
      deliver();
    }
  }

  /// Ends the pause of a host, which then reads what waited for it.
  void resume(const std::string &Host) {
    PausedHosts.erase(Host);
    for (auto &Event : std::exchange(Unread[Host], {}))
      Events.push_back(std::move(Event));
  }

  /// Closes one link of a host; the other end sees it closed, too.
  void breakLink(const std::string &Host, std::size_t Index) {
    const auto It = Hubs.find(Host);
    if (It == Hubs.end() || It->second->Links.empty())
      return;
    auto Link = It->second->Links.begin();
    std::advance(Link, Index % It->second->Links.size());
    scheduleClose(Link->second.first, Link->second.second);
    scheduleClose(Host, Link->first);
  }

  /// \returns whether both hosts are control hosts.
  bool areControls(const std::string &A, const std::string &B) const {
    return Controls.contains(A) && Controls.contains(B);
  }

  ControlNode *leader() {
    for (auto &[Host, H] : Controls)
      if (H.Node && H.Node->leading())
        return H.Node.get();
    return nullptr;
  }

  std::string leaderName() {
    for (auto &[Host, H] : Controls)
      if (H.Node && H.Node->leading())
        return Host;
    return {};
  }

  void submit(const std::string &Host, std::uint64_t Version,
              const std::string &Document) {
    flow::RouteTable Table;
    Table.Version = Version;
    Controls.at(Host).Node->submit(
        makeAcceptedRoutes(Table, Document),
        [this](const SubmitResult &R) { Submitted.push_back(R); });
  }

  /// Submits an order to \p Host. \returns where its result will be.
  std::shared_ptr<std::optional<EvacuationResult>>
  order(const std::string &Host, const EvacuationOrder &Order) {
    auto Result = std::make_shared<std::optional<EvacuationResult>>();
    Controls.at(Host).Node->submit(
        Order, [Result](EvacuationResult R) { *Result = std::move(R); });
    return Result;
  }

  ReadResult read(const std::string &Host) {
    std::optional<ReadResult> Result;
    Controls.at(Host).Node->read(
        [&Result](const ReadResult &R) { Result = R; });
    for (int I = 0; I < 100 && !Result; ++I)
      run(std::chrono::milliseconds(10));
    return *Result;
  }

  bool isCut(const std::string &A, const std::string &B) const {
    return CutOffHosts.contains(A) != CutOffHosts.contains(B) ||
           CutPairs.contains({A, B}) || CutPairs.contains({B, A});
  }

  ManualClock Time;
  std::vector<std::string> Seeds;
  std::map<std::string, ControlHost> Controls;
  std::map<std::string, Daemon> Daemons;
  std::map<std::string, std::unique_ptr<FakeHub>> Hubs;
  /// Hosts that are cut off from all hosts outside the set. Messages between
  /// the two groups are lost without an error.
  std::set<std::string> CutOffHosts;
  /// Pairs of hosts between which messages are lost.
  std::set<std::pair<std::string, std::string>> CutPairs;
  /// Hosts whose processes are suspended.
  std::set<std::string> SuspendedHosts;
  /// Hosts whose processes stand still; messages to them wait.
  std::set<std::string> PausedHosts;
  /// Time that the handling of one message takes.
  Duration EventTime{0};
  /// Messages between control hosts other than those of the replicated log.
  std::size_t DirectoryMessages = 0;
  std::size_t DirectoryBytes = 0;
  /// The messages of one step didn't end; the rest of them was dropped.
  bool Overflowed = false;
  std::vector<SubmitResult> Submitted;

  // Used by FakeHub.
  std::deque<std::function<void()>> Events;
  std::map<std::string, std::deque<std::function<void()>>> Unread;
  link::LinkId NextLink = 0;

  void scheduleClose(const std::string &Host, link::LinkId Id) {
    const auto Close = [this, Host, Id] {
      const auto It = Hubs.find(Host);
      if (It != Hubs.end() && It->second->Links.erase(Id) != 0)
        It->second->Handlers.Closed(Id);
    };
    Events.push_back([this, Host, Close] {
      if (PausedHosts.contains(Host))
        Unread[Host].push_back(Close);
      else
        Close();
    });
  }

private:
  void attach(const std::string &Host, link::LinkHandlers Handlers) {
    Hubs[Host] = std::make_unique<FakeHub>(*this, Host, std::move(Handlers));
  }

  void deliver() {
    constexpr std::size_t MaxEventsPerStep = 20'000;
    for (std::size_t Count = 0; !Events.empty(); ++Count) {
      if (Count >= MaxEventsPerStep) {
        Overflowed = true;
        Events.clear();
        return;
      }
      const auto Event = std::move(Events.front());
      Events.pop_front();
      Event();
      Time.advance(EventTime);
    }
  }

  std::uint64_t NextSeed = 0;
};

/// \returns whether a message is about agents.
inline bool isDirectoryMessage(const Bytes &Encoded) {
  const auto Decoded = decode(Encoded);
  return Decoded && !std::holds_alternative<Consensus>(*Decoded) &&
         !std::holds_alternative<Status>(*Decoded) &&
         !std::holds_alternative<Hello>(*Decoded) &&
         !std::holds_alternative<ControlHosts>(*Decoded);
}

inline link::LinkId FakeHub::connect(const std::string &Address,
                                     std::uint16_t) {
  const link::LinkId LocalId = ++World.NextLink;
  const link::LinkId RemoteId = ++World.NextLink;
  FleetWorld &W = World;
  W.Events.push_back([&W, LocalId, RemoteId, From = Host, Address] {
    if (W.isCut(From, Address) || W.PausedHosts.contains(Address))
      return;
    const auto A = W.Hubs.find(From);
    const auto B = W.Hubs.find(Address);
    if (A == W.Hubs.end())
      return;
    if (B == W.Hubs.end())
      return A->second->Handlers.Closed(LocalId);
    A->second->Links[LocalId] = {Address, RemoteId};
    B->second->Links[RemoteId] = {From, LocalId};
    B->second->Handlers.Opened(RemoteId, true);
    A->second->Handlers.Opened(LocalId, false);
  });
  return LocalId;
}

inline void FakeHub::send(link::LinkId Id, const Bytes &Message) {
  const auto It = Links.find(Id);
  if (It == Links.end())
    return;
  FleetWorld &W = World;
  const std::string To = It->second.first;
  const link::LinkId RemoteId = It->second.second;
  if (W.areControls(Host, To) && isDirectoryMessage(Message)) {
    ++W.DirectoryMessages;
    W.DirectoryBytes += Message.size();
  }
  const auto Read = [&W, To, RemoteId, Message] {
    const auto Remote = W.Hubs.find(To);
    if (Remote != W.Hubs.end() && Remote->second->Links.contains(RemoteId))
      Remote->second->Handlers.Received(RemoteId, Message);
  };
  W.Events.push_back([&W, From = Host, To, Read] {
    if (W.isCut(From, To) || W.SuspendedHosts.contains(To))
      return;
    if (W.PausedHosts.contains(To))
      W.Unread[To].push_back(Read);
    else
      Read();
  });
}

inline void FakeHub::close(link::LinkId Id) {
  const auto It = Links.find(Id);
  if (It == Links.end())
    return;
  if (!World.isCut(Host, It->second.first))
    World.scheduleClose(It->second.first, It->second.second);
  World.scheduleClose(Host, Id);
}

} // namespace jasminearch::fleet::test

#endif // JASMINEARCH_TESTS_FLEET_WORLD_H
