#include "jasminearch/clock.h"
#include "jasminearch/control/burn_report.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/control/ctl_output.h"
#include "jasminearch/control/ctl_session.h"
#include "jasminearch/link/handshake.h"
#include "jasminearch/link/link.h"
#include "jasminearch/settings.h"
#include <absl/strings/numbers.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace jasminearch;
using namespace jasminearch::control;

namespace {

constexpr const char *Version = "jasminectl 0.1.0";

/// Interval of the session's timer.
constexpr unsigned TickMilliseconds = 20;

/// Carries out the effects of one session over a hub of its own.
class SessionRunner {
public:
  SessionRunner(const CtlSettings &Settings, CtlOperation Question,
                std::chrono::milliseconds Timeout)
      : Session(startCtlSession(Settings.Common, Settings.ControlHosts,
                                std::move(Question), Time.now(), Timeout)) {
    link::LinkHandlers Handlers;
    Handlers.Opened = [](link::LinkId, bool) {};
    Handlers.Received = [this](link::LinkId Id, const Bytes &Message) {
      received(Id, Message);
    };
    Handlers.Closed = [this](link::LinkId Id) { closed(Id); };
    Hub = link::makeWebsocketHub(std::move(Handlers), {});
    Hub->every(TickMilliseconds,
               [this] { carryOut(onCtlTick(Session, Time.now())); });
  }

  Expected<CtlResponse> run() {
    Hub->run();
    return std::move(*Result);
  }

private:
  void received(link::LinkId Id, const Bytes &Message) {
    if (Id != Current)
      return;
    const Expected<link::Message> Decoded = link::decodeMessage(Message);
    carryOut(Decoded ? onCtlMessage(Session, *Decoded, Time.now())
                     : onCtlMalformed(Session, Decoded.error(), Time.now()));
  }

  void closed(link::LinkId Id) {
    if (Id != Current)
      return;
    Current = 0;
    carryOut(onCtlLinkClosed(Session, Time.now()));
  }

  void carryOut(const CtlEffects &Effects) {
    for (const CtlEffect &Effect : Effects)
      std::visit([this](const auto &Value) { carryOut(Value); }, Effect);
  }

  void carryOut(const ConnectTo &Effect) {
    std::string Address = toString(Effect.Address);
    Address.resize(Address.find(':'));
    Current = Hub->connect(Address, Effect.Address.Port);
  }

  void carryOut(const SendMessage &Effect) {
    Hub->send(Current, link::encodeMessage(Effect.Value));
  }

  void carryOut(const DropLink & /*Effect*/) {
    const link::LinkId Dropped = std::exchange(Current, 0);
    if (Dropped != 0)
      Hub->close(Dropped);
  }

  void carryOut(const Finish &Effect) {
    Result = Effect.Result;
    Hub->stop();
  }

  SystemClock Time;
  CtlSession Session;
  std::unique_ptr<link::LinkHub> Hub;
  /// The session's link; zero when it has none.
  link::LinkId Current = 0;
  std::optional<Expected<CtlResponse>> Result;
};

/// Asks everything that the request needs, on one link each.
Expected<nlohmann::json> queryAll(const CtlRequest &Request,
                                  const CtlSettings &Settings) {
  nlohmann::json Document;
  for (const link::QueryKind Kind : requiredQueries(Request)) {
    link::Query Question;
    Question.Id = 1;
    Question.Kind = Kind;
    if (Kind == link::QueryKind::InForce &&
        !absl::SimpleAtoi(Request.Arguments.at(0), &Question.At.Number))
      return fail(ErrorCode::InvalidArgument, "the revision is no number");
    auto Answer = SessionRunner(Settings, Question, Request.Timeout).run();
    if (!Answer)
      return tl::make_unexpected(Answer.error());
    addQueryResult(Document, Kind, std::get<nlohmann::json>(*Answer));
  }
  return Document;
}

CtlOutput send(const CtlRequest &Request, const CtlSettings &Settings,
               const nlohmann::json &Document) {
  const std::string Id = Request.CommandId.empty()
                             ? makeCommandId(Request, link::generateNonce())
                             : Request.CommandId;
  const Expected<Command> Built = buildCommand(Request, Document, Id);
  if (!Built)
    return formatFailure(Request, Built.error());
  const auto Answer =
      SessionRunner(Settings, link::CommandRequest{*Built}, Request.Timeout)
          .run();
  if (!Answer)
    return formatFailure(Request, Answer.error());
  return formatResult(Request, Id, std::get<CommandResult>(*Answer));
}

/// Writes the page of report burn.
Expected<void> writePage(const CtlRequest &Request,
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
              Request.HtmlFile + " can't be written");
}

/// Presents a failure of what the operator wrote.
CtlOutput presentUsage(const CtlRequest &Request, const Error &Reason) {
  CtlOutput Output = formatFailure(Request, Reason);
  Output.Status = CtlStatus::Usage;
  return Output;
}

CtlOutput perform(const CtlRequest &Request, const CtlSettings &Settings) {
  if (!Request.CommandId.empty())
    if (const auto Valid = checkCommandId(Request); !Valid)
      return presentUsage(Request, Valid.error());
  const auto Document = queryAll(Request, Settings);
  if (!Document)
    return formatFailure(Request, Document.error());
  if (changesState(Request.Action))
    return send(Request, Settings, *Document);
  if (!Request.HtmlFile.empty())
    if (const auto Written = writePage(Request, *Document); !Written)
      return presentUsage(Request, Written.error());
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
  const Expected<CtlSettings> Settings = loadCtlSettings(Request->ConfigFile);
  if (!Settings)
    return print(formatFailure(*Request, Settings.error()));
  if (Settings->ControlHosts.empty())
    return print(formatFailure(
        *Request, {ErrorCode::SettingsMissingKey,
                   Request->ConfigFile + ": no [[control_host]] is given"}));
  return print(perform(*Request, *Settings));
}
