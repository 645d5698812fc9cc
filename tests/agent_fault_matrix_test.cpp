#include "agent_world.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace jasminearch;
using namespace jasminearch::agent;
using namespace jasminearch::agent::test;

namespace {

struct NamedSession {
  const char *Name;
  SessionKind Kind;
  bool RunsOnce;
};
const NamedSession Sessions[] = {
    {"get", SessionKind::Get, false},
    {"block-get", SessionKind::BlockGet, false},
    {"post", SessionKind::Post, true},
    {"separate-post", SessionKind::SeparatePost, true},
    {"block-post", SessionKind::BlockPost, true},
    {"feed", SessionKind::Feed, false},
};

/// What a caller may be told besides the answer.
enum class Allowed { AnswerOnly, NotRun, Any };
struct NamedFault {
  const char *Name;
  Fault Which;
  Allowed May;
};
const NamedFault Faults[] = {
    {"duplicate", Fault::Duplicate, Allowed::AnswerOnly},
    {"late duplicate", Fault::LateDuplicate, Allowed::AnswerOnly},
    {"delay", Fault::Delay, Allowed::AnswerOnly},
    {"reorder", Fault::Reorder, Allowed::AnswerOnly},
    {"loss", Fault::Loss, Allowed::AnswerOnly},
    {"restart with records", Fault::RestartWithRecords, Allowed::AnswerOnly},
    {"restart without records", Fault::RestartWithout, Allowed::Any},
    {"table move", Fault::TableMove, Allowed::AnswerOnly},
    {"move, late duplicate", Fault::MoveWithLateDuplicate, Allowed::AnswerOnly},
    {"drain", Fault::Drain, Allowed::NotRun},
    {"drain and back, late duplicate", Fault::DrainAndBack, Allowed::NotRun},
    {"sibling kill", Fault::SiblingKill, Allowed::AnswerOnly},
    {"entry kill", Fault::EntryKill, Allowed::AnswerOnly},
    {"deadline", Fault::Deadline, Allowed::Any},
    {"clock jump", Fault::ClockJump, Allowed::Any},
};

struct NamedCaller {
  const char *Name;
  CallerKind Kind;
};
const NamedCaller Callers[] = {
    {"acknowledges repeats", CallerKind::AcknowledgesRepeats},
    {"drops repeats", CallerKind::DropsRepeats},
};

/// About 3 s in an optimised build: each draw plays two sessions of 4 ms.
constexpr int PairDraws = 300;

std::uint64_t seed() {
  const char *Text = std::getenv("JASMINEARCH_SEED");
  return Text == nullptr ? 1 : std::stoull(Text);
}

/// Counts the cells of all tests of this suite.
struct Tally {
  int Cells = 0;
  int Failed = 0;
};
Tally Total;

std::string count(const std::string &Cell, const std::string &Problem) {
  ++Total.Cells;
  if (Problem.empty())
    return {};
  ++Total.Failed;
  return "\n" + Cell + ", seed " + std::to_string(seed()) + ":" + Problem;
}

/// \returns what is wrong, if anything, when the faults together allow \p May.
std::string check(const World &After, const NamedSession &Session,
                  Allowed May) {
  const Result Outcome = After.Caller.Outcome;
  std::string Problem;
  int Most = 0;
  int Total = 0;
  for (const auto &[Id, Count] : After.Runs) {
    Most = std::max(Most, Count);
    Total += Count;
  }
  if (Outcome == Result::Open)
    Problem += " no outcome;";
  if (After.Caller.Wrong)
    Problem += " wrong answer;";
  if (Session.RunsOnce && Total > 1)
    Problem += " ran " + std::to_string(Total) + " times;";
  if (Outcome == Result::NotRun && Total > 0)
    Problem += " ran although told not run;";
  if (Session.RunsOnce && Outcome == Result::Answered && Total != 1)
    Problem += " answered without a run;";
  if (May == Allowed::AnswerOnly && Outcome != Result::Answered)
    Problem += " not answered;";
  if (May == Allowed::NotRun && Outcome == Result::Unknown)
    Problem += " outcome unknown;";
  return Problem;
}

class AgentFaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentFaultMatrixTest);
  CPPUNIT_TEST(sessionsSurviveWithoutFaults);
  CPPUNIT_TEST(everyFaultAtEveryStep);
  CPPUNIT_TEST(drawnPairsOfFaults);
  CPPUNIT_TEST(countsEveryCell);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fakes that never reach the steps that faults strike.
  void sessionsSurviveWithoutFaults() {
    for (const NamedSession &Session : Sessions) {
      World Run;
      Run.play(Session.Kind, Fault::None, 0);
      CPPUNIT_ASSERT_MESSAGE(Session.Name,
                             Run.Caller.Outcome == Result::Answered);
      CPPUNIT_ASSERT_MESSAGE(Session.Name, !Run.Caller.Wrong);
      CPPUNIT_ASSERT_MESSAGE(Session.Name, Run.Steps >= 2);
    }
  }

  /// Guards against a second run, a false "not run", a wrong answer, a lost
  /// outcome or a broken line under any single fault.
  void everyFaultAtEveryStep() {
    std::string Problems;
    int Cases = 0;
    int Outcomes[4] = {};
    for (const NamedCaller &Caller : Callers) {
      for (const NamedSession &Session : Sessions) {
        World Plain;
        Plain.Caller.Behaviour = Caller.Kind;
        Plain.play(Session.Kind, Fault::None, 0);
        for (const NamedFault &Fault : Faults) {
          for (std::size_t Step = 0; Step < Plain.Steps; ++Step) {
            World Run;
            Run.Caller.Behaviour = Caller.Kind;
            Run.play(Session.Kind, Fault.Which, Step);
            ++Cases;
            ++Outcomes[static_cast<int>(Run.Caller.Outcome)];
            std::string Problem = check(Run, Session, Fault.May);
            if (Run.Struck != 1)
              Problem += " fault not reached;";
            if (Fault.Which == Fault::Loss)
              for (const Node &Each : Run.Agents)
                if (Each.Up.GivenUp > 0)
                  Problem += " upstream never got an acknowledgement;";
            Problems +=
                count(std::string(Caller.Name) + ", " + Session.Name + ", " +
                          Fault.Name + ", step " + std::to_string(Step),
                      Problem);
          }
        }
      }
    }
    std::cout << " [" << Cases << " cases: " << Outcomes[1] << " answered, "
              << Outcomes[2] << " not run, " << Outcomes[3] << " unknown] ";
    CPPUNIT_ASSERT_MESSAGE(Problems, Problems.empty());
    CPPUNIT_ASSERT_EQUAL(Cases, Outcomes[1] + Outcomes[2] + Outcomes[3]);
  }

  /// Guards against the same failures when a second fault strikes at a later
  /// step of the session that the first one has already disturbed.
  void drawnPairsOfFaults() {
    std::mt19937_64 Random(seed());
    const auto Draw = [&Random](std::size_t Below) { return Random() % Below; };
    std::string Problems;
    std::map<std::pair<std::string, std::string>, std::size_t> PlainSteps;
    int Outcomes[4] = {};
    for (int Drawn = 0; Drawn < PairDraws;) {
      const NamedCaller &Caller = Callers[Draw(std::size(Callers))];
      const NamedSession &Session = Sessions[Draw(std::size(Sessions))];
      const NamedFault &First = Faults[Draw(std::size(Faults))];
      const NamedFault &Second = Faults[Draw(std::size(Faults))];
      std::size_t &Steps = PlainSteps[{Caller.Name, Session.Name}];
      if (Steps == 0) {
        World Plain;
        Plain.Caller.Behaviour = Caller.Kind;
        Plain.play(Session.Kind, Fault::None, 0);
        Steps = Plain.Steps;
      }
      const std::size_t FirstStep = Draw(Steps);
      World Single;
      Single.Caller.Behaviour = Caller.Kind;
      Single.play(Session.Kind, First.Which, FirstStep);
      // Without a later step there is nothing for the second fault to strike.
      if (Single.Steps <= FirstStep + 1)
        continue;
      const std::size_t SecondStep =
          FirstStep + 1 + Draw(Single.Steps - FirstStep - 1);
      ++Drawn;
      World Run;
      Run.Caller.Behaviour = Caller.Kind;
      Run.play(Session.Kind,
               {{First.Which, FirstStep}, {Second.Which, SecondStep}});
      ++Outcomes[static_cast<int>(Run.Caller.Outcome)];
      std::string Problem =
          check(Run, Session, std::max(First.May, Second.May));
      if (Run.Struck != 2)
        Problem += " fault not reached;";
      Problems += count(std::string(Caller.Name) + ", " + Session.Name + ", " +
                            First.Name + " at step " +
                            std::to_string(FirstStep) + " and " + Second.Name +
                            " at step " + std::to_string(SecondStep),
                        Problem);
    }
    std::cout << " [" << PairDraws << " pairs: " << Outcomes[1] << " answered, "
              << Outcomes[2] << " not run, " << Outcomes[3] << " unknown] ";
    CPPUNIT_ASSERT_MESSAGE(Problems, Problems.empty());
  }

  /// Runs last. Guards against a matrix that ends early; prints the counts for
  /// scripts/fault-matrix.
  void countsEveryCell() {
    if (std::getenv("JASMINEARCH_MATRIX_JSON") != nullptr)
      std::cout << "\n{\"cells\":" << Total.Cells
                << ",\"passed\":" << Total.Cells - Total.Failed
                << ",\"failed\":" << Total.Failed << ",\"seed\":" << seed()
                << "}\n";
    CPPUNIT_ASSERT(Total.Cells > PairDraws);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentFaultMatrixTest);

} // namespace
