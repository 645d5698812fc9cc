#include "fleet_world.h"
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace jasminearch;
using namespace jasminearch::fleet;
using namespace jasminearch::fleet::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> ThreeHosts = {"10.0.0.1", "10.0.0.2",
                                             "10.0.0.3"};

/// Sends each change to one control host after the other until it is accepted,
/// as operators do.
class Operator {
public:
  Operator(FleetWorld &World, std::uint64_t Seed)
      : World(World), Random(Seed) {}

  /// Begins to send the next version.
  void change() {
    auto Sent = std::make_shared<Change>();
    Sent->Version = ++LastVersion;
    Pending.push_back(Sent);
    send(Sent, randomHost());
  }

  /// Sends changes again whose last call has failed.
  void repeat() {
    for (const auto &Sent : Pending)
      if (!Sent->Next.empty())
        send(Sent, std::exchange(Sent->Next, {}));
      else if (Sent->Failed || World.Time.now() - Sent->SentAt >= AnswerTimeout)
        send(Sent, randomHost());
    std::erase_if(Pending, [](const auto &Sent) { return Sent->Accepted; });
  }

  std::size_t pending() const { return Pending.size(); }
  std::uint64_t lastVersion() const { return LastVersion; }

  static std::string document(std::uint64_t Version) {
    return "version " + std::to_string(Version);
  }

private:
  /// Operators go on to another host after this time without an answer.
  static constexpr Duration AnswerTimeout = 1s;

  struct Change {
    std::uint64_t Version = 0;
    TimePoint SentAt{};
    bool Failed = false;
    bool Accepted = false;
    /// The host to which the last call was redirected.
    std::string Next;
  };

  std::string randomHost() {
    return ThreeHosts[std::uniform_int_distribution<std::size_t>(
        0, ThreeHosts.size() - 1)(Random)];
  }

  void send(const std::shared_ptr<Change> &Sent, const std::string &Host) {
    Sent->SentAt = World.Time.now();
    Sent->Failed = true;
    const auto &Node = World.Controls.at(Host).Node;
    if (!Node)
      return;
    Sent->Failed = false;
    flow::RouteTable Table;
    Table.Version = Sent->Version;
    Node->submit(makeAcceptedRoutes(Table, document(Sent->Version)),
                 [this, Sent](const SubmitResult &R) {
                   if (std::holds_alternative<Accepted>(R))
                     Sent->Accepted = true;
                   else if (const auto *To = std::get_if<RedirectToLeader>(&R))
                     Sent->Next = To->Host;
                   else
                     Sent->Failed = true;
                 });
  }

  FleetWorld &World;
  std::mt19937_64 Random;
  std::uint64_t LastVersion = 0;
  std::vector<std::shared_ptr<Change>> Pending;
};

/// Control hosts whose disks are full for a time.
class FleetStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStorageTest);
  CPPUNIT_TEST(acceptsChangesAfterFullDisksInTurn);
  CPPUNIT_TEST(acceptsChangesAfterWritesThatFailAtAnyStep);
  CPPUNIT_TEST(storesAgentsOnceTheDiskHasRoom);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FleetWorld> W;

  void begin() {
    W = std::make_unique<FleetWorld>(ThreeHosts);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, true);
    W->run(2s);
    CPPUNIT_ASSERT(W->leader());
  }

  /// Runs with a new change every 200 ms.
  void runWithChanges(Operator &O, Duration For) {
    for (Duration Done{}; Done < For; Done += 200ms) {
      O.change();
      for (int I = 0; I < 4; ++I) {
        O.repeat();
        W->run(50ms);
      }
    }
  }

  /// Asserts that all hosts accept changes again within the time that operators
  /// wait for an acknowledgement, and hold what was accepted last.
  void assertRecovered(Operator &O, const std::string &Name) {
    constexpr Duration AcknowledgementBound = 5s;
    O.change();
    for (Duration Done{}; Done < AcknowledgementBound; Done += 50ms) {
      O.repeat();
      W->run(50ms);
    }
    O.repeat();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t{0}, O.pending());
    W->run(1s);
    CPPUNIT_ASSERT_MESSAGE(Name, W->leader());
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(Name, " ", Host),
                                   O.lastVersion(),
                                   W->Controls.at(Host).Node->version());
    const ReadResult Read = W->read(W->leaderName());
    const auto *Current = std::get_if<CurrentRoutes>(&Read);
    CPPUNIT_ASSERT_MESSAGE(Name, Current);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Operator::document(O.lastVersion()),
                                 Current->Document);
  }

public:
  /// Guards against changes that stay unanswered long after full disks have
  /// room again: one host after the other was full for seconds, under constant
  /// changes, with restarts and additional hosts that took a vote meanwhile.
  void acceptsChangesAfterFullDisksInTurn() {
    for (std::uint64_t Seed = 1; Seed <= 24; ++Seed) {
      begin();
      std::mt19937_64 Random(Seed);
      const auto Number = [&Random](int Limit) {
        return std::uniform_int_distribution<int>(0, Limit - 1)(Random);
      };
      for (std::uint64_t Extra = Seed % 3; Extra > 0; --Extra)
        W->startControl("10.0.0." + std::to_string(10 + Extra), false);
      for (const std::string &Host : ThreeHosts)
        W->Controls.at(Host).Disk->RefusesAll = Seed % 2 == 0;
      Operator O(*W, Seed);
      for (int Turn = 0; Turn < 6; ++Turn) {
        const std::string &Host =
            ThreeHosts[static_cast<std::size_t>(Turn) % 3];
        W->Controls.at(Host).Disk->Full = true;
        runWithChanges(O, std::chrono::milliseconds(500 + 100 * Number(45)));
        if (Number(4) == 0) {
          W->kill(Host);
          W->Controls.at(Host).Disk->crash(Random);
          W->startControl(Host, false);
          runWithChanges(O, 600ms);
        }
        W->Controls.at(Host).Disk->Full = false;
        runWithChanges(O, std::chrono::milliseconds(100 * Number(20)));
      }
      assertRecovered(O, "seed " + std::to_string(Seed));
    }
  }

  /// Guards against a host that stays unusable because its disk was full at one
  /// step of a snapshot, a rename or a change of members.
  void acceptsChangesAfterWritesThatFailAtAnyStep() {
    for (std::uint64_t Step = 1; Step <= 90; ++Step) {
      begin();
      Operator O(*W, Step);
      const std::string &Host = ThreeHosts[Step % 3];
      const std::shared_ptr<FakeDisk> Disk = W->Controls.at(Host).Disk;
      Disk->FailAt = Disk->Operations + Step;
      // Enough entries for a snapshot.
      runWithChanges(O, std::chrono::milliseconds(200) *
                            static_cast<int>(LogEntriesPerSnapshot + 8));
      assertRecovered(O, "step " + std::to_string(Step));
    }
  }

  /// Guards against a list of agents that isn't stored for good because the
  /// disk was full when the list changed.
  void storesAgentsOnceTheDiskHasRoom() {
    begin();
    for (const std::string &Host : ThreeHosts)
      W->Controls.at(Host).Disk->Full = true;
    W->startDaemon("10.0.2.1", Role::Agent);
    W->run(2s);
    for (const std::string &Host : ThreeHosts)
      W->Controls.at(Host).Disk->Full = false;
    W->run(2s);
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->Controls.at(Host).Node->agents());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStorageTest);

} // namespace
