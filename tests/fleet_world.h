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

/// Control hosts and daemons over an in-memory network, with one clock.
namespace jasminearch::fleet::test {

using consensus::testing::FakeDisk;

class FleetWorld;

/// The end of the network at one host.
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
  /// Links by id: the other host and its id there.
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
  std::set<Endpoint> Left;
};

class FleetWorld {
public:
  explicit FleetWorld(std::vector<std::string> Given)
      : Seeds(std::move(Given)) {}

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

  Daemon &startDaemon(const std::string &Host, Role Own) {
    Daemon &D = Daemons[Host];
    FleetClientOptions O;
    O.Own = Own;
    O.Host = Host;
    O.Tunnel = {static_cast<std::uint32_t>(std::hash<std::string>{}(Host)),
                7720};
    O.Seeds = Seeds;
    O.Seed = ++NextSeed;
    FleetClientHandlers H;
    H.RoutesChanged = [&D](const std::shared_ptr<const flow::RouteIndex> &R) {
      D.Versions.push_back(R->table().Version);
    };
    H.AgentListReceived = [&D](const std::vector<Endpoint> &All, bool) {
      D.Agents.insert(All.begin(), All.end());
    };
    H.AgentLeft = [&D](const Endpoint &A) { D.Left.insert(A); };
    D.Client = std::make_unique<FleetClient>(O, Time, std::move(H));
    attach(Host, D.Client->linkHandlers());
    D.Client->setHub(Hubs.at(Host).get());
    return D;
  }

  /// Ends a process; its links break for the others.
  void kill(const std::string &Host) {
    if (const auto C = Controls.find(Host); C != Controls.end())
      C->second.Node.reset();
    Daemons.erase(Host);
    const auto At = Hubs.find(Host);
    if (At == Hubs.end())
      return;
    const auto Links = At->second->Links;
    Hubs.erase(At);
    for (const auto &[Id, Other] : Links)
      endAt(Other.first, Other.second);
  }

  /// Runs the world for \p For in steps of 10 ms.
  void run(Duration For) {
    for (Duration Done{}; Done < For; Done += std::chrono::milliseconds(10)) {
      Time.advance(std::chrono::milliseconds(10));
      for (auto &[Host, H] : Controls)
        if (H.Node && !Frozen.contains(Host))
          H.Node->tick();
      for (auto &[Host, D] : Daemons)
        D.Client->tick();
      deliver();
    }
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

  ReadResult read(const std::string &Host) {
    std::optional<ReadResult> Result;
    Controls.at(Host).Node->read(
        [&Result](const ReadResult &R) { Result = R; });
    for (int I = 0; I < 100 && !Result; ++I)
      run(std::chrono::milliseconds(10));
    return *Result;
  }

  bool cut(const std::string &A, const std::string &B) const {
    return Cut.contains(A) != Cut.contains(B);
  }

  ManualClock Time;
  std::vector<std::string> Seeds;
  std::map<std::string, ControlHost> Controls;
  std::map<std::string, Daemon> Daemons;
  std::map<std::string, std::unique_ptr<FakeHub>> Hubs;
  /// Hosts that are cut off from those that aren't in the set, silently.
  std::set<std::string> Cut;
  /// Hosts whose processes stand still.
  std::set<std::string> Frozen;
  std::vector<SubmitResult> Submitted;

  // Used by FakeHub.
  std::deque<std::function<void()>> Events;
  link::LinkId NextLink = 0;

  void endAt(const std::string &Host, link::LinkId Id) {
    Events.push_back([this, Host, Id] {
      const auto At = Hubs.find(Host);
      if (At != Hubs.end() && At->second->Links.erase(Id) != 0)
        At->second->Handlers.Closed(Id);
    });
  }

private:
  void attach(const std::string &Host, link::LinkHandlers Handlers) {
    Hubs[Host] = std::make_unique<FakeHub>(*this, Host, std::move(Handlers));
  }

  void deliver() {
    while (!Events.empty()) {
      const auto Event = std::move(Events.front());
      Events.pop_front();
      Event();
    }
  }

  std::uint64_t NextSeed = 0;
};

inline link::LinkId FakeHub::connect(const std::string &Address,
                                     std::uint16_t) {
  const link::LinkId Own = ++World.NextLink;
  const link::LinkId Theirs = ++World.NextLink;
  FleetWorld &W = World;
  W.Events.push_back([&W, Own, Theirs, From = Host, Address] {
    if (W.cut(From, Address))
      return;
    const auto A = W.Hubs.find(From);
    const auto B = W.Hubs.find(Address);
    if (A == W.Hubs.end())
      return;
    if (B == W.Hubs.end())
      return A->second->Handlers.Closed(Own);
    A->second->Links[Own] = {Address, Theirs};
    B->second->Links[Theirs] = {From, Own};
    B->second->Handlers.Opened(Theirs, true);
    A->second->Handlers.Opened(Own, false);
  });
  return Own;
}

inline void FakeHub::send(link::LinkId Id, const Bytes &Message) {
  const auto At = Links.find(Id);
  if (At == Links.end())
    return;
  FleetWorld &W = World;
  const std::string To = At->second.first;
  const link::LinkId Theirs = At->second.second;
  W.Events.push_back([&W, From = Host, To, Theirs, Message] {
    if (W.cut(From, To) || W.Frozen.contains(To))
      return;
    const auto There = W.Hubs.find(To);
    if (There != W.Hubs.end() && There->second->Links.contains(Theirs))
      There->second->Handlers.Received(Theirs, Message);
  });
}

inline void FakeHub::close(link::LinkId Id) {
  const auto At = Links.find(Id);
  if (At == Links.end())
    return;
  if (!World.cut(Host, At->second.first))
    World.endAt(At->second.first, At->second.second);
  World.endAt(Host, Id);
}

} // namespace jasminearch::fleet::test

#endif // JASMINEARCH_TESTS_FLEET_WORLD_H
