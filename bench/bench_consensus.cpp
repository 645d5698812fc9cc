#include "jasminearch/consensus/detail/memory_folder.h"
#include "jasminearch/consensus/replicated_log.h"
#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <unistd.h>

using namespace jasminearch;
using namespace jasminearch::consensus;
using namespace std::chrono_literals;

/// Measures the replicated log and prints one line of JSON.
///
/// - commits: three hosts in one process, each on its own thread, with real
///   files and syncs in a new folder under the path given as first argument
///   (default: the folder for temporary files). `sequential` proposes one entry
///   after another, `batched` keeps 64 in flight.
/// - failover: the time from the loss of the leader to the next accepted entry,
///   one loss per seed. Simulated time, 1.5 ms one-way delay, files in memory,
///   and 20 ms between ticks, the longest interval that the interface allows.
/// - heartbeat: bytes per second between the leader and one idle peer.

namespace {

constexpr unsigned HostCount = 3;

std::string hostName(unsigned HostIndex) {
  return "control-" + std::to_string(HostIndex);
}

ReplicatedLogOptions optionsFor(unsigned HostIndex, std::uint64_t Seed) {
  ReplicatedLogOptions Options;
  Options.Cluster = "bench";
  Options.Host = hostName(HostIndex);
  for (unsigned Peer = 0; Peer < HostCount; ++Peer)
    Options.Hosts.push_back(hostName(Peer));
  Options.Bootstrap = true;
  Options.Seed = Seed;
  return Options;
}

unsigned hostNumber(const std::string &Name) {
  return static_cast<unsigned>(Name.back() - '0');
}

double toMilliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// \returns the quantile \p Fraction (0 to 1) of \p Values; 0 if there are
/// none.
double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Rank = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[Rank];
}

nlohmann::json percentiles(const std::vector<double> &Values) {
  return {{"p50", quantile(Values, 0.5)},
          {"p99", quantile(Values, 0.99)},
          {"max", quantile(Values, 1)}};
}

/// Packets that wait for the thread of one host.
class PacketInbox {
public:
  struct Packet {
    unsigned From;
    Bytes Content;
  };

  void post(Packet Next) {
    const std::lock_guard Lock(Mutex);
    Packets.push_back(std::move(Next));
    PacketArrived.notify_one();
  }

  /// Waits for packets, for at most one tick interval.
  std::deque<Packet> takePackets() {
    constexpr auto TickInterval = 10ms;
    std::unique_lock Lock(Mutex);
    PacketArrived.wait_for(Lock, TickInterval,
                           [this] { return !Packets.empty(); });
    return std::exchange(Packets, {});
  }

private:
  std::mutex Mutex;
  std::condition_variable PacketArrived;
  std::deque<Packet> Packets;
};

/// Commit latencies in milliseconds and the total time, measured on the
/// leader's thread.
struct CommitMeasurements {
  std::vector<double> Latencies;
  double Seconds = 0;
};

/// Keeps \p Window proposals in flight on the current leader until \p Total of
/// them are committed there.
class CommitLoad {
public:
  CommitLoad(const std::string &Folder, unsigned Window, std::size_t Total)
      : Folder(Folder), Window(Window), Total(Total) {}

  CommitMeasurements run() {
    std::vector<std::thread> Threads;
    for (unsigned HostIndex = 0; HostIndex < HostCount; ++HostIndex)
      Threads.emplace_back([this, HostIndex] { runHost(HostIndex); });
    for (std::thread &Thread : Threads)
      Thread.join();
    return Measurements;
  }

private:
  void runHost(unsigned HostIndex) {
    const SystemClock Time;
    std::map<std::uint64_t, TimePoint> Proposed;
    ReplicatedLogHandlers Handlers;
    Handlers.SendToPeer = [this, HostIndex](const std::string &To,
                                            Bytes Content) {
      Hosts[hostNumber(To)].post({HostIndex, std::move(Content)});
    };
    Handlers.Committed = [&](Revision Number, const Bytes &) {
      const auto Found = Proposed.find(Number.Number);
      if (Found == Proposed.end())
        return;
      Measurements.Latencies.push_back(
          toMilliseconds(Time.now() - Found->second));
      Proposed.erase(Found);
    };
    Handlers.RestoreState = [](Revision, const Bytes &) {
      return Expected<void>();
    };
    Handlers.CaptureState = [] { return Bytes(); };
    Handlers.LeadershipChanged = [](bool) {};
    auto Options = optionsFor(HostIndex, 1);
    Options.DataFolder = Folder + "/" + hostName(HostIndex);
    auto Log = openReplicatedLog(Options, Time, Handlers);
    if (!Log) {
      std::cerr << toString(Log.error()) << "\n";
      Done = true;
      return;
    }
    TimePoint Start{};
    while (!Done) {
      for (PacketInbox::Packet &Next : Hosts[HostIndex].takePackets())
        (*Log)->receive(hostName(Next.From), Next.Content);
      (*Log)->tick();
      if (!(*Log)->leaseHeld())
        continue;
      if (Start == TimePoint{})
        Start = Time.now();
      propose(**Log, Time, Proposed);
      Measurements.Seconds =
          std::chrono::duration<double>(Time.now() - Start).count();
      Done = Measurements.Latencies.size() >= Total ||
             Measurements.Seconds > MaxSeconds;
    }
  }

  void propose(ReplicatedLog &Log, const Clock &Time,
               std::map<std::uint64_t, TimePoint> &Proposed) const {
    constexpr std::size_t EntryBytes = 200;
    while (Proposed.size() < Window) {
      const TimePoint Now = Time.now();
      const auto Number = Log.propose(Bytes(EntryBytes, 'e'));
      if (!Number)
        break;
      Proposed[Number->Number] = Now;
    }
    Log.flush();
  }

  static constexpr double MaxSeconds = 20;

  std::string Folder;
  unsigned Window;
  std::size_t Total;
  std::array<PacketInbox, HostCount> Hosts;
  /// Written by the leader's thread only. Leadership doesn't move under this
  /// load.
  CommitMeasurements Measurements;
  std::atomic<bool> Done = false;
};

nlohmann::json measureCommits(const std::string &Parent, unsigned Window,
                              std::size_t Total) {
  const std::string Folder = Parent + "/bench-consensus-" +
                             std::to_string(::getpid()) + "-" +
                             std::to_string(Window);
  const CommitMeasurements Measurements =
      CommitLoad(Folder, Window, Total).run();
  std::filesystem::remove_all(Folder);
  return {{"commits", Measurements.Latencies.size()},
          {"per_s", static_cast<double>(Measurements.Latencies.size()) /
                        std::max(Measurements.Seconds, 1e-9)},
          {"latency_ms", percentiles(Measurements.Latencies)}};
}

/// Three hosts in simulated time.
class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    for (unsigned HostIndex = 0; HostIndex < HostCount; ++HostIndex) {
      NextTickTime[HostIndex] = Duration(Random() % TickInterval.count());
      Hosts[HostIndex].Log = *openReplicatedLog(
          std::make_unique<consensus::detail::MemoryFolder>(
              Hosts[HostIndex].Files),
          optionsFor(HostIndex, Random()), Time, handlersFor(HostIndex));
    }
  }

  /// Advances the simulation by StepDuration.
  void step() {
    Time.advance(StepDuration);
    while (!InFlight.empty() && InFlight.begin()->first <= Time.now()) {
      const auto Next = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      if (Hosts[Next.To].Log)
        Hosts[Next.To].Log->receive(hostName(Next.From), Next.Content);
    }
    for (unsigned HostIndex = 0; HostIndex < HostCount; ++HostIndex) {
      if (!Hosts[HostIndex].Log ||
          Time.now() - TimePoint{} < NextTickTime[HostIndex])
        continue;
      NextTickTime[HostIndex] += TickInterval;
      Hosts[HostIndex].Log->tick();
    }
  }

  void run(Duration Length) {
    for (const TimePoint End = Time.now() + Length; Time.now() < End;)
      step();
  }

  unsigned leader() const {
    for (unsigned HostIndex = 0; HostIndex < HostCount; ++HostIndex) {
      if (Hosts[HostIndex].Log && Hosts[HostIndex].Log->leaseHeld())
        return HostIndex;
    }
    return HostCount;
  }

  /// \returns the time from the loss of the leader until an entry is committed
  /// for a client that keeps trying all hosts.
  Duration measureFailOver() {
    run(2s + Duration(Random() % Duration(1s).count()));
    const unsigned OldLeader = leader();
    if (OldLeader == HostCount)
      return Duration::max();
    Hosts[OldLeader].Log.reset();
    const TimePoint LeaderLostAt = Time.now();
    std::map<unsigned, std::uint64_t> Proposed;
    while (Time.now() - LeaderLostAt < 20s) {
      step();
      for (unsigned HostIndex = 0; HostIndex < HostCount; ++HostIndex) {
        if (!Hosts[HostIndex].Log)
          continue;
        const auto Number = Hosts[HostIndex].Log->propose({1});
        if (Number)
          Proposed.emplace(HostIndex, Number->Number);
        Hosts[HostIndex].Log->flush();
        if (Proposed.contains(HostIndex) &&
            Hosts[HostIndex].Log->committed().Number >= Proposed[HostIndex])
          return Time.now() - LeaderLostAt;
      }
    }
    return Duration::max();
  }

  /// \returns bytes per second between the leader and one peer, in both
  /// directions together.
  double heartbeatBytesPerSecond() {
    constexpr auto Length = 20s;
    run(2s);
    BytesSent = 0;
    run(Length);
    return static_cast<double>(BytesSent) /
           static_cast<double>(Length.count()) / (HostCount - 1);
  }

private:
  struct Packet {
    unsigned From;
    unsigned To;
    Bytes Content;
  };

  struct Host {
    consensus::detail::MemoryFiles Files;
    std::unique_ptr<ReplicatedLog> Log;
  };

  ReplicatedLogHandlers handlersFor(unsigned HostIndex) {
    ReplicatedLogHandlers Handlers;
    Handlers.SendToPeer = [this, HostIndex](const std::string &To,
                                            Bytes Content) {
      BytesSent += Content.size();
      InFlight.emplace(Time.now() + OneWayDelay,
                       Packet{HostIndex, hostNumber(To), std::move(Content)});
    };
    Handlers.Committed = [](Revision, const Bytes &) {};
    Handlers.RestoreState = [](Revision, const Bytes &) {
      return Expected<void>();
    };
    Handlers.CaptureState = [] { return Bytes(); };
    Handlers.LeadershipChanged = [](bool) {};
    return Handlers;
  }

  static constexpr Duration OneWayDelay = 1500us;
  static constexpr Duration StepDuration = 500us;
  static constexpr Duration TickInterval = 20ms;

  ManualClock Time;
  std::mt19937_64 Random;
  std::array<Host, HostCount> Hosts;
  std::array<Duration, HostCount> NextTickTime{};
  std::multimap<TimePoint, Packet> InFlight;
  std::uint64_t BytesSent = 0;
};

nlohmann::json measureFailOvers(unsigned Seeds) {
  std::vector<double> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Times.push_back(toMilliseconds(Simulation(Seed).measureFailOver()));
  nlohmann::json Result = percentiles(Times);
  Result["seeds"] = Seeds;
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr unsigned Seeds = 1000;
  constexpr unsigned BatchWindow = 64;
  constexpr std::size_t SequentialCommits = 1000;
  constexpr std::size_t BatchedCommits = 20000;
  const std::string Parent =
      Argc > 1 ? Argv[1] : std::filesystem::temp_directory_path().string();
  const nlohmann::json Measurements = {
      {"sequential", measureCommits(Parent, 1, SequentialCommits)},
      {"batched", measureCommits(Parent, BatchWindow, BatchedCommits)},
      {"failover_ms", measureFailOvers(Seeds)},
      {"heartbeat_bytes_per_s_per_peer",
       Simulation(1).heartbeatBytesPerSecond()}};
  std::cout << Measurements.dump() << "\n";
  return 0;
}
