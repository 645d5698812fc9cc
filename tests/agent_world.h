#ifndef JASMINEARCH_TESTS_AGENT_WORLD_H
#define JASMINEARCH_TESTS_AGENT_WORLD_H

#include "jasminearch/agent/agent_logic.h"
#include "jasminearch/agent/handover.h"
#include "jasminearch/wire/coap_message.h"
#include "jasminearch/wire/frame.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulation of agents, entry hosts, upstreams and one caller with a simulated
/// clock. The caller and the upstreams are fakes that follow the protocol. The
/// upstreams don't detect duplicates, so every run is counted.
namespace jasminearch::agent::test {

using namespace std::chrono_literals;
using wire::CoapMessage;
using wire::CoapType;

enum class SessionKind { Get, BlockGet, Post, SeparatePost, BlockPost, Feed };
/// Reaction of a caller to a confirmable response with the same message id as
/// the previous one: acknowledge it again, or, like libcoap 4.3.1, drop it
/// without an acknowledgement.
enum class CallerBehaviour { AcknowledgesRepeats, DropsRepeats };
enum class Result { Open, Answered, NotRun, Unknown };

/// A fault that affects a datagram between caller and agents, or that occurs
/// when this datagram is sent.
enum class Fault {
  None,
  Duplicate,
  LateDuplicate,
  Delay,
  Reorder,
  Loss,
  RestartWithRecords,
  RestartWithoutRecords,
  TableMove,
  MoveWithLateDuplicate,
  Drain,
  DrainAndBack,
  SiblingKill,
  EntryKill,
  Deadline,
  ClockJump,
};

/// A fault and the index, from 0, of the datagram at which it is injected.
struct InjectedFault {
  Fault Type = Fault::None;
  std::size_t Step = 0;
};

inline absl::Span<const std::uint8_t> bytesOf(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}
inline std::string textOf(absl::Span<const std::uint8_t> Octets) {
  return {Octets.begin(), Octets.end()};
}
inline const Endpoint CallerEndpoint{0x0A000001, 4000};
inline const Endpoint ServiceEndpoint{0x0A090001, 5683};

inline Endpoint entryEndpoint(std::size_t Index) {
  return {0x0A010000U + static_cast<std::uint32_t>(Index), 7000};
}
inline Endpoint agentEndpoint(std::size_t Index) {
  return {0x0A020000U + static_cast<std::uint32_t>(Index), 7100};
}
inline UpstreamId upstreamId(std::size_t Index) {
  return {static_cast<std::uint32_t>(Index + 1)};
}

/// Leaves one alive entry host after a pair of faults has killed two.
constexpr std::size_t EntryCount = 3;
constexpr std::uint16_t FirstNotificationId = 500;
constexpr int NotificationCount = 4;
constexpr std::uint32_t SheetBlocks = 3;

class AgentSimulation;

/// Runs requests and counts the runs per request id.
struct FakeUpstream {
  AgentSimulation *Simulation = nullptr;
  std::size_t AgentIndex = 0;
  std::map<std::string, std::string> Uploads;
  std::map<std::uint16_t, bool> AcknowledgedIds;
  std::map<std::uint16_t, bool> ObservedPorts;
  std::uint16_t NextMessageId = FirstNotificationId;
  Duration ExtraDelay{};
  /// Number of confirmable messages that were never acknowledged.
  int NeverAcknowledged = 0;
  bool SeparateResponses = false;

  void receive(std::uint16_t Port, const Bytes &Datagram);
  void answer(std::uint16_t Port, const CoapMessage &To, std::uint8_t Code,
              const std::string &Payload,
              const CoapMessage &ResponseOptions = {});
  void sendReliably(std::uint16_t Port, const CoapMessage &Message,
                    int RetriesLeft);
  void notify(std::uint16_t Port, wire::Token Token, const std::string &Id,
              int Number);
};

struct SimulatedAgent {
  std::unique_ptr<State> AgentState;
  bool Alive = true;
  FakeUpstream Up;
};

/// Sends one request or opens one line, and tracks it until its outcome.
struct FakeCaller {
  AgentSimulation *Simulation = nullptr;
  SessionKind Kind = SessionKind::Get;
  CallerBehaviour Behaviour = CallerBehaviour::AcknowledgesRepeats;
  std::optional<std::uint16_t> LastConfirmableId;
  std::string Id;
  Result Outcome = Result::Open;
  bool WrongAnswer = false;
  std::uint16_t NextMessageId = 100;
  std::uint8_t NextToken = 1;
  CoapMessage PendingRequest;
  Bytes EncodedRequest;
  bool AwaitingResponse = false;
  bool Acknowledged = false;
  std::uint64_t Generation = 0;
  std::uint32_t Block = 0;
  std::string Body, Echo;
  std::set<std::uint16_t> SeenMessageIds;
  std::set<int> Notifications;
  wire::Token FeedToken;

  void start();
  void sendRequest();
  void retransmit(std::uint64_t RequestGeneration, int RetriesLeft,
                  Duration After);
  void receive(const Bytes &Datagram);
  void handleResponse(const CoapMessage &Answer);
  void complete(Result FinalOutcome) {
    AwaitingResponse = false;
    ++Generation;
    if (Outcome == Result::Open)
      Outcome = FinalOutcome;
  }
};

class AgentSimulation {
public:
  explicit AgentSimulation(std::size_t AgentCount = 3, std::uint32_t Slots = 4);

  TimePoint Now{};
  std::vector<SimulatedAgent> Agents;
  control::Configuration Config;
  std::size_t OwnerIndex = 0;
  std::vector<UpstreamId> EarlierOwners;
  std::size_t EntryIndex = 0;
  std::set<std::size_t> DeadEntries;
  FakeCaller Caller;
  std::map<std::string, int> Runs;
  std::vector<InjectedFault> InjectedFaults;
  /// Number of faults that were injected.
  std::size_t InjectedCount = 0;
  /// Agents that have sent an answer to the caller and may have issued its
  /// permit.
  std::set<std::size_t> RespondingAgents;
  std::uint8_t Restarts = 0;
  std::size_t Steps = 0;
  std::uint64_t RevisionNumber = 100;
  std::uint16_t LastPort = 20000;
  /// Called with each line of the trace; used for golden files.
  std::function<void(const std::string &)> Trace;

  void schedule(Duration Delay, std::function<void()> Callback) {
    Queue.emplace(Now + Delay, std::move(Callback));
  }
  void run(Duration For);
  void sendFromCaller(Bytes Datagram);
  void deliverToUpstream(std::size_t Index, const SendUpstream &Action);
  void sendFromUpstream(std::size_t Index, std::uint16_t Port,
                        const Bytes &Datagram);
  void handleEvent(std::size_t Index, const Event &Input);
  void publishConfiguration();
  void moveTable();
  void restart(std::size_t Index, bool WithRecords);
  void kill(std::size_t Index);
  void runSession(SessionKind Kind, Fault Type, std::size_t Step) {
    runSession(Kind, std::vector<InjectedFault>{{Type, Step}});
  }
  /// Runs one session. The faults must be injected at different steps.
  void runSession(SessionKind Kind, std::vector<InjectedFault> Faults);
  /// \returns the Forward frame in which the entry host sends a datagram to
  /// agent \p Index.
  Bytes forwardFrame(std::size_t Index, const Bytes &Datagram) const;

private:
  std::multimap<TimePoint, std::function<void()>> Queue;
  TimePoint NextTimer{};

  void carryOut(std::size_t Index, const Effects &Actions);
  void sendFrame(std::size_t From, const SendFrame &Action);
  void transmit(std::function<void()> Deliver);
  void injectFault(Fault Type);
  void killSibling();
  void writeTrace(const std::string &Line) const {
    if (Trace)
      Trace(Line);
  }
};

} // namespace jasminearch::agent::test

#endif // JASMINEARCH_TESTS_AGENT_WORLD_H
