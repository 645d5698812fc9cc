#include "jasminearch/control/codec.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/control/ctl_output.h"
#include "jasminearch/control/ctl_session.h"
#include "jasminearch/control/state_machine.h"
#include "jasminearch/link/handshake.h"
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <string>
#include <vector>

using namespace jasminearch;
using namespace jasminearch::control;
using namespace std::chrono_literals;

namespace {

Expected<CtlRequest> parse(std::vector<std::string> Words) {
  Words.insert(Words.begin(), {"jasminectl", "--config", "f"});
  std::vector<char *> Argv;
  Argv.reserve(Words.size());
  for (std::string &Word : Words)
    Argv.push_back(Word.data());
  return parseCtlArguments(static_cast<int>(Argv.size()), Argv.data());
}

const std::string Key = "a shared secret of enough length";

/// Control hosts that answer one session. The state machine behind them is
/// the real one; which of them leads, hangs or loses answers is set.
struct FakeCluster {
  TimePoint Now{};
  State S;
  std::uint64_t At = 0;
  std::vector<ControlHost> Hosts{
      {"c1", {1, 1}}, {"c2", {1, 2}}, {"c3", {1, 3}}};
  std::string Leader = "c1";
  std::string HostKey = Key;
  bool KnowsLeader = true;
  int LoseAnswers = 0;
  std::vector<std::string> Connected;
  std::vector<std::string> CommandIds;
  std::optional<Expected<CtlResponse>> Result;

  CtlSession start(CtlOperation Question) {
    CommonSettings Common;
    Common.Cluster = "pantuflas";
    Common.Name = "laptop";
    Common.LinkKey = Key;
    return startCtlSession(Common, Hosts, std::move(Question), Now, 10s);
  }

  /// Runs a session until it finishes.
  void run(CtlSession &Session) {
    for (int Step = 0; Step < 2000 && !Result; ++Step) {
      act(Session, onCtlTick(Session, Now));
      Now += 20ms;
    }
    CPPUNIT_ASSERT(Result.has_value());
  }

  void act(CtlSession &Session, const CtlEffects &Effects) {
    for (const CtlEffect &Effect : Effects) {
      if (const auto *To = std::get_if<ConnectTo>(&Effect))
        connected(Session, To->Address);
      else if (const auto *Out = std::get_if<SendMessage>(&Effect))
        received(Session, Out->Value);
      else if (const auto *End = std::get_if<Finish>(&Effect))
        Result = End->Result;
    }
  }

  void connected(CtlSession &Session, Endpoint Address) {
    for (const ControlHost &Host : Hosts)
      if (Host.Address == Address)
        Connected.push_back(Host.Name);
    act(Session, onCtlMessage(Session, link::Challenge{Bytes(16, 7)}, Now));
  }

  void received(CtlSession &Session, const link::Message &Message) {
    if (const auto *Hello = std::get_if<link::Hello>(&Message)) {
      CPPUNIT_ASSERT(link::checkHello(*Hello, Key, Bytes(16, 7), "pantuflas"));
      welcome(Session, *Hello);
    }
    if (const auto *Request = std::get_if<link::CommandRequest>(&Message))
      command(Session, Request->Value);
  }

  void welcome(CtlSession &Session, const link::Hello &Hello) {
    link::Welcome Welcome;
    Welcome.Host = Connected.back();
    Welcome.Proof =
        link::welcomeProof(HostKey, Hello.Nonce, "pantuflas", Welcome.Host);
    Welcome.Leading = Welcome.Host == Leader;
    if (KnowsLeader)
      Welcome.Leader = ControlHost{Leader, {66, 66}};
    act(Session, onCtlMessage(Session, Welcome, Now));
  }

  void command(CtlSession &Session, const Command &Value) {
    CommandIds.push_back(Value.Id);
    link::CommandResult Answer;
    Answer.Id = Value.Id;
    Answer.Decided = apply(S, Value, Revision{++At});
    if (LoseAnswers-- > 0)
      return;
    act(Session, onCtlMessage(Session, Answer, Now));
  }
};

Command putProfile(const std::string &Id) {
  Profile P;
  P.Name = "tablets";
  return {Id, PutProfile{P, {}}};
}

class ControlCtlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlCtlTest);
  CPPUNIT_TEST(parsesCommandsAndOptions);
  CPPUNIT_TEST(refusesWrongLines);
  CPPUNIT_TEST(helpNamesEveryExitStatus);
  CPPUNIT_TEST(lostAnswerIsAskedForAgainWithTheSameId);
  CPPUNIT_TEST(givesUpWithTheIdWhenTheOutcomeIsUnknown);
  CPPUNIT_TEST(tellsWhenNothingWasSent);
  CPPUNIT_TEST(followsTheLeaderByName);
  CPPUNIT_TEST(findsTheLeaderWithoutAHint);
  CPPUNIT_TEST(distrustsHostsWithoutTheKey);
  CPPUNIT_TEST(ignoresAnswersToOthers);
  CPPUNIT_TEST(typedRefusalEndsTheSession);
  CPPUNIT_TEST(buildsCommandsFromDocuments);
  CPPUNIT_TEST(commandIdFitsOneCommandOnly);
  CPPUNIT_TEST(presentsEveryDocument);
  CPPUNIT_TEST(inForceNamesSilentHosts);
  CPPUNIT_TEST(survivesMalformedDocuments);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an option that is read into the wrong field.
  void parsesCommandsAndOptions() {
    const auto Put = parse({"profile", "put", "feeds", "--max-imbalance", "1.2",
                            "--deadline", "500", "--offload", "no", "--expect",
                            "7", "--json", "--timeout", "3"});
    CPPUNIT_ASSERT(Put.has_value());
    CPPUNIT_ASSERT(Put->Action == CtlAction::ProfilePut);
    CPPUNIT_ASSERT_EQUAL(std::string("feeds"), Put->Arguments.at(0));
    CPPUNIT_ASSERT(Put->Changes.MaxImbalance == 1.2);
    CPPUNIT_ASSERT(Put->Changes.Deadline == 500ms);
    CPPUNIT_ASSERT(Put->Changes.Offload == false);
    CPPUNIT_ASSERT(Put->Expected == Revision{7});
    CPPUNIT_ASSERT(Put->Json);
    CPPUNIT_ASSERT(Put->Timeout == 3s);
    const auto Service = parse({"service", "put", "order", "--address",
                                "127.0.10.1:5683", "--profile", "feeds"});
    CPPUNIT_ASSERT(Service.value().Address == (Endpoint{0x7F000A01, 5683}));
    CPPUNIT_ASSERT(parse({"--html", "x", "report", "burn"})->HtmlFile == "x");
    CPPUNIT_ASSERT(parse({"--help"})->Action == CtlAction::Help);
  }

  /// Guards against a mistyped line that does something else than was meant.
  void refusesWrongLines() {
    for (const std::vector<std::string> &Line :
         std::vector<std::vector<std::string>>{
             {},
             {"drain"},
             {"drain", "a", "b"},
             {"profile", "frob", "x"},
             {"drain", "a", "--max-imbalance", "1.1"},
             {"profile", "put", "x", "--max-imbalance", "much"},
             {"profile", "put", "x", "--deadline", "-1"},
             {"profile", "put", "x", "--offload", "maybe"},
             {"service", "put", "x", "--address", "here"},
             {"outcomes", "--command-id", "x"},
             {"outcomes", "--html", "x"},
             {"in-force", "latest"},
             {"status", "--timeout", "0"},
             {"status", "--frob"},
             {"status", "--timeout"}}) {
      const auto Request = parse(Line);
      CPPUNIT_ASSERT(!Request.has_value());
      CPPUNIT_ASSERT(Request.error().Code == ErrorCode::InvalidArgument);
    }
  }

  /// Guards against an exit status that operators can't look up.
  void helpNamesEveryExitStatus() {
    for (int Status = 0; Status <= static_cast<int>(CtlStatus::NeedsPerson);
         ++Status)
      CPPUNIT_ASSERT(ctlHelp().find("\n  " + std::to_string(Status) + "  ") !=
                     std::string::npos);
  }

  /// Guards against a command that runs twice, or is given up too early.
  void lostAnswerIsAskedForAgainWithTheSameId() {
    FakeCluster Cluster;
    Cluster.LoseAnswers = 2;
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.run(Session);
    const auto &Answer = std::get<CommandResult>(Cluster.Result->value());
    CPPUNIT_ASSERT(Answer.Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Answer.At.Number);
    CPPUNIT_ASSERT(Cluster.CommandIds ==
                   (std::vector<std::string>{"id", "id", "id"}));
  }

  /// Guards against "failed" for a command that may have been accepted.
  void givesUpWithTheIdWhenTheOutcomeIsUnknown() {
    FakeCluster Cluster;
    Cluster.LoseAnswers = 1000;
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id7")});
    Cluster.run(Session);
    const Error &Reason = Cluster.Result->error();
    CPPUNIT_ASSERT(Reason.Code == ErrorCode::OutcomeUnknown);
    CPPUNIT_ASSERT(Reason.Detail.find("--command-id id7") != std::string::npos);
    CPPUNIT_ASSERT(formatFailure({}, Reason).Status ==
                   CtlStatus::OutcomeUnknown);
  }

  /// Guards against "unknown" for a command that never left.
  void tellsWhenNothingWasSent() {
    FakeCluster Cluster;
    Cluster.Leader = "nobody";
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.run(Session);
    CPPUNIT_ASSERT(Cluster.Result->error().Code == ErrorCode::LinkFailed);
    CPPUNIT_ASSERT(Cluster.CommandIds.empty());
    CPPUNIT_ASSERT(formatFailure({}, Cluster.Result->error()).Status ==
                   CtlStatus::Unreachable);
  }

  /// Guards against a leader's name that sends the key's holder elsewhere: the
  /// address comes from the settings.
  void followsTheLeaderByName() {
    FakeCluster Cluster;
    Cluster.Leader = "c3";
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.run(Session);
    CPPUNIT_ASSERT(Cluster.Result->has_value());
    CPPUNIT_ASSERT(Cluster.Connected == (std::vector<std::string>{"c1", "c3"}));
  }

  /// Guards against a session that stays with a host that doesn't lead.
  void findsTheLeaderWithoutAHint() {
    FakeCluster Cluster;
    Cluster.Leader = "c3";
    Cluster.KnowsLeader = false;
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.run(Session);
    CPPUNIT_ASSERT(Cluster.Result->has_value());
    CPPUNIT_ASSERT(Cluster.Connected ==
                   (std::vector<std::string>{"c1", "c2", "c3"}));
  }

  /// Guards against a command sent to an impostor.
  void distrustsHostsWithoutTheKey() {
    FakeCluster Cluster;
    Cluster.HostKey = "another secret of enough length";
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.run(Session);
    CPPUNIT_ASSERT(Cluster.Result->error().Code == ErrorCode::LinkFailed);
    CPPUNIT_ASSERT(Cluster.CommandIds.empty());
  }

  /// Guards against another command's result that is taken for this one's.
  void ignoresAnswersToOthers() {
    FakeCluster Cluster;
    Cluster.LoseAnswers = 1000;
    CtlSession Session = Cluster.start(link::CommandRequest{putProfile("id")});
    Cluster.act(Session, onCtlTick(Session, Cluster.Now));
    link::CommandResult Other;
    Other.Id = "other";
    Other.Decided = CommandResult{};
    CPPUNIT_ASSERT(onCtlMessage(Session, Other, Cluster.Now).empty());
  }

  /// Guards against retries of a command that can't succeed.
  void typedRefusalEndsTheSession() {
    FakeCluster Cluster;
    Command Bad = putProfile("id");
    std::get<PutProfile>(Bad.Body).Value.MaxImbalance = 0;
    CtlSession Session = Cluster.start(link::CommandRequest{Bad});
    Cluster.run(Session);
    const auto &Answer = std::get<CommandResult>(Cluster.Result->value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Cluster.CommandIds.size());
    CPPUNIT_ASSERT(formatResult({}, "id", Answer).Status == CtlStatus::Refused);
  }

  // Documents -----------------------------------------------------------------

  static State populated() {
    State S;
    apply(S, putProfile(""), Revision{1});
    apply(S, {"", PutService{{{}, "order", {1, 2}, "tablets", {}}, {}}},
          Revision{2});
    apply(S,
          {"", AnnounceUpstream{{"order-1", "order", "north", {1, 3}, 7, 1}}},
          Revision{3});
    apply(S, {"", AnnounceEntry{{"entry-1", "north", {1, 4}, 1}}}, Revision{4});
    return S;
  }

  /// The control leader's answers, in the form of link/control_queries.h.
  static nlohmann::json profiles(const State &S) {
    nlohmann::json Document;
    nlohmann::json List = nlohmann::json::array();
    for (const auto &[Name, P] : S.Config.Profiles)
      List.push_back(P);
    addQueryResult(Document, link::QueryKind::Profiles, List);
    return Document;
  }

  static nlohmann::json upstreams(const State &S) {
    nlohmann::json Document;
    nlohmann::json List = nlohmann::json::array();
    for (const auto &[Id, Value] : S.Config.Services)
      List.push_back(Value);
    addQueryResult(Document, link::QueryKind::Services, List);
    List.clear();
    for (const auto &[Id, U] : S.Config.Upstreams) {
      List.push_back(U);
      List.back()["silent"] = true;
      List.back()["applied"] = 3;
    }
    addQueryResult(Document, link::QueryKind::Upstreams, List);
    return Document;
  }

  /// Guards against a change that resets fields, or ignores the revision.
  void buildsCommandsFromDocuments() {
    State S = populated();
    const auto Send = [&](const std::vector<std::string> &Line,
                          const nlohmann::json &Document) {
      const Command C = buildCommand(*parse(Line), Document, "").value();
      return apply(S, C, Revision{S.Config.InForce.Number + 1});
    };
    CPPUNIT_ASSERT(
        Send({"profile", "put", "tablets", "--deadline", "700"}, profiles(S))
            .Accepted);
    const Profile &P = S.Config.Profiles.at("tablets");
    CPPUNIT_ASSERT(P.Deadline == 700ms && P.ColdStart == Profile{}.ColdStart);
    CPPUNIT_ASSERT(Send({"service", "put", "order", "--address", "127.0.0.1:9"},
                        upstreams(S))
                       .Accepted);
    CPPUNIT_ASSERT_EQUAL(std::string("tablets"),
                         S.Config.Services.begin()->second.ProfileName);
    const auto Upstreams = upstreams(S);
    CPPUNIT_ASSERT(Send({"drain", "order-1"}, Upstreams).Accepted);
    CPPUNIT_ASSERT(Send({"undrain", "order-1"}, Upstreams).Reason.Code ==
                   ErrorCode::RevisionConflict);
    CPPUNIT_ASSERT(Send({"drain", "none"}, Upstreams).Reason.Code ==
                   ErrorCode::UnknownUpstream);
    CPPUNIT_ASSERT(
        Send({"profile", "remove", "tablets"}, profiles(S)).Reason.Code ==
        ErrorCode::InUse);
  }

  /// Guards against an id that is reused and gets another command's result.
  void commandIdFitsOneCommandOnly() {
    CtlRequest Drain = *parse({"drain", "order-1"});
    Drain.CommandId = makeCommandId(Drain, Bytes(16, 1));
    CPPUNIT_ASSERT(checkCommandId(Drain).has_value());
    CtlRequest Other = *parse({"drain", "order-2"});
    Other.CommandId = Drain.CommandId;
    CPPUNIT_ASSERT(!checkCommandId(Other).has_value());
  }

  /// Guards against an answer that can't be shown.
  void presentsEveryDocument() {
    const State S = populated();
    const auto Shown = [](const std::vector<std::string> &Line,
                          const nlohmann::json &Document) {
      const CtlOutput Output = formatDocument(*parse(Line), Document);
      CPPUNIT_ASSERT_EQUAL(std::string(), Output.ErrorText);
      return Output.Text;
    };
    const auto Contains = [](const std::string &Text, const char *Part) {
      CPPUNIT_ASSERT_MESSAGE(Text, Text.find(Part) != std::string::npos);
    };
    Contains(Shown({"profile", "list"}, profiles(S)), "tablets");
    Contains(Shown({"profile", "get", "tablets", "--json"}, profiles(S)),
             "\"max_imbalance\": 1.05");
    Contains(
        Shown({"profile", "diff", "tablets", "--deadline", "5"}, profiles(S)),
        "10000 ms -> 5 ms");
    Contains(Shown({"service", "list"}, upstreams(S)), "0.0.0.1:2");
    Contains(Shown({"upstream", "list"}, upstreams(S)), "cold");
    Contains(Shown({"upstream", "list", "--json"}, upstreams(S)),
             "\"phase\": \"cold\"");
    nlohmann::json Members{{"leader", "c1"}};
    addQueryResult(
        Members, link::QueryKind::Members,
        nlohmann::json::array(
            {{{"host", "c1"}, {"storage_id", "5f"}, {"voter", true}}}));
    Contains(Shown({"members"}, Members), "voter    yes     5f");
    Contains(Shown({"status"}, {{"leader", "c1"}}), "c1");
  }

  /// Guards against "everywhere" while a host can't be asked.
  void inForceNamesSilentHosts() {
    const CtlRequest Request = *parse({"in-force", "3"});
    nlohmann::json Answer{{"revision", 3},
                          {"everywhere", true},
                          {"hosts", nlohmann::json::array()},
                          {"silent", nlohmann::json::array()}};
    Answer["hosts"].push_back(
        {{"name", "e"}, {"applied", 3}, {"in_force", true}});
    CPPUNIT_ASSERT(formatDocument(Request, Answer).Status == CtlStatus::Done);
    Answer["everywhere"] = false;
    Answer["silent"].push_back("order-1");
    Answer["hosts"].push_back(
        {{"name", "order-1"}, {"applied", 0}, {"in_force", false}});
    Answer["hosts"].push_back(
        {{"name", "entry-1"}, {"applied", 2}, {"in_force", false}});
    const CtlOutput Output = formatDocument(Request, Answer);
    CPPUNIT_ASSERT(Output.Status == CtlStatus::NeedsPerson);
    CPPUNIT_ASSERT(Output.Text.find("order-1: can't tell") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Output.Text.find("entry-1: behind, at 2") !=
                   std::string::npos);
  }

  /// Guards against a crash on an answer of another version.
  void survivesMalformedDocuments() {
    for (const std::vector<std::string> &Line :
         std::vector<std::vector<std::string>>{{"profile", "list"},
                                               {"upstream", "list"},
                                               {"outcomes"},
                                               {"report", "burn"},
                                               {"in-force", "1"},
                                               {"members"}}) {
      const CtlOutput Output =
          formatDocument(*parse(Line), nlohmann::json::object());
      CPPUNIT_ASSERT(Output.ErrorText.find("MessageMalformed") !=
                     std::string::npos);
      CPPUNIT_ASSERT(Output.Status == CtlStatus::Unreachable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCtlTest);

} // namespace
