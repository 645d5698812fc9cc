#include "agent_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;

namespace {

const std::string GoldenFolder =
    std::string(JASMINEARCH_SOURCE_DIR) + "/tests/golden/";

/// A session of a deployment, and the fault injected at one of its steps.
struct Scenario {
  const char *Title;
  SessionKind Kind;
  Fault FaultType;
  std::size_t Step;
};

/// Runs each scenario in a new simulation.
/// \returns a trace of all datagrams with their times.
std::string record(const std::vector<Scenario> &Scenarios, std::uint32_t Slots,
                   std::size_t Upstreams) {
  std::ostringstream Out;
  for (const Scenario &Session : Scenarios) {
    Out << "== " << Session.Title << '\n';
    AgentSimulation Sim(Upstreams, Slots);
    Sim.Trace = [&](const std::string &Line) {
      const auto Elapsed =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Sim.Now.time_since_epoch());
      Out << Elapsed.count() << " ms  " << Line << '\n';
    };
    Sim.runSession(Session.Kind, Session.FaultType, Session.Step);
    static const char *const Names[] = {"open", "answered", "not run",
                                        "unknown"};
    Out << "outcome: " << Names[static_cast<int>(Sim.Caller.Outcome)] << '\n';
    for (const auto &[Id, Count] : Sim.Runs)
      Out << "ran: " << Id << " x " << Count << '\n';
  }
  return Out.str();
}

/// \returns the first line that differs, or an empty string.
std::string difference(const std::string &Expected, const std::string &Actual) {
  std::istringstream ExpectedLines(Expected);
  std::istringstream ActualLines(Actual);
  std::string ExpectedLine;
  std::string ActualLine;
  for (int Number = 1;; ++Number) {
    const bool HasExpected =
        static_cast<bool>(std::getline(ExpectedLines, ExpectedLine));
    const bool HasActual =
        static_cast<bool>(std::getline(ActualLines, ActualLine));
    if (!HasExpected && !HasActual)
      return "";
    if (HasExpected != HasActual || ExpectedLine != ActualLine)
      return "line " + std::to_string(Number) + "\n- " +
             (HasExpected ? ExpectedLine : "(end of file)") + "\n+ " +
             (HasActual ? ActualLine : "(end of file)");
  }
}

/// Compares a trace with a golden file. Writes the file first if
/// JASMINEARCH_WRITE_GOLDEN is set.
void compare(const std::string &Name, const std::string &Actual) {
  if (std::getenv("JASMINEARCH_WRITE_GOLDEN") != nullptr)
    std::ofstream(GoldenFolder + Name) << Actual;
  std::ifstream File(GoldenFolder + Name);
  CPPUNIT_ASSERT_MESSAGE("failed to read " + GoldenFolder + Name, File.good());
  std::ostringstream Expected;
  Expected << File.rdbuf();
  const std::string Changed = difference(Expected.str(), Actual);
  CPPUNIT_ASSERT_MESSAGE(Name + ", " + Changed, Changed.empty());
}

class AgentGoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentGoldenTest);
  CPPUNIT_TEST(pantuflasOrder);
  CPPUNIT_TEST(pantuflasCatalogue);
  CPPUNIT_TEST(suriyawongLexicon);
  CPPUNIT_TEST(suriyawongProofhouse);
  CPPUNIT_TEST_SUITE_END();

  /// Datagrams of tablets and their upstreams: lines, cutting lists and
  /// stitching confirmations.
  void pantuflasOrder() {
    compare(
        "agent_pantuflas_order.txt",
        record({{"tablet line", SessionKind::Feed, Fault::None, 0},
                {"tablet line, table move", SessionKind::Feed, Fault::TableMove,
                 3},
                {"cutting list, drain", SessionKind::Get, Fault::Drain, 0},
                {"stitching confirmation", SessionKind::Post, Fault::None, 0},
                {"stitching confirmation, late duplicate after a move",
                 SessionKind::Post, Fault::MoveWithLateDuplicate, 2},
                {"stitching confirmation, drain", SessionKind::Post,
                 Fault::Drain, 2},
                {"stitching confirmation, restart without records",
                 SessionKind::Post, Fault::RestartWithoutRecords, 2}},
               7, 7));
  }

  /// All blocks of a photo sheet must come from the same upstream.
  void pantuflasCatalogue() {
    compare(
        "agent_pantuflas_catalogue.txt",
        record({{"photo sheet", SessionKind::BlockGet, Fault::None, 0},
                {"photo sheet, table move", SessionKind::BlockGet,
                 Fault::TableMove, 1},
                {"photo sheet, loss", SessionKind::BlockGet, Fault::Loss, 3}},
               7, 3));
  }

  /// Feeds must continue over a planned restart, and paid translations must not
  /// run twice.
  void suriyawongLexicon() {
    compare(
        "agent_suriyawong_lexicon.txt",
        record({{"glossary feed, restart with records", SessionKind::Feed,
                 Fault::RestartWithRecords, 2},
                {"translation, separate response", SessionKind::SeparatePost,
                 Fault::None, 0},
                {"translation, duplicate", SessionKind::SeparatePost,
                 Fault::Duplicate, 2},
                {"long translation", SessionKind::BlockPost, Fault::None, 0},
                {"long translation, table move", SessionKind::BlockPost,
                 Fault::TableMove, 4}},
               4, 7));
  }

  /// Artwork requests must be answered by their deadline.
  void suriyawongProofhouse() {
    compare("agent_suriyawong_proofhouse.txt",
            record({{"artwork", SessionKind::Get, Fault::None, 0},
                    {"artwork, deadline", SessionKind::Get, Fault::Deadline, 0},
                    {"artwork, entry host killed", SessionKind::Get,
                     Fault::EntryKill, 0}},
                   4, 3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentGoldenTest);

} // namespace
