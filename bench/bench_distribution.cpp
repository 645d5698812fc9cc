// Measures how the configuration is distributed to daemons. Prints one JSON
// object a line.
#include "jasminearch/clock.h"
#include "jasminearch/control/codec.h"
#include "jasminearch/control/distribution.h"
#include "jasminearch/link/control_client_logic.h"
#include "jasminearch/link/control_server.h"
#include "jasminearch/link/handshake.h"
#include "jasminearch/link/link.h"
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::link;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

double millisecondsSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(SystemClock().now() - Start)
      .count();
}

/// \returns the allocated heap bytes.
std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

/// \returns a configuration of the given size, with bucket tables that refer to
/// its upstreams.
control::Configuration makeConfig(std::uint32_t Services,
                                  std::uint32_t Upstreams) {
  control::Configuration C;
  C.InForce = {1};
  C.Profiles["tablets"].Name = "tablets";
  C.Profiles["tablets"].Changed = {1};
  for (std::uint32_t Id = 1; Id <= Services; ++Id) {
    C.Services[{Id}] = {{Id},
                        "service-" + std::to_string(Id),
                        {0x0A000000 + Id, 5683},
                        "tablets",
                        {1}};
    control::BucketTable T{{Id}, {}, {1}};
    for (std::uint32_t B = 0; B < control::BucketsPerService; ++B)
      T.Buckets.push_back({{1 + (Id * 7 + B) % std::max(Upstreams, 1U)}, {}});
    C.Tables[{Id}] = std::move(T);
  }
  for (std::uint32_t Id = 1; Id <= Upstreams; ++Id) {
    control::Upstream U;
    U.Id = {Id};
    U.Name = "upstream-" + std::to_string(Id);
    U.Service = {1 + Id % std::max(Services, 1U)};
    U.DataCentre = "dc1";
    U.Agent = {0x0A100000 + Id, 6000};
    U.Instance = {Id};
    U.Changed = {1};
    C.Upstreams[{Id}] = std::move(U);
  }
  return C;
}

void benchSnapshot(const char *VariedDimension, std::uint32_t Services,
                   std::uint32_t Upstreams) {
  const std::size_t Before = heapBytes();
  const control::Configuration C = makeConfig(Services, Upstreams);
  const std::size_t ConfigurationBytes = heapBytes() - Before;
  const TimePoint Start = SystemClock().now();
  std::vector<Bytes> Parts;
  std::size_t TotalBytes = 0;
  std::size_t LargestPart = 0;
  for (control::SnapshotPart &Part : control::splitSnapshot(C)) {
    Parts.push_back(encodeMessage(Snapshot{std::move(Part)}));
    TotalBytes += Parts.back().size();
    LargestPart = std::max(LargestPart, Parts.back().size());
  }
  const double EncodeMilliseconds = millisecondsSince(Start);
  const TimePoint DecodeStart = SystemClock().now();
  control::ConfigReceiver R;
  for (const Bytes &Part : Parts)
    if (!control::applySnapshotPart(
            R, std::get<Snapshot>(*decodeMessage(Part)).Value, {}))
      std::abort();
  const double DecodeMilliseconds = millisecondsSince(DecodeStart);
  control::RetainedChanges Retained = control::startRetainedChanges(C);
  control::Configuration Next = C;
  Next.InForce = {2};
  Next.Upstreams[{1}].Changed = {2};
  const TimePoint RetainStart = SystemClock().now();
  control::retainChanges(Retained, Next);
  std::cout << json{{"bench", "snapshot"},
                    {"slope", VariedDimension},
                    {"services", Services},
                    {"upstreams", Upstreams},
                    {"bytes", TotalBytes},
                    {"parts", Parts.size()},
                    {"largest_part", LargestPart},
                    {"encode_ms", EncodeMilliseconds},
                    {"decode_ms", DecodeMilliseconds},
                    {"retain_change_ms", millisecondsSince(RetainStart)},
                    {"daemon_heap_bytes", ConfigurationBytes}}
            << std::endl;
}

/// Measures the update after \p Count changes, each to another upstream and to
/// its service's table.
void benchDelta(std::uint32_t Count) {
  control::Configuration C = makeConfig(1000, 7000);
  control::RetainedChanges Retained = control::startRetainedChanges(C);
  const Revision From = C.InForce;
  for (std::uint32_t I = 1; I <= Count; ++I) {
    C.InForce = {I + 1};
    C.Upstreams[{I}].Changed = C.InForce;
    C.Tables[C.Upstreams[{I}].Service].Changed = C.InForce;
    control::retainChanges(Retained, C);
  }
  const TimePoint Start = SystemClock().now();
  const auto Update = control::selectUpdate(From, Retained, C);
  const auto *D = std::get_if<control::Delta>(&Update);
  const std::size_t Size =
      D == nullptr ? 0 : encodeMessage(link::Delta{*D}).size();
  std::cout << json{{"bench", "delta"},
                    {"changes", Count},
                    {"as_snapshot", D == nullptr},
                    {"bytes", Size},
                    {"bytes_per_change", Size / Count},
                    {"decide_and_encode_ms", millisecondsSince(Start)}}
            << std::endl;
}

/// One control host that always leads, and its daemons, on one hub and thread.
struct Loopback {
  SystemClock Time;
  ServerState Server;
  std::unique_ptr<LinkHub> Hub;
  std::vector<ClientState> Clients;
  std::vector<LinkId> ClientLinks;
  std::map<LinkId, std::size_t> ClientIndexByLink;
  std::set<LinkId> ServerLinks;
  /// Payload bytes and messages in both directions.
  std::size_t PayloadBytes = 0;
  std::size_t Messages = 0;
  std::uint64_t LastRevision = 0;

  Loopback(std::uint32_t Services, std::uint32_t Upstreams) {
    ServerOptions O;
    O.Cluster = "bench";
    O.Name = "c1";
    O.LinkKey = "a link key of the bench";
    O.Hosts = {{"c1", {}}};
    Server = makeServerState(O);
    Server.Current.Config = makeConfig(Services, Upstreams);
    Server.Current.Index = control::buildIndex(Server.Current.Config);
    for (auto &[Id, U] : Server.Current.Config.Upstreams)
      U.Phase = control::UpstreamPhase::Lost;
    Server.Current.Index = control::buildIndex(Server.Current.Config);
    Server.Retained = control::startRetainedChanges(Server.Current.Config);
    LastRevision = 1;
    LinkHandlers H;
    H.Opened = [this](LinkId Id, bool Incoming) {
      if (!Incoming)
        return step(ClientIndexByLink.at(Id),
                    ClientOpened{Clients[ClientIndexByLink.at(Id)].Attempt});
      ServerLinks.insert(Id);
      step(LinkOpened{Id});
    };
    H.Closed = [this](LinkId Id) {
      if (ServerLinks.erase(Id) != 0)
        return step(LinkEnded{Id});
      const std::size_t I = ClientIndexByLink.at(Id);
      if (ClientLinks[I] == Id)
        step(I, ClientClosed{Clients[I].Attempt});
    };
    H.Received = [this](LinkId Id, Bytes M) {
      PayloadBytes += M.size();
      ++Messages;
      if (ServerLinks.count(Id) != 0)
        return step(LinkReceived{Id, std::move(M)});
      const std::size_t I = ClientIndexByLink.at(Id);
      if (ClientLinks[I] == Id)
        step(I, ClientReceived{Clients[I].Attempt, std::move(M)});
    };
    Hub = makeWebsocketHub(std::move(H), {});
    if (!Hub->listen("127.0.0.1", 0))
      std::abort();
    step(LeadershipChanged{true});
    Hub->every(ServerTickInterval.count(), [this] { step(ServerTick{}); });
    Hub->every(ClientTickInterval.count(), [this] {
      for (std::size_t I = 0; I < Clients.size(); ++I)
        step(I, ClientTick{});
    });
  }

  ServerView view() const {
    ServerView V;
    V.Now = Time.now();
    V.LeaseHeld = true;
    V.Leader = "c1";
    V.QueuedBytes = [this](LinkId Id) { return Hub->queuedBytes(Id); };
    return V;
  }

  void step(const ServerEvent &E) {
    for (ServerEffect &Effect : handle(Server, E, view())) {
      if (const auto *M = std::get_if<SendToLink>(&Effect)) {
        Hub->send(M->Id, *M->Encoded);
      } else if (const auto *C = std::get_if<CloseLink>(&Effect)) {
        Hub->close(C->Id);
      } else if (const auto *P = std::get_if<Propose>(&Effect)) {
        commit(P->Value);
      }
    }
  }

  void commit(const control::Command &C) {
    step(EntryCommitted{{++LastRevision}, control::encodeCommand(C)});
  }

  void step(std::size_t I, const ClientEvent &E) {
    for (ClientEffect &Effect : handle(Clients[I], E, Time.now())) {
      if (std::holds_alternative<Dial>(Effect)) {
        ClientLinks[I] = Hub->connect("127.0.0.1", Hub->listeningPort());
        ClientIndexByLink[ClientLinks[I]] = I;
      } else if (const auto *M = std::get_if<SendMessage>(&Effect)) {
        Hub->send(ClientLinks[I], encodeMessage(M->Value));
      } else if (std::holds_alternative<Disconnect>(Effect)) {
        Hub->close(std::exchange(ClientLinks[I], 0));
      }
    }
  }

  void addClients(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      ControlClientOptions O;
      O.Cluster = "bench";
      O.Name = "entry-" + std::to_string(Clients.size());
      O.LinkKey = "a link key of the bench";
      O.ControlHosts = {{0x7F000001, 1}};
      O.Announcement =
          control::EntryAnnouncement{O.Name, "dc", {0x7F000001, 9}, 1};
      Clients.push_back(makeClientState(O, Clients.size() + 1, Time.now()));
      ClientLinks.push_back(0);
    }
  }

  /// Serves until \p IsDone holds or \p Limit has passed.
  /// \returns whether \p IsDone held in time.
  template <typename Predicate>
  bool serveUntil(Predicate IsDone, milliseconds Limit) {
    const TimePoint End = Time.now() + Limit;
    auto Reached = std::make_shared<bool>(false);
    auto Stopped = std::make_shared<bool>(false);
    Hub->every(1, [=, this] {
      if (*Stopped)
        return;
      *Reached = IsDone();
      *Stopped = *Reached || Time.now() > End;
      if (*Stopped)
        Hub->stop();
    });
    Hub->run();
    return *Reached;
  }

  bool isInForceEverywhere(Revision TargetRevision) const {
    return std::all_of(Clients.begin(), Clients.end(), [&](const auto &C) {
      return control::inForce(C.Config) >= TargetRevision;
    });
  }
};

/// Measures the time until a change is in force at all daemons, the memory per
/// daemon, and the traffic while nothing changes.
void benchLoopback(std::size_t Count) {
  constexpr milliseconds Timeout{20'000};
  constexpr int Rounds = 20;
  constexpr milliseconds IdleTime{10'000};
  Loopback L(20, 200);
  const std::size_t HeapBefore = heapBytes();
  L.addClients(Count);
  const auto Registered = [&] {
    return std::all_of(L.Clients.begin(), L.Clients.end(),
                       [](const auto &C) { return C.Committed; });
  };
  if (!L.serveUntil(Registered, Timeout))
    std::abort();
  std::vector<double> Times;
  for (int I = 0; I < Rounds; ++I) {
    control::Profile P;
    P.Name = "bench-" + std::to_string(I);
    const TimePoint Start = L.Time.now();
    L.commit({"id" + std::to_string(I), control::PutProfile{P, {}}});
    const Revision TargetRevision = L.Server.Current.Config.InForce;
    if (!L.serveUntil([&] { return L.isInForceEverywhere(TargetRevision); },
                      Timeout))
      std::abort();
    Times.push_back(millisecondsSince(Start));
  }
  std::sort(Times.begin(), Times.end());
  const std::size_t HeapBytes = heapBytes() - HeapBefore;
  L.PayloadBytes = L.Messages = 0;
  L.serveUntil([] { return false; }, IdleTime);
  // Per message: a WebSocket header (up to 8 bytes with the mask), TCP and IP
  // headers (52), and an acknowledgement (52).
  constexpr std::size_t OverheadPerMessage = 112;
  const double Seconds = std::chrono::duration<double>(IdleTime).count() *
                         static_cast<double>(Count);
  std::cout << json{{"bench", "in_force"},
                    {"daemons", Count},
                    {"median_ms", Times[Times.size() / 2]},
                    {"worst_ms", Times.back()},
                    {"heap_bytes_per_link_both_ends", HeapBytes / Count},
                    {"idle_payload_bytes_per_s",
                     static_cast<double>(L.PayloadBytes) / Seconds},
                    {"idle_wire_bytes_per_s_estimate",
                     static_cast<double>(L.PayloadBytes +
                                         L.Messages * OverheadPerMessage) /
                         Seconds}}
            << std::endl;
}

} // namespace

int main() {
  for (const std::uint32_t Upstreams : {1000U, 5000U, 10'000U, 30'000U})
    benchSnapshot("upstreams", 100, Upstreams);
  for (const std::uint32_t Services : {100U, 500U, 2000U, 4400U})
    benchSnapshot("services", Services, 30'000);
  for (const std::uint32_t Changes : {1U, 10U, 100U, 500U})
    benchDelta(Changes);
  for (const std::size_t Daemons : {10U, 50U, 100U, 200U})
    benchLoopback(Daemons);
}
