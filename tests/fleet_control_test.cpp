#include "fleet_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace jasminearch;
using namespace jasminearch::fleet;
using namespace jasminearch::fleet::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> ThreeHosts = {"10.0.0.1", "10.0.0.2",
                                             "10.0.0.3"};

class FleetControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetControlTest);
  CPPUNIT_TEST(acceptsAndReadsBack);
  CPPUNIT_TEST(acknowledgesLowerVersionsWithoutEffect);
  CPPUNIT_TEST(keepsTheFirstContentOfAVersion);
  CPPUNIT_TEST(redirectsOperatorsToTheLeader);
  CPPUNIT_TEST(cutOffLeaderAnswersNoReads);
  CPPUNIT_TEST(waitsForALeaderBeforeItGivesUp);
  CPPUNIT_TEST(keepsVersionsWhenAllAreKilled);
  CPPUNIT_TEST(keepsVersionsWhenADiskIsLost);
  CPPUNIT_TEST(replacesAHostThatIsGone);
  CPPUNIT_TEST(removedHostReturnsAsALearner);
  CPPUNIT_TEST(stepsDownWithAFullDisk);
  CPPUNIT_TEST(distributesRoutesToEveryDaemon);
  CPPUNIT_TEST(daemonsNeverRevertRoutes);
  CPPUNIT_TEST(servesNoRoutesWhileCutOff);
  CPPUNIT_TEST(daemonLeavesAControlHostThatIsCutOff);
  CPPUNIT_TEST(daemonLeavesASilentLink);
  CPPUNIT_TEST(listsAgentsEverywhere);
  CPPUNIT_TEST(forgetsAgentsThatLeave);
  CPPUNIT_TEST(keepsAgentsOverARestart);
  CPPUNIT_TEST(listsServicesOfAgents);
  CPPUNIT_TEST(restartDoesNotBringBackAnAgentThatLeft);
  CPPUNIT_TEST(listsAnAgentAgainOnceItsUpstreamRuns);
  CPPUNIT_TEST(storesADepartureBeforeALossOfPower);
  CPPUNIT_TEST(storesADepartureJustBeforeALossOfPower);
  CPPUNIT_TEST(reportsStoredAgentsThatDoNotReturn);
  CPPUNIT_TEST(storedAgentWithoutAnUpstreamLeavesAtOnce);
  CPPUNIT_TEST(storedAgentWhoseUpstreamIsLateIsListedAgain);
  CPPUNIT_TEST(tellsNobodyOfASecondDeparture);
  CPPUNIT_TEST(removesNoAgentsWithoutAQuorum);
  CPPUNIT_TEST(newHostSendsNoCompleteListBeforeItHasOne);
  CPPUNIT_TEST(listsGrowWithChangesNotWithTime);
  CPPUNIT_TEST(survivesMalformedMessages);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<FleetWorld> W;

  void begin() {
    W = std::make_unique<FleetWorld>(ThreeHosts);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, true);
    W->run(2s);
    CPPUNIT_ASSERT(W->leader());
  }

  /// Submits a configuration to the leader. \returns whether it was accepted.
  bool accepted(std::uint64_t Version, const std::string &Document) {
    W->Submitted.clear();
    W->submit(W->leaderName(), Version, Document);
    W->run(1s);
    return W->Submitted.size() == 1 &&
           std::holds_alternative<Accepted>(W->Submitted.front());
  }

  std::string documentInForce() {
    const ReadResult R = W->read(W->leaderName());
    const auto *Current = std::get_if<CurrentRoutes>(&R);
    return Current ? Current->Document : "";
  }

  std::string follower() {
    const std::string Leader = W->leaderName();
    for (const std::string &Host : ThreeHosts)
      if (Host != Leader && W->Controls.at(Host).Node)
        return Host;
    return {};
  }

  std::size_t votersKnownTo(const std::string &Host) {
    return W->Controls.at(Host).Node->voters().size();
  }

public:
  void acceptsAndReadsBack() {
    begin();
    CPPUNIT_ASSERT(std::holds_alternative<NoRoutes>(W->read(W->leaderName())));
    CPPUNIT_ASSERT(accepted(7, "{\"version\": 7}"));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"version\": 7}"), documentInForce());
  }

  /// Guards against refusing a configuration that is submitted again, and
  /// against an older one that takes effect.
  void acknowledgesLowerVersionsWithoutEffect() {
    begin();
    CPPUNIT_ASSERT(accepted(7, "seven"));
    CPPUNIT_ASSERT(accepted(7, "seven"));
    CPPUNIT_ASSERT(accepted(3, "three"));
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), documentInForce());
  }

  /// Guards against two different documents with the same version when
  /// operators submit concurrently.
  void keepsTheFirstContentOfAVersion() {
    begin();
    W->submit(W->leaderName(), 7, "first");
    W->submit(W->leaderName(), 7, "second");
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W->Submitted.size());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), documentInForce());
  }

  void redirectsOperatorsToTheLeader() {
    begin();
    W->submit(follower(), 1, "one");
    W->run(100ms);
    const auto *Redirect = std::get_if<RedirectToLeader>(&W->Submitted.at(0));
    CPPUNIT_ASSERT(Redirect && Redirect->Host == W->leaderName());
    CPPUNIT_ASSERT(
        std::holds_alternative<RedirectToLeader>(W->read(follower())));
  }

  /// Guards against reading an outdated version from a leader that is cut off.
  void cutOffLeaderAnswersNoReads() {
    begin();
    CPPUNIT_ASSERT(accepted(1, "one"));
    const std::string Old = W->leaderName();
    W->CutOffHosts = {Old};
    W->run(2s);
    CPPUNIT_ASSERT(W->leaderName() != Old);
    CPPUNIT_ASSERT(accepted(2, "two"));
    CPPUNIT_ASSERT(std::holds_alternative<Unavailable>(W->read(Old)));
    W->submit(Old, 3, "three");
    W->run(1s);
    CPPUNIT_ASSERT(std::holds_alternative<Unavailable>(W->Submitted.back()));
    W->CutOffHosts.clear();
    W->run(3s);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), documentInForce());
  }

  /// Guards against refusing an operator during an election.
  void waitsForALeaderBeforeItGivesUp() {
    begin();
    const std::string Asked = follower();
    W->kill(W->leaderName());
    W->run(100ms);
    W->submit(Asked, 1, "one");
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->Submitted.size());
    CPPUNIT_ASSERT(!std::holds_alternative<Unavailable>(W->Submitted.at(0)));
  }

  void keepsVersionsWhenAllAreKilled() {
    begin();
    CPPUNIT_ASSERT(accepted(5, "five"));
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    W->run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("five"), documentInForce());
  }

  /// Guards against treating an emptied disk as the member that it was before.
  void keepsVersionsWhenADiskIsLost() {
    begin();
    CPPUNIT_ASSERT(accepted(5, "five"));
    const std::string Lost = W->leaderName();
    W->kill(Lost);
    W->Controls.at(Lost).Disk = std::make_shared<FakeDisk>();
    W->startControl(Lost, false);
    W->run(4s);
    CPPUNIT_ASSERT_EQUAL(std::string("five"), documentInForce());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, votersKnownTo(W->leaderName()));
    // A second host fails right after the repair.
    for (const std::string &Host : ThreeHosts) {
      if (Host == Lost)
        continue;
      W->kill(Host);
      W->run(2s);
      CPPUNIT_ASSERT_EQUAL(std::string("five"), documentInForce());
      break;
    }
  }

  /// Guards against a fleet that tolerates no further loss after a host was
  /// replaced by another one with a new address.
  void replacesAHostThatIsGone() {
    begin();
    CPPUNIT_ASSERT(accepted(5, "five"));
    W->kill("10.0.0.3");
    W->startControl("10.0.0.9", false);
    W->run(MaxReplacementTime);
    const auto Voters = W->leader()->voters();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Voters.size());
    CPPUNIT_ASSERT(std::find(Voters.begin(), Voters.end(), "10.0.0.9") !=
                   Voters.end());
    const std::string Leader = W->leaderName();
    W->kill(Leader == "10.0.0.1" ? "10.0.0.1" : "10.0.0.2");
    W->run(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("five"), documentInForce());
  }

  /// Guards against a host that was replaced while it was cut off and then
  /// waits forever for a leader.
  void removedHostReturnsAsALearner() {
    begin();
    const std::string Away = follower();
    W->CutOffHosts = {Away};
    W->startControl("10.0.0.9", false);
    W->run(MaxReplacementTime);
    const auto Voters = W->leader()->voters();
    CPPUNIT_ASSERT(std::find(Voters.begin(), Voters.end(), Away) ==
                   Voters.end());
    CPPUNIT_ASSERT(accepted(8, "eight"));
    W->CutOffHosts.clear();
    W->run(4s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8},
                         W->Controls.at(Away).Node->version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, W->leader()->voters().size());
  }

  /// Guards against a leader that can't write and prevents others from leading.
  void stepsDownWithAFullDisk() {
    begin();
    const std::string Full = W->leaderName();
    W->Controls.at(Full).Disk->Full = true;
    W->submit(Full, 1, "one");
    W->run(1500ms);
    CPPUNIT_ASSERT(W->leader() && W->leaderName() != Full);
    CPPUNIT_ASSERT(accepted(1, "one"));
  }

  void distributesRoutesToEveryDaemon() {
    begin();
    W->startDaemon("10.0.1.1", Role::Entry);
    W->startDaemon("10.0.1.2", Role::Entry);
    W->run(1s);
    CPPUNIT_ASSERT(accepted(4, "four"));
    for (const auto &[Host, D] : W->Daemons)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, D.Client->version());
  }

  void daemonsNeverRevertRoutes() {
    begin();
    Daemon &D = W->startDaemon("10.0.1.1", Role::Entry);
    for (std::uint64_t Version = 1; Version <= 5; ++Version) {
      CPPUNIT_ASSERT(accepted(Version, "x"));
      W->kill(W->leaderName());
      W->run(1500ms);
      for (const std::string &Host : ThreeHosts)
        if (!W->Controls.at(Host).Node)
          W->startControl(Host, false);
      W->run(1500ms);
    }
    CPPUNIT_ASSERT(std::is_sorted(D.Versions.begin(), D.Versions.end()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, D.Client->version());
  }

  /// Guards against an outdated version at a process that has just started.
  void servesNoRoutesWhileCutOff() {
    begin();
    CPPUNIT_ASSERT(accepted(1, "one"));
    const std::string Away = follower();
    W->CutOffHosts = {Away, "10.0.1.1"};
    W->run(2s);
    CPPUNIT_ASSERT(accepted(2, "two"));
    Daemon &D = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(2s);
    CPPUNIT_ASSERT(!D.Client->current());
    CPPUNIT_ASSERT(D.Versions.empty());
    W->CutOffHosts.clear();
    W->run(4s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, D.Client->version());
    CPPUNIT_ASSERT(D.Client->current());
  }

  void daemonLeavesAControlHostThatIsCutOff() {
    begin();
    Daemon &D = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(1s);
    CPPUNIT_ASSERT(accepted(1, "one"));
    // Each control host is suspended once, so that the daemon's own is among
    // them. Links to it stay open.
    for (const std::string &Host : ThreeHosts) {
      W->SuspendedHosts = {Host};
      W->run(3s);
      const std::uint64_t Version = D.Client->version() + 1;
      CPPUNIT_ASSERT(accepted(Version, "x"));
      W->run(3s);
      CPPUNIT_ASSERT_EQUAL(Version, D.Client->version());
      W->SuspendedHosts.clear();
      W->run(2s);
    }
  }

  /// Guards against a connection that becomes silent without being closed.
  void daemonLeavesASilentLink() {
    begin();
    Daemon &D = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(1s);
    for (auto &[Id, Other] : W->Hubs.at("10.0.1.1")->Links)
      Other.second = 0;
    for (const std::string &Host : ThreeHosts)
      std::erase_if(W->Hubs.at(Host)->Links, [](const auto &Item) {
        return Item.second.first == "10.0.1.1";
      });
    CPPUNIT_ASSERT(accepted(1, "one"));
    W->run(3s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, D.Client->version());
  }

  void listsAgentsEverywhere() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(1s);
    for (const char *Host : {"10.0.2.1", "10.0.2.2", "10.0.2.3"})
      W->startDaemon(Host, Role::Agent);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Entry.Agents.size());
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, W->Controls.at(Host).Node->agents());
  }

  /// Guards against agent lists that add an agent again after it has left.
  void forgetsAgentsThatLeave() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    Daemon &Agent = W->startDaemon("10.0.2.1", Role::Agent);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.Agents.size());
    Agent.Client->setListed(false);
    W->run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.DepartedAgents.size());
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W->Controls.at(Host).Node->agents());
  }

  /// Guards against entry hosts that know only the first agents that return
  /// after a power loss.
  void keepsAgentsOverARestart() {
    begin();
    W->startDaemon("10.0.2.1", Role::Agent);
    W->run(4s);
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    W->kill("10.0.2.1");
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->Controls.at(Host).Node->agents());
    W->run(AgentRecordLifetime + 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W->leader()->agents());
  }

  /// Guards against entry hosts that can't place flows because they don't know
  /// which service an agent's upstream belongs to, or know a former one.
  void listsServicesOfAgents() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    Daemon &Agent = W->startDaemon("10.0.2.1", Role::Agent);
    W->run(1s);
    for (const std::uint32_t Tag : {7U, 9U}) {
      Agent.Client->setServiceTag(Tag);
      W->run(200ms);
      CPPUNIT_ASSERT_EQUAL(Tag, Entry.ServiceTags.begin()->second);
    }
    Daemon &Later = W->startDaemon("10.0.1.2", Role::Entry);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(9U, Later.ServiceTags.begin()->second);
  }

  /// Guards against an agent that left while a control host was down: the
  /// host's stored list must not bring it back at the others.
  void restartDoesNotBringBackAnAgentThatLeft() {
    begin();
    Daemon &Agent = W->startDaemon("10.0.2.1", Role::Agent);
    W->run(4s);
    const std::string Down = follower();
    W->kill(Down);
    W->run(1s);
    Agent.Client->setListed(false);
    W->run(1s);
    W->kill("10.0.2.1");
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->startControl(Down, false);
    for (int I = 0; I < 50; ++I) {
      W->run(100ms);
      for (const std::string &Host : ThreeHosts)
        if (Host != Down)
          CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                               W->Controls.at(Host).Node->agents());
    }
    CPPUNIT_ASSERT_EQUAL(Entry.Agents.size(), Entry.DepartedAgents.size());
  }

  /// Guards against searches that wait for agents without an upstream, and
  /// against agents that stay unknown once their upstream runs again.
  void listsAnAgentAgainOnceItsUpstreamRuns() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    Daemon &Agent = W->startDaemon("10.0.2.1", Role::Agent);
    Agent.Client->setListed(false);
    W->run(5s);
    CPPUNIT_ASSERT(Entry.Agents.empty());
    for (int I = 0; I < 2; ++I) {
      Agent.Client->setListed(true);
      W->run(200ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->leader()->agents());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.Agents.size());
      Agent.Client->setListed(false);
      W->run(200ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W->leader()->agents());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.DepartedAgents.size());
      W->run(5s);
    }
  }

  /// Guards against searches that wait for an agent that has left: it left one
  /// second before all hosts lost power, and the stored lists still had it.
  void storesADepartureBeforeALossOfPower() { loseADeparture(1s); }

  /// Guards against a departure that is lost because the next regular store of
  /// the agents came too late.
  void storesADepartureJustBeforeALossOfPower() {
    loseADeparture(AgentStoreInterval / 2);
  }

  /// Lets all hosts lose power after an agent has left, and checks that no
  /// control host loads the agent again.
  void loseADeparture(Duration TimeBefore) {
    begin();
    Daemon &Agent = W->startDaemon("10.0.2.1", Role::Agent);
    W->run(4s);
    Agent.Client->setListed(false);
    W->run(TimeBefore);
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    W->kill("10.0.2.1");
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    for (const std::string &Host : ThreeHosts)
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W->Controls.at(Host).Node->agents());
  }

  /// Guards against searches that wait 20 s for hosts that did not come back
  /// after a loss of power.
  void reportsStoredAgentsThatDoNotReturn() {
    begin();
    W->startDaemon("10.0.2.1", Role::Agent);
    W->startDaemon("10.0.2.2", Role::Agent);
    W->run(4s);
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    W->kill("10.0.2.1");
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(StoredAgentLifetime - 500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Entry.Agents.size());
    CPPUNIT_ASSERT(Entry.DepartedAgents.empty());
    W->run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.DepartedAgents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->leader()->agents());
  }

  /// Restarts all control hosts and the agent, which finds no upstream.
  /// \returns an entry host that starts with them.
  Daemon &restartWithoutUpstream() {
    begin();
    W->startDaemon("10.0.2.1", Role::Agent);
    W->run(4s);
    for (const std::string &Host : ThreeHosts)
      W->kill(Host);
    W->kill("10.0.2.1");
    for (const std::string &Host : ThreeHosts)
      W->startControl(Host, false);
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->startDaemon("10.0.2.1", Role::Agent).Client->setListed(false);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.ListedAgents.size());
    W->Daemons.at("10.0.2.1").Client->reportMissingUpstream();
    W->run(1s);
    return Entry;
  }

  /// Guards against searches that wait for an agent that stops again because
  /// its upstream didn't return after a loss of power.
  void storedAgentWithoutAnUpstreamLeavesAtOnce() {
    const Daemon &Entry = restartWithoutUpstream();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.DepartedAgents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W->leader()->agents());
    CPPUNIT_ASSERT(!W->Daemons.at("10.0.2.1").Client->linked());
  }

  /// Guards against messages to all hosts for each agent without an upstream
  /// while a fleet returns after a loss of power.
  void tellsNobodyOfASecondDeparture() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->startDaemon("10.0.2.1", Role::Agent).Client->setServiceTag(7);
    W->run(1s);
    W->Daemons.at("10.0.2.1").Client->setListed(false);
    W->run(1s);
    W->kill("10.0.2.1");
    const auto Messages = [this] {
      std::uint64_t Sum = 0;
      for (const std::string &Host : ThreeHosts)
        Sum += W->Controls.at(Host).Node->directoryCounters().Sent;
      return Sum;
    };
    W->run(DigestInterval);
    const std::uint64_t Before = Messages();
    W->run(DigestInterval);
    const std::uint64_t Usual = Messages() - Before;
    Entry.DepartedAgents.clear();
    W->startDaemon("10.0.2.1", Role::Agent).Client->setListed(false);
    W->Daemons.at("10.0.2.1").Client->reportMissingUpstream();
    const std::uint64_t Again = Messages();
    W->run(DigestInterval);
    CPPUNIT_ASSERT_EQUAL(Usual, Messages() - Again);
    CPPUNIT_ASSERT(!W->Daemons.at("10.0.2.1").Client->linked());
    CPPUNIT_ASSERT(Entry.DepartedAgents.empty());
  }

  /// Guards against an agent that stays unlisted because its upstream started
  /// later than it.
  void storedAgentWhoseUpstreamIsLateIsListedAgain() {
    const Daemon &Entry = restartWithoutUpstream();
    CPPUNIT_ASSERT(Entry.ListedAgents.empty());
    W->Daemons.at("10.0.2.1").Client->setListed(true);
    W->run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.ListedAgents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->leader()->agents());
  }

  /// Guards against giving up the flows of live agents: a control host that is
  /// cut off hears from no agent.
  void removesNoAgentsWithoutAQuorum() {
    begin();
    W->startDaemon("10.0.2.1", Role::Agent);
    W->run(2s);
    const std::string CutOff = follower();
    W->CutOffHosts.insert(CutOff);
    W->run(3 * AgentRecordLifetime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->Controls.at(CutOff).Node->agents());
    W->CutOffHosts.clear();
    W->run(AgentRecordLifetime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W->Controls.at(CutOff).Node->agents());
  }

  /// Guards against entry hosts that reset live flows because a control host
  /// with an empty disk sent its partial list of agents as a complete one.
  void newHostSendsNoCompleteListBeforeItHasOne() {
    W = std::make_unique<FleetWorld>(std::vector<std::string>{"10.0.0.1"});
    W->startControl("10.0.0.1", true);
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->run(AgentListGracePeriod - 500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Entry.CompleteLists);
    W->run(AgentListGracePeriod + 1s);
    CPPUNIT_ASSERT(Entry.CompleteLists > 0);
  }

  /// Guards against lists of all agents that are sent every few seconds: at
  /// 30,000 agents they take more than the link of an entry host.
  void listsGrowWithChangesNotWithTime() {
    begin();
    Daemon &Entry = W->startDaemon("10.0.1.1", Role::Entry);
    W->startDaemon("10.0.2.1", Role::Agent);
    W->run(1s);
    const std::size_t Before = Entry.CompleteLists;
    W->run(2 * AgentListInterval);
    CPPUNIT_ASSERT(Entry.CompleteLists - Before <= 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Entry.Agents.size());
  }

  void survivesMalformedMessages() {
    begin();
    const auto Handlers = W->Controls.at("10.0.0.1").Node->linkHandlers();
    Handlers.Opened(999'999, true);
    for (const Bytes &Bad :
         {Bytes{}, Bytes{0xFF}, encode(Status{}), Bytes{0x82, 0x18, 0x63, 0x80},
          Bytes{0x82, 0x05, 0x81, 0x41, 0x00}})
      Handlers.Received(999'999, Bad);
    W->run(1s);
    CPPUNIT_ASSERT(accepted(1, "one"));
  }

private:
  /// Time until a lost host must have been replaced: users count it as repaired
  /// after this time.
  static constexpr Duration MaxReplacementTime = 4s;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetControlTest);

class FleetMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMessagesTest);
  CPPUNIT_TEST(keepsEveryField);
  CPPUNIT_TEST(listsTheServicesOfEntriesOfEarlierVersions);
  CPPUNIT_TEST(rejectsTruncatedMessages);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<Message> samples() {
    flow::RouteTable Table;
    Table.Version = 9;
    flow::Route R;
    R.Name = "r";
    R.Address = {1, 2};
    R.Kind = flow::RequestKind::Download;
    R.Targets = {{"a", 1.5}, {"b", 3}};
    R.Timeout = 1500ms;
    R.LatencyObjective = 250ms;
    R.Priority = 2;
    Table.Routes = {R};
    Table.Services = {"a", "b"};
    Table.IdleTimeout = 15s;
    return {Hello{Role::Agent, "10.0.0.1", {3, 4}, 5},
            Status{70ms, 6},
            ControlHosts{{"10.0.0.1", "10.0.0.2"}},
            Agents{{{{1, 2}, 3, 4, 5, true, 7, "10.0.0.1"},
                    {{3, 4}, 0, 0, 0, false, 0, ""}},
                   true,
                   9},
            Consensus{{1, 2, 3}},
            Routes{Table},
            DirectoryDigest{7, true, {{"10.0.0.1", 8}}},
            DirectoryBuckets{{1, 2, 3}},
            EarlierRuns{},
            EarlierRuns{1500ms}};
  }

public:
  void keepsEveryField() {
    for (const Message &M : samples()) {
      const auto Back = decode(encode(M));
      CPPUNIT_ASSERT(Back && *Back == M);
    }
    const AcceptedRoutes Value =
        makeAcceptedRoutes(std::get<Routes>(samples().at(5)).Table, "{ }");
    const auto Back = decodeAcceptedRoutes(encodeAcceptedRoutes(Value));
    CPPUNIT_ASSERT(Back && *Back == Value);
    CPPUNIT_ASSERT_EQUAL(std::string("{ }"), *decodeDocument(*Back));
  }

  /// Guards against an update after which agents know no service: earlier
  /// versions stored configurations without a list of them.
  void listsTheServicesOfEntriesOfEarlierVersions() {
    const AcceptedRoutes Value =
        makeAcceptedRoutes(std::get<Routes>(samples().at(5)).Table, "{ }");
    CPPUNIT_ASSERT(!Value.Services.empty());
    auto Fields = nlohmann::json::from_cbor(encodeAcceptedRoutes(Value));
    Fields.erase(3);
    const auto Back = decodeAcceptedRoutes(nlohmann::json::to_cbor(Fields));
    CPPUNIT_ASSERT(Back && *Back == Value);
    auto Limits = nlohmann::json::from_cbor(
        encode(ServiceLimits{4, {{"s", 4s, 2.5}}, {"s", "t"}}));
    Limits.at(1).erase(2);
    const auto Earlier = decode(nlohmann::json::to_cbor(Limits));
    CPPUNIT_ASSERT(Earlier);
    CPPUNIT_ASSERT((std::get<ServiceLimits>(*Earlier) ==
                    ServiceLimits{4, {{"s", 4s, 2.5}}}));
  }

  void rejectsTruncatedMessages() {
    for (const Message &M : samples()) {
      const Bytes Whole = encode(M);
      for (std::size_t Size = 0; Size < Whole.size(); ++Size)
        CPPUNIT_ASSERT(!decode(Bytes(
            Whole.begin(), Whole.begin() + static_cast<std::ptrdiff_t>(Size))));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMessagesTest);

} // namespace
