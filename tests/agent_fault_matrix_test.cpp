#include "agent_world.h"
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

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
    {"sibling kill", Fault::SiblingKill, Allowed::AnswerOnly},
    {"entry kill", Fault::EntryKill, Allowed::AnswerOnly},
    {"deadline", Fault::Deadline, Allowed::Any},
    {"clock jump", Fault::ClockJump, Allowed::Any},
};

std::string check(const World &After, const NamedSession &Session,
                  const NamedFault &Fault) {
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
  if (Fault.May == Allowed::AnswerOnly && Outcome != Result::Answered)
    Problem += " not answered;";
  if (Fault.May == Allowed::NotRun && Outcome == Result::Unknown)
    Problem += " outcome unknown;";
  return Problem;
}

class AgentFaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentFaultMatrixTest);
  CPPUNIT_TEST(sessionsSurviveWithoutFaults);
  CPPUNIT_TEST(everyFaultAtEveryStep);
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
    for (const NamedSession &Session : Sessions) {
      World Plain;
      Plain.play(Session.Kind, Fault::None, 0);
      for (const NamedFault &Fault : Faults) {
        for (std::size_t Step = 0; Step < Plain.Steps; ++Step) {
          World Run;
          Run.play(Session.Kind, Fault.Which, Step);
          ++Cases;
          ++Outcomes[static_cast<int>(Run.Caller.Outcome)];
          const std::string Problem = check(Run, Session, Fault);
          if (!Problem.empty())
            Problems += std::string("\n") + Session.Name + ", " + Fault.Name +
                        ", step " + std::to_string(Step) + ":" + Problem;
        }
      }
    }
    std::cout << " [" << Cases << " cases: " << Outcomes[1] << " answered, "
              << Outcomes[2] << " not run, " << Outcomes[3] << " unknown] ";
    CPPUNIT_ASSERT_MESSAGE(Problems, Problems.empty());
    CPPUNIT_ASSERT_EQUAL(Cases, Outcomes[1] + Outcomes[2] + Outcomes[3]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentFaultMatrixTest);

} // namespace
