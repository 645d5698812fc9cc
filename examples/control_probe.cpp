// Shows how a program uses links. As an operator, it puts a profile through the
// control host that leads. As an entry host, it registers and follows the
// configuration. scripts/control-process-test runs it against real daemons.
//
//   control-probe put KEY ID EXPECTED HOST:PORT...
//       prints the result
//   control-probe follow KEY NAME SECONDS HOST:PORT...
//       prints each revision with the time since the start in milliseconds
#include "jasminearch/clock.h"
#include "jasminearch/link/control_client.h"
#include "jasminearch/link/handshake.h"
#include "jasminearch/link/link.h"
#include "jasminearch/settings.h"
#include <chrono>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::link;
using std::chrono::milliseconds;

namespace {

constexpr auto Cluster = "process-test";
constexpr std::chrono::seconds PutTimeout{10};
constexpr unsigned RetryIntervalMilliseconds = 100;
constexpr milliseconds ResponseTimeout{1000};

std::string ipAddress(const Endpoint &E) {
  const std::string Text = toString(E);
  return Text.substr(0, Text.find(':'));
}

/// Sends one command to the control hosts in turn until it is decided. Every
/// attempt has the same command id, so that the command is applied at most
/// once.
class PutClient {
public:
  PutClient(std::string Key, control::Command Value,
            std::vector<Endpoint> Hosts)
      : Key(std::move(Key)), Value(std::move(Value)), Hosts(std::move(Hosts)) {
    LinkHandlers H;
    H.Received = [this](LinkId Id, const Bytes &Encoded) {
      if (Id == Link)
        handleMessage(Encoded);
    };
    H.Closed = [this](LinkId Id) {
      if (Id == Link)
        Link = 0;
    };
    Hub = makeWebsocketHub(std::move(H), {});
  }

  int run() {
    const auto Deadline = std::chrono::steady_clock::now() + PutTimeout;
    Hub->every(RetryIntervalMilliseconds, [this, Deadline] {
      const auto Now = std::chrono::steady_clock::now();
      if (Now > Deadline)
        Hub->stop();
      else if (Link == 0 || Now - DialledAt > ResponseTimeout)
        dial(Hosts[Next++ % Hosts.size()]);
    });
    Hub->run();
    if (Status != 0 && !Answered)
      std::cout << "no answer from any control host\n";
    return Status;
  }

private:
  void dial(const Endpoint &To) {
    if (Link != 0)
      Hub->close(Link);
    DialledAt = std::chrono::steady_clock::now();
    Link = Hub->connect(ipAddress(To), To.Port);
  }

  void handleMessage(const Bytes &Encoded) {
    const auto M = decodeMessage(Encoded);
    if (!M)
      return Hub->stop();
    if (const auto *Received = std::get_if<Challenge>(&*M)) {
      Hello Reply;
      Reply.Cluster = Cluster;
      Reply.Name = "probe";
      Reply.Nonce = generateNonce();
      Reply.Proof = helloProof(Key, Received->Nonce, Reply);
      Hub->send(Link, encodeMessage(Reply));
    } else if (std::holds_alternative<Welcome>(*M)) {
      Hub->send(Link, encodeMessage(CommandRequest{Value}));
    } else if (const auto *Result = std::get_if<CommandResult>(&*M)) {
      handleResult(*Result);
    }
  }

  void handleResult(const CommandResult &Result) {
    if (Result.Leader)
      return dial(Result.Leader->Address);
    if (!Result.Decided)
      return;
    Answered = true;
    Status = Result.Decided->Accepted ? 0 : 1;
    std::cout << (Result.Decided->Accepted
                      ? "accepted " + std::to_string(Result.Decided->At.Number)
                      : toString(Result.Decided->Reason))
              << "\n";
    Hub->stop();
  }

  std::string Key;
  control::Command Value;
  std::vector<Endpoint> Hosts;
  std::unique_ptr<LinkHub> Hub;
  LinkId Link = 0;
  std::size_t Next = 0;
  std::chrono::steady_clock::time_point DialledAt{};
  bool Answered = false;
  int Status = 1;
};

int put(const std::string &Key, const std::string &Id, std::uint64_t Expected,
        std::vector<Endpoint> Hosts) {
  control::Profile P;
  P.Name = "probe";
  return PutClient(Key, {Id, control::PutProfile{P, {Expected}}},
                   std::move(Hosts))
      .run();
}

/// Registers as an entry host and prints one line for each event, which starts
/// with the time since the start in milliseconds.
int follow(const std::string &Key, const std::string &Name, int Seconds,
           std::vector<Endpoint> Hosts) {
  const SystemClock Time;
  const TimePoint Start = Time.now();
  std::mutex OutputMutex;
  const auto Print = [&](const std::string &Text) {
    const std::lock_guard Lock(OutputMutex);
    std::cout
        << std::chrono::duration_cast<milliseconds>(Time.now() - Start).count()
        << " " << Text << std::endl;
  };
  ControlClientOptions O;
  O.Cluster = Cluster;
  O.Name = Name;
  O.LinkKey = Key;
  O.ControlHosts = std::move(Hosts);
  O.Announcement = control::EntryAnnouncement{
      Name,
      "dc",
      {0x7F000001, 9},
      static_cast<std::uint64_t>(Time.wallTime().time_since_epoch().count())};
  ControlClientHandlers H;
  H.Configured = [&](auto Config) {
    Print("revision " + std::to_string(Config->InForce.Number));
  };
  H.Announced = [&](UpstreamId, Incarnation) { Print("announced"); };
  const auto Client = startControlClient(std::move(O), Time, std::move(H));
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  Client->leave();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  constexpr std::size_t FirstHostIndex = 4;
  if (Arguments.size() <= FirstHostIndex) {
    std::cerr << "usage: control-probe put KEY ID EXPECTED HOST:PORT...\n"
                 "       control-probe follow KEY NAME SECONDS HOST:PORT...\n";
    return 2;
  }
  std::vector<Endpoint> Hosts;
  for (std::size_t I = FirstHostIndex; I < Arguments.size(); ++I) {
    const auto Host = parseEndpoint(Arguments[I]);
    if (!Host) {
      std::cerr << toString(Host.error()) << "\n";
      return 2;
    }
    Hosts.push_back(*Host);
  }
  if (Arguments[0] == "put")
    return put(Arguments[1], Arguments[2], std::stoull(Arguments[3]), Hosts);
  return follow(Arguments[1], Arguments[2], std::stoi(Arguments[3]), Hosts);
}
