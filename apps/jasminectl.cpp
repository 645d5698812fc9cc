#include "jasminearch/clock.h"
#include "jasminearch/control/burn_report.h"
#include "jasminearch/control/ctl_evacuation.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/control/ctl_output.h"
#include "jasminearch/control/ctl_placement.h"
#include "jasminearch/control/ctl_session.h"
#include "jasminearch/link/handshake.h"
#include "jasminearch/link/link.h"
#include "jasminearch/settings.h"
#include <absl/strings/numbers.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

using namespace jasminearch;
using namespace jasminearch::control;

namespace {

constexpr const char *Version = "jasminectl 0.1.0";

/// Interval of onCtlTick().
constexpr unsigned TickMilliseconds = 20;

/// Runs one session: performs its effects with a link hub of its own.
class SessionRunner {
public:
  SessionRunner(const CtlSettings &Settings, CtlOperation Question,
                std::chrono::milliseconds Timeout)
      : Session(startCtlSession(Settings.Common, Settings.ControlHosts,
                                std::move(Question), Time.now(), Timeout)) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [](link::LinkId, bool) {};
    Handlers.Received = [this](link::LinkId Id, const Bytes &Message) {
      onReceived(Id, Message);
    };
    Handlers.Closed = [this](link::LinkId Id) { onClosed(Id); };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
    Hub->every(TickMilliseconds,
               [this] { perform(onCtlTick(Session, Time.now())); });
  }

  Expected<CtlResponse> run() {
    Hub->run();
    return std::move(*Result);
  }

private:
  void onReceived(link::LinkId Id, const Bytes &Message) {
    if (Id != CurrentLink)
      return;
    const Expected<link::Message> Decoded = link::decodeMessage(Message);
    perform(Decoded ? onCtlMessage(Session, *Decoded, Time.now())
                    : onCtlMalformed(Session, Decoded.error(), Time.now()));
  }

  void onClosed(link::LinkId Id) {
    if (Id != CurrentLink)
      return;
    CurrentLink = 0;
    perform(onCtlLinkClosed(Session, Time.now()));
  }

  void perform(const CtlEffects &Effects) {
    for (const CtlEffect &Effect : Effects)
      std::visit([this](const auto &Value) { perform(Value); }, Effect);
  }

  void perform(const ConnectTo &Effect) {
    std::string Address = toString(Effect.Address);
    Address.resize(Address.find(':'));
    CurrentLink = Hub->connect(Address, Effect.Address.Port);
  }

  void perform(const SendMessage &Effect) {
    Hub->send(CurrentLink, link::encodeMessage(Effect.Value));
  }

  void perform(const DropLink & /*Effect*/) {
    const link::LinkId Dropped = std::exchange(CurrentLink, 0);
    if (Dropped != 0)
      Hub->close(Dropped);
  }

  void perform(const Finish &Effect) {
    Result = Effect.Result;
    Hub->stop();
  }

  SystemClock Time;
  CtlSession Session;
  std::unique_ptr<link::LinkHub> Hub;
  /// The session's link; zero if there is none.
  link::LinkId CurrentLink = 0;
  std::optional<Expected<CtlResponse>> Result;
};

/// Asks a control host of a fleet over a link of its own.
class FleetQuestion {
public:
  FleetQuestion(const Endpoint &Host, const fleet::EvacuationRequest &Request,
                std::chrono::milliseconds Timeout)
      : Deadline(Time.now() + Timeout) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [this, Request](link::LinkId Id, bool) {
      Sent = true;
      Hub->send(Id, fleet::encode(Request));
    };
    Handlers.Received = [this](link::LinkId, const Bytes &Message) {
      onReceived(Message);
    };
    Handlers.Closed = [this](link::LinkId) { fail("the link was closed"); };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
    std::string Address = toString(Host);
    Address.resize(Address.find(':'));
    Hub->connect(Address, Host.Port);
    Hub->every(TickMilliseconds, [this] {
      if (Time.now() >= Deadline)
        fail("no answer in time");
    });
  }

  Expected<fleet::EvacuationReply> run() {
    Hub->run();
    return std::move(*Result);
  }

private:
  void onReceived(const Bytes &Message) {
    auto Decoded = fleet::decode(Message);
    if (!Decoded)
      return finish(tl::make_unexpected(Decoded.error()));
    if (auto *Reply = std::get_if<fleet::EvacuationReply>(&*Decoded))
      finish(std::move(*Reply));
  }

  void fail(const char *Reason) {
    finish(jasminearch::fail(
        Sent ? ErrorCode::LinkClosed : ErrorCode::LinkFailed, Reason));
  }

  void finish(Expected<fleet::EvacuationReply> Value) {
    if (!Result)
      Result = std::move(Value);
    Hub->stop();
  }

  SystemClock Time;
  TimePoint Deadline;
  std::unique_ptr<link::LinkHub> Hub;
  /// The request may have reached the host.
  bool Sent = false;
  std::optional<Expected<fleet::EvacuationReply>> Result;
};

CtlOutput runFleetRequest(const CtlRequest &Request,
                          const CtlSettings &Settings) {
  std::vector<Endpoint> Hosts;
  for (const ControlHost &Host : Settings.ControlHosts)
    Hosts.push_back(Host.Address);
  constexpr unsigned HalfBits = 32;
  std::random_device Source;
  const std::uint64_t Upper = Source();
  const std::uint64_t Lower = Source();
  const SystemClock Time;
  const EvacuationPort Port{
      [](const Endpoint &Host, const fleet::EvacuationRequest &Question,
         std::chrono::milliseconds Timeout) {
        return FleetQuestion(Host, Question, Timeout).run();
      },
      [](std::chrono::milliseconds For) { std::this_thread::sleep_for(For); },
      Time};
  return runEvacuation(Request, Hosts, Upper << HalfBits | Lower, Port);
}

/// Sends the queries that \p Request requires, each over its own link.
/// \returns their results in one document.
Expected<nlohmann::json> queryAll(const CtlRequest &Request,
                                  const CtlSettings &Settings) {
  nlohmann::json Document;
  for (const link::QueryKind Kind : requiredQueries(Request)) {
    link::Query Question;
    Question.Id = 1;
    Question.Kind = Kind;
    if (Kind == link::QueryKind::InForce &&
        !absl::SimpleAtoi(Request.Arguments.at(0), &Question.At.Number))
      return fail(ErrorCode::InvalidArgument, "the revision isn't a number");
    auto Answer = SessionRunner(Settings, Question, Request.Timeout).run();
    if (!Answer)
      return tl::make_unexpected(Answer.error());
    addQueryResult(Document, Kind, std::get<nlohmann::json>(*Answer));
  }
  return Document;
}

CtlOutput sendCommand(const CtlRequest &Request, const CtlSettings &Settings,
                      const nlohmann::json &Document) {
  const std::string Id = Request.CommandId.empty()
                             ? makeCommandId(Request, link::generateNonce())
                             : Request.CommandId;
  const Expected<Command> BuiltCommand = buildCommand(Request, Document, Id);
  if (!BuiltCommand)
    return formatFailure(Request, BuiltCommand.error());
  const auto Answer =
      SessionRunner(Settings, link::CommandRequest{*BuiltCommand},
                    Request.Timeout)
          .run();
  if (!Answer)
    return formatFailure(Request, Answer.error());
  return formatResult(Request, Id, std::get<CommandResult>(*Answer));
}

/// Writes the burn report as an HTML page.
Expected<void> writeHtmlReport(const CtlRequest &Request,
                               const nlohmann::json &Document) {
  try {
    std::ofstream Out(Request.HtmlFile);
    Out << formatHtml(Document.get<BurnReport>());
    Out.close();
    if (Out)
      return {};
  } catch (const nlohmann::json::exception &Reason) {
    return fail(ErrorCode::MessageMalformed, Reason.what());
  }
  return fail(ErrorCode::InvalidArgument,
              Request.HtmlFile + ": can't write the HTML report");
}

/// Formats an error in the operator's command line.
CtlOutput formatUsageError(const CtlRequest &Request, const Error &Reason) {
  CtlOutput Output = formatFailure(Request, Reason);
  Output.Status = CtlStatus::Usage;
  return Output;
}

CtlOutput runRequest(const CtlRequest &Request, const CtlSettings &Settings) {
  if (!Request.CommandId.empty())
    if (const auto Valid = checkCommandId(Request); !Valid)
      return formatUsageError(Request, Valid.error());
  const auto Document = queryAll(Request, Settings);
  if (!Document)
    return formatFailure(Request, Document.error());
  if (changesState(Request.Action))
    return sendCommand(Request, Settings, *Document);
  if (!Request.HtmlFile.empty())
    if (const auto Written = writeHtmlReport(Request, *Document); !Written)
      return formatUsageError(Request, Written.error());
  return formatDocument(Request, *Document);
}

int print(const CtlOutput &Output) {
  std::cout << Output.Text;
  std::cerr << Output.ErrorText;
  return static_cast<int>(Output.Status);
}

} // namespace

int main(int Argc, char **Argv) {
  const Expected<CtlRequest> Request = parseCtlArguments(Argc, Argv);
  if (!Request) {
    std::cerr << "jasminectl: " << toString(Request.error()) << "\n";
    return static_cast<int>(CtlStatus::Usage);
  }
  if (Request->Action == CtlAction::Help)
    return print({ctlHelp(), "", {}});
  if (Request->Action == CtlAction::Version)
    return print({std::string(Version) + "\n", "", {}});
  if (Request->Action == CtlAction::ExplainPlacement)
    return print(runExplainPlacement(*Request));
  const Expected<CtlSettings> Settings = loadCtlSettings(Request->ConfigFile);
  if (!Settings)
    return print(formatFailure(*Request, Settings.error()));
  if (Settings->ControlHosts.empty())
    return print(formatFailure(
        *Request,
        {ErrorCode::SettingsMissingKey,
         Request->ConfigFile + ": at least one [[control_host]] is required"}));
  if (isEvacuationAction(Request->Action))
    return print(runFleetRequest(*Request, *Settings));
  return print(runRequest(*Request, *Settings));
}
