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

/// Outcomes that a caller may see besides the answer.
enum class AllowedOutcome { AnswerOnly, NotRun, Any };
struct NamedFault {
  const char *Name;
  Fault Type;
  AllowedOutcome MayEndWith;
};
const NamedFault Faults[] = {
    {"duplicate", Fault::Duplicate, AllowedOutcome::AnswerOnly},
    {"late duplicate", Fault::LateDuplicate, AllowedOutcome::AnswerOnly},
    {"delay", Fault::Delay, AllowedOutcome::AnswerOnly},
    {"reorder", Fault::Reorder, AllowedOutcome::AnswerOnly},
    {"loss", Fault::Loss, AllowedOutcome::AnswerOnly},
    {"restart with records", Fault::RestartWithRecords,
     AllowedOutcome::AnswerOnly},
    {"restart without records", Fault::RestartWithoutRecords,
     AllowedOutcome::Any},
    {"table move", Fault::TableMove, AllowedOutcome::AnswerOnly},
    {"move, late duplicate", Fault::MoveWithLateDuplicate,
     AllowedOutcome::AnswerOnly},
    {"drain", Fault::Drain, AllowedOutcome::NotRun},
    {"drain and back, late duplicate", Fault::DrainAndBack,
     AllowedOutcome::NotRun},
    {"sibling kill", Fault::SiblingKill, AllowedOutcome::AnswerOnly},
    {"entry kill", Fault::EntryKill, AllowedOutcome::AnswerOnly},
    {"deadline", Fault::Deadline, AllowedOutcome::Any},
    {"clock jump", Fault::ClockJump, AllowedOutcome::Any},
};

struct NamedCaller {
  const char *Name;
  CallerBehaviour Kind;
};
const NamedCaller Callers[] = {
    {"acknowledges repeats", CallerBehaviour::AcknowledgesRepeats},
    {"drops repeats", CallerBehaviour::DropsRepeats},
};

/// Takes about 3 s in an optimized build: each pair runs two sessions of 4 ms.
constexpr int RandomPairs = 300;

std::uint64_t testSeed() {
  const char *Text = std::getenv("JASMINEARCH_SEED");
  return Text == nullptr ? 1 : std::stoull(Text);
}

/// Number of cells (combinations of caller, session and faults) run by all
/// tests of this suite.
struct CellCounts {
  int Cells = 0;
  int Failed = 0;
};
CellCounts Total;

std::string recordCell(const std::string &Cell, const std::string &Problem) {
  ++Total.Cells;
  if (Problem.empty())
    return {};
  ++Total.Failed;
  return "\n" + Cell + ", seed " + std::to_string(testSeed()) + ":" + Problem;
}

/// \returns descriptions of all problems of a finished session, empty if there
/// are none. \p MayEndWith is what the injected faults allow.
std::string findProblems(const AgentSimulation &Simulation,
                         const NamedSession &Session,
                         AllowedOutcome MayEndWith) {
  const Result Outcome = Simulation.Caller.Outcome;
  std::string Problem;
  int MaxRuns = 0;
  int TotalRuns = 0;
  for (const auto &[Id, Count] : Simulation.Runs) {
    MaxRuns = std::max(MaxRuns, Count);
    TotalRuns += Count;
  }
  if (Outcome == Result::Open)
    Problem += " the session has no outcome;";
  if (Simulation.Caller.WrongAnswer)
    Problem += " the caller got a wrong answer;";
  if (Session.RunsOnce && TotalRuns > 1)
    Problem += " ran " + std::to_string(TotalRuns) + " times;";
  if (Outcome == Result::NotRun && TotalRuns > 0)
    Problem += " ran although the caller was told that it did not run;";
  if (Session.RunsOnce && Outcome == Result::Answered && TotalRuns != 1)
    Problem += " answered, but did not run exactly once;";
  if (MayEndWith == AllowedOutcome::AnswerOnly && Outcome != Result::Answered)
    Problem += " expected an answer;";
  if (MayEndWith == AllowedOutcome::NotRun && Outcome == Result::Unknown)
    Problem += " the outcome must not be unknown;";
  return Problem;
}

class AgentFaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentFaultMatrixTest);
  CPPUNIT_TEST(sessionsSurviveWithoutFaults);
  CPPUNIT_TEST(everyFaultAtEveryStep);
  CPPUNIT_TEST(randomPairsOfFaults);
  CPPUNIT_TEST(reportsCellCounts);
  CPPUNIT_TEST_SUITE_END();

  /// Without a fault every session must be answered and have steps at which
  /// faults can be injected.
  void sessionsSurviveWithoutFaults() {
    for (const NamedSession &Session : Sessions) {
      AgentSimulation Run;
      Run.runSession(Session.Kind, Fault::None, 0);
      CPPUNIT_ASSERT_MESSAGE(Session.Name,
                             Run.Caller.Outcome == Result::Answered);
      CPPUNIT_ASSERT_MESSAGE(Session.Name, !Run.Caller.WrongAnswer);
      CPPUNIT_ASSERT_MESSAGE(Session.Name, Run.Steps >= 2);
    }
  }

  /// No single fault may cause a second run, a false "not run", a wrong answer,
  /// a missing outcome or a broken line.
  void everyFaultAtEveryStep() {
    std::string Problems;
    int Cases = 0;
    int Outcomes[4] = {};
    for (const NamedCaller &Caller : Callers) {
      for (const NamedSession &Session : Sessions) {
        AgentSimulation FaultFree;
        FaultFree.Caller.Behaviour = Caller.Kind;
        FaultFree.runSession(Session.Kind, Fault::None, 0);
        for (const NamedFault &Fault : Faults) {
          for (std::size_t Step = 0; Step < FaultFree.Steps; ++Step) {
            AgentSimulation Run;
            Run.Caller.Behaviour = Caller.Kind;
            Run.runSession(Session.Kind, Fault.Type, Step);
            ++Cases;
            ++Outcomes[static_cast<int>(Run.Caller.Outcome)];
            std::string Problem = findProblems(Run, Session, Fault.MayEndWith);
            if (Run.InjectedCount != 1)
              Problem += " the session ended before all faults were injected;";
            if (Fault.Type == Fault::Loss)
              for (const SimulatedAgent &Agent : Run.Agents)
                if (Agent.Up.NeverAcknowledged > 0)
                  Problem += " an upstream got no acknowledgement of a "
                             "confirmable message;";
            Problems += recordCell(std::string(Caller.Name) + ", " +
                                       Session.Name + ", " + Fault.Name +
                                       ", step " + std::to_string(Step),
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

  /// Same checks with a second fault at a later step than the first one.
  void randomPairsOfFaults() {
    std::mt19937_64 Generator(testSeed());
    const auto Draw = [&Generator](std::size_t Below) {
      return Generator() % Below;
    };
    std::string Problems;
    std::map<std::pair<std::string, std::string>, std::size_t> PlainSteps;
    int Outcomes[4] = {};
    for (int PairCount = 0; PairCount < RandomPairs;) {
      const NamedCaller &Caller = Callers[Draw(std::size(Callers))];
      const NamedSession &Session = Sessions[Draw(std::size(Sessions))];
      const NamedFault &First = Faults[Draw(std::size(Faults))];
      const NamedFault &Second = Faults[Draw(std::size(Faults))];
      std::size_t &Steps = PlainSteps[{Caller.Name, Session.Name}];
      if (Steps == 0) {
        AgentSimulation FaultFree;
        FaultFree.Caller.Behaviour = Caller.Kind;
        FaultFree.runSession(Session.Kind, Fault::None, 0);
        Steps = FaultFree.Steps;
      }
      const std::size_t FirstStep = Draw(Steps);
      AgentSimulation Single;
      Single.Caller.Behaviour = Caller.Kind;
      Single.runSession(Session.Kind, First.Type, FirstStep);
      // The second fault needs a later step.
      if (Single.Steps <= FirstStep + 1)
        continue;
      const std::size_t SecondStep =
          FirstStep + 1 + Draw(Single.Steps - FirstStep - 1);
      ++PairCount;
      AgentSimulation Run;
      Run.Caller.Behaviour = Caller.Kind;
      Run.runSession(Session.Kind,
                     {{First.Type, FirstStep}, {Second.Type, SecondStep}});
      ++Outcomes[static_cast<int>(Run.Caller.Outcome)];
      std::string Problem = findProblems(
          Run, Session, std::max(First.MayEndWith, Second.MayEndWith));
      if (Run.InjectedCount != 2)
        Problem += " the session ended before all faults were injected;";
      Problems += recordCell(
          std::string(Caller.Name) + ", " + Session.Name + ", " + First.Name +
              " at step " + std::to_string(FirstStep) + " and " + Second.Name +
              " at step " + std::to_string(SecondStep),
          Problem);
    }
    std::cout << " [" << RandomPairs << " pairs: " << Outcomes[1]
              << " answered, " << Outcomes[2] << " not run, " << Outcomes[3]
              << " unknown] ";
    CPPUNIT_ASSERT_MESSAGE(Problems, Problems.empty());
  }

  /// Must run last. Fails if the matrix ended early, and prints the counts for
  /// scripts/fault-matrix.
  void reportsCellCounts() {
    if (std::getenv("JASMINEARCH_MATRIX_JSON") != nullptr)
      std::cout << "\n{\"cells\":" << Total.Cells
                << ",\"passed\":" << Total.Cells - Total.Failed
                << ",\"failed\":" << Total.Failed << ",\"seed\":" << testSeed()
                << "}\n";
    CPPUNIT_ASSERT(Total.Cells > RandomPairs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentFaultMatrixTest);

} // namespace
