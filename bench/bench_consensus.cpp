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

/// Measures the replicated log and prints one JSON line.
///
/// - commits: three copies in one process, one thread each, real files and
///   syncs in a new folder under the path given first (default: the folder for
///   temporary files). `sequential` proposes one entry after another, `batched`
///   keeps 64 under way.
/// - failover: simulated time, 1.5 ms one-way delay, ticks 20 ms apart as in
///   the slowest daemon that the interface allows, files in memory; from the
///   loss of the leader to the next accepted entry, one loss per seed.
/// - heartbeat: bytes per second between the leader and one peer when idle.

namespace {

constexpr unsigned HostCount = 3;

std::string hostName(unsigned At) { return "control-" + std::to_string(At); }

ReplicatedLogOptions optionsFor(unsigned At, std::uint64_t Seed) {
  ReplicatedLogOptions Options;
  Options.Cluster = "bench";
  Options.Host = hostName(At);
  for (unsigned Each = 0; Each < HostCount; ++Each)
    Options.Hosts.push_back(hostName(Each));
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

/// \returns the value that \p Part of the sorted \p Values do not exceed.
double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Rank = static_cast<std::size_t>(
      std::lround(Part * static_cast<double>(Values.size() - 1)));
  return Values[Rank];
}

nlohmann::json summary(const std::vector<double> &Values) {
  return {{"p50", quantile(Values, 0.5)},
          {"p99", quantile(Values, 0.99)},
          {"max", quantile(Values, 1)}};
}

/// One copy on a thread of its own, with real files.
class LiveHost {
public:
  struct Packet {
    unsigned From;
    Bytes Content;
  };

  void post(Packet Next) {
    const std::lock_guard Lock(Guard);
    Inbox.push_back(std::move(Next));
    Wake.notify_one();
  }

  /// Waits for packets, at most until the next tick is due.
  std::deque<Packet> take() {
    constexpr auto TickInterval = 10ms;
    std::unique_lock Lock(Guard);
    Wake.wait_for(Lock, TickInterval, [this] { return !Inbox.empty(); });
    return std::exchange(Inbox, {});
  }

private:
  std::mutex Guard;
  std::condition_variable Wake;
  std::deque<Packet> Inbox;
};

/// What the leader's thread measured.
struct CommitFigures {
  std::vector<double> Latencies;
  double Seconds = 0;
};

/// Keeps \p Window proposals under way on whichever host leads, until \p Total
/// are committed there.
class CommitLoad {
public:
  CommitLoad(const std::string &Folder, unsigned Window, std::size_t Total)
      : Folder(Folder), Window(Window), Total(Total) {}

  CommitFigures run() {
    std::vector<std::thread> Threads;
    for (unsigned At = 0; At < HostCount; ++At)
      Threads.emplace_back([this, At] { serve(At); });
    for (std::thread &Each : Threads)
      Each.join();
    return Figures;
  }

private:
  void serve(unsigned At) {
    const SystemClock Time;
    std::map<std::uint64_t, TimePoint> Proposed;
    ReplicatedLogHandlers Handlers;
    Handlers.SendToPeer = [this, At](const std::string &To, Bytes Content) {
      Hosts[hostNumber(To)].post({At, std::move(Content)});
    };
    Handlers.Committed = [&](Revision Number, const Bytes &) {
      const auto Known = Proposed.find(Number.Number);
      if (Known == Proposed.end())
        return;
      Figures.Latencies.push_back(toMilliseconds(Time.now() - Known->second));
      Proposed.erase(Known);
    };
    Handlers.RestoreState = [](Revision, const Bytes &) {
      return Expected<void>();
    };
    Handlers.CaptureState = [] { return Bytes(); };
    Handlers.LeadershipChanged = [](bool) {};
    auto Options = optionsFor(At, 1);
    Options.DataFolder = Folder + "/" + hostName(At);
    auto Log = openReplicatedLog(Options, Time, Handlers);
    if (!Log) {
      std::cerr << toString(Log.error()) << "\n";
      Done = true;
      return;
    }
    TimePoint Start{};
    while (!Done) {
      for (LiveHost::Packet &Next : Hosts[At].take())
        (*Log)->receive(hostName(Next.From), Next.Content);
      (*Log)->tick();
      if (!(*Log)->leaseHeld())
        continue;
      if (Start == TimePoint{})
        Start = Time.now();
      propose(**Log, Time, Proposed);
      Figures.Seconds =
          std::chrono::duration<double>(Time.now() - Start).count();
      Done = Figures.Latencies.size() >= Total || Figures.Seconds > MaxSeconds;
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
  std::array<LiveHost, HostCount> Hosts;
  /// Used by the leader's thread; leadership stays where it is in this load.
  CommitFigures Figures;
  std::atomic<bool> Done = false;
};

nlohmann::json measureCommits(const std::string &Parent, unsigned Window,
                              std::size_t Total) {
  const std::string Folder = Parent + "/bench-consensus-" +
                             std::to_string(::getpid()) + "-" +
                             std::to_string(Window);
  const CommitFigures Figures = CommitLoad(Folder, Window, Total).run();
  std::filesystem::remove_all(Folder);
  return {{"commits", Figures.Latencies.size()},
          {"per_s", static_cast<double>(Figures.Latencies.size()) /
                        std::max(Figures.Seconds, 1e-9)},
          {"latency_ms", summary(Figures.Latencies)}};
}

/// Three copies in simulated time.
class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    for (unsigned At = 0; At < HostCount; ++At) {
      TickAt[At] = Duration(Random() % TickInterval.count());
      Hosts[At].Log = *openReplicatedLog(
          std::make_unique<consensus::detail::MemoryFolder>(Hosts[At].Files),
          optionsFor(At, Random()), Time, handlersFor(At));
    }
  }

  /// Runs one step of StepLength.
  void step() {
    Time.advance(StepLength);
    while (!UnderWay.empty() && UnderWay.begin()->first <= Time.now()) {
      const auto Next = std::move(UnderWay.begin()->second);
      UnderWay.erase(UnderWay.begin());
      if (Hosts[Next.To].Log)
        Hosts[Next.To].Log->receive(hostName(Next.From), Next.Content);
    }
    for (unsigned At = 0; At < HostCount; ++At) {
      if (!Hosts[At].Log || Time.now() - TimePoint{} < TickAt[At])
        continue;
      TickAt[At] += TickInterval;
      Hosts[At].Log->tick();
    }
  }

  void run(Duration Length) {
    for (const TimePoint End = Time.now() + Length; Time.now() < End;)
      step();
  }

  unsigned leader() const {
    for (unsigned At = 0; At < HostCount; ++At) {
      if (Hosts[At].Log && Hosts[At].Log->leaseHeld())
        return At;
    }
    return HostCount;
  }

  /// \returns the time from loss of the leader to the next entry that a client
  /// gets accepted, who tries all hosts all the time.
  Duration failOver() {
    run(2s + Duration(Random() % Duration(1s).count()));
    const unsigned Old = leader();
    if (Old == HostCount)
      return Duration::max();
    Hosts[Old].Log.reset();
    const TimePoint LostAt = Time.now();
    std::map<unsigned, std::uint64_t> Proposed;
    while (Time.now() - LostAt < 20s) {
      step();
      for (unsigned At = 0; At < HostCount; ++At) {
        if (!Hosts[At].Log)
          continue;
        const auto Number = Hosts[At].Log->propose({1});
        if (Number)
          Proposed.emplace(At, Number->Number);
        Hosts[At].Log->flush();
        if (Proposed.contains(At) &&
            Hosts[At].Log->committed().Number >= Proposed[At])
          return Time.now() - LostAt;
      }
    }
    return Duration::max();
  }

  /// \returns bytes per second between the leader and one peer, both ways.
  double heartbeatBytes() {
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

  ReplicatedLogHandlers handlersFor(unsigned At) {
    ReplicatedLogHandlers Handlers;
    Handlers.SendToPeer = [this, At](const std::string &To, Bytes Content) {
      BytesSent += Content.size();
      UnderWay.emplace(Time.now() + Delay,
                       Packet{At, hostNumber(To), std::move(Content)});
    };
    Handlers.Committed = [](Revision, const Bytes &) {};
    Handlers.RestoreState = [](Revision, const Bytes &) {
      return Expected<void>();
    };
    Handlers.CaptureState = [] { return Bytes(); };
    Handlers.LeadershipChanged = [](bool) {};
    return Handlers;
  }

  static constexpr Duration Delay = 1500us;
  static constexpr Duration StepLength = 500us;
  static constexpr Duration TickInterval = 20ms;

  ManualClock Time;
  std::mt19937_64 Random;
  std::array<Host, HostCount> Hosts;
  std::array<Duration, HostCount> TickAt{};
  std::multimap<TimePoint, Packet> UnderWay;
  std::uint64_t BytesSent = 0;
};

nlohmann::json measureFailOver(unsigned Seeds) {
  std::vector<double> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Times.push_back(toMilliseconds(Simulation(Seed).failOver()));
  nlohmann::json Result = summary(Times);
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
  const nlohmann::json Figures = {
      {"sequential", measureCommits(Parent, 1, SequentialCommits)},
      {"batched", measureCommits(Parent, BatchWindow, BatchedCommits)},
      {"failover_ms", measureFailOver(Seeds)},
      {"heartbeat_bytes_per_s_per_peer", Simulation(1).heartbeatBytes()}};
  std::cout << Figures.dump() << "\n";
  return 0;
}
