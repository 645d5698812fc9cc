#include "agent_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;

namespace {

const std::string Folder =
    std::string(JASMINEARCH_SOURCE_DIR) + "/tests/golden/";

/// One session of a deployment: what the caller does and what strikes it.
struct Scene {
  const char *Title;
  SessionKind Kind;
  Fault Strikes;
  std::size_t Step;
};

/// Plays the scenes in fresh worlds and returns every datagram with its time.
std::string record(const std::vector<Scene> &Scenes, std::uint32_t Slots,
                   std::size_t Upstreams) {
  std::ostringstream Out;
  for (const Scene &Each : Scenes) {
    Out << "== " << Each.Title << '\n';
    World W(Upstreams, Slots);
    W.Trace = [&](const std::string &Line) {
      const auto At = std::chrono::duration_cast<std::chrono::milliseconds>(
          W.Now.time_since_epoch());
      Out << At.count() << " ms  " << Line << '\n';
    };
    W.play(Each.Kind, Each.Strikes, Each.Step);
    static const char *const Names[] = {"open", "answered", "not run",
                                        "unknown"};
    Out << "outcome: " << Names[static_cast<int>(W.Caller.Outcome)] << '\n';
    for (const auto &[Id, Count] : W.Runs)
      Out << "ran: " << Id << " x " << Count << '\n';
  }
  return Out.str();
}

/// \returns the first line that differs, or nothing.
std::string difference(const std::string &Wanted, const std::string &Seen) {
  std::istringstream Left(Wanted);
  std::istringstream Right(Seen);
  std::string L;
  std::string R;
  for (int Number = 1;; ++Number) {
    const bool HaveL = static_cast<bool>(std::getline(Left, L));
    const bool HaveR = static_cast<bool>(std::getline(Right, R));
    if (!HaveL && !HaveR)
      return "";
    if (HaveL != HaveR || L != R)
      return "line " + std::to_string(Number) + "\n- " +
             (HaveL ? L : "(end of file)") + "\n+ " +
             (HaveR ? R : "(end of file)");
  }
}

/// Compares with a golden file, or writes it when
/// JASMINEARCH_WRITE_GOLDEN is set.
void compare(const std::string &Name, const std::string &Seen) {
  if (std::getenv("JASMINEARCH_WRITE_GOLDEN") != nullptr)
    std::ofstream(Folder + Name) << Seen;
  std::ifstream File(Folder + Name);
  CPPUNIT_ASSERT_MESSAGE("can't read " + Folder + Name, File.good());
  std::ostringstream Wanted;
  Wanted << File.rdbuf();
  const std::string Changed = difference(Wanted.str(), Seen);
  CPPUNIT_ASSERT_MESSAGE(Name + ", " + Changed, Changed.empty());
}

class AgentGoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentGoldenTest);
  CPPUNIT_TEST(pantuflasOrder);
  CPPUNIT_TEST(pantuflasCatalogue);
  CPPUNIT_TEST(suriyawongLexicon);
  CPPUNIT_TEST(suriyawongProofhouse);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an unnoticed change in what tablets and their upstreams
  /// are sent: lines, cutting lists and stitching confirmations.
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
                 SessionKind::Post, Fault::RestartWithout, 2}},
               7, 7));
  }

  /// Guards against photo sheets that arrive in parts of different upstreams.
  void pantuflasCatalogue() {
    compare(
        "agent_pantuflas_catalogue.txt",
        record({{"photo sheet", SessionKind::BlockGet, Fault::None, 0},
                {"photo sheet, table move", SessionKind::BlockGet,
                 Fault::TableMove, 1},
                {"photo sheet, loss", SessionKind::BlockGet, Fault::Loss, 3}},
               7, 3));
  }

  /// Guards against feeds that end at a planned restart, and against paid
  /// translations that run twice.
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

  /// Guards against artwork requests that outlive their deadline unanswered.
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
