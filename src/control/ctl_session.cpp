#include "jasminearch/control/ctl_session.h"
#include "jasminearch/link/handshake.h"
#include <absl/strings/str_cat.h>
#include <utility>

namespace jasminearch::control {

namespace {

using Phase = CtlSession::Phase;

CtlEffects finish(CtlSession &Session, Expected<CtlResponse> Result) {
  Session.Step = Phase::Ended;
  return {DropLink{}, Finish{std::move(Result)}};
}

CtlEffects finishFailing(CtlSession &Session, Error Reason) {
  return finish(Session, tl::unexpected<Error>(std::move(Reason)));
}

/// Ends the attempt; the next one goes to \p Next after a pause.
CtlEffects retry(CtlSession &Session, ControlHost Next, std::string Failure,
                 TimePoint PauseEnd) {
  Session.Step = Phase::Pausing;
  Session.Target = std::move(Next);
  Session.LastFailure = std::move(Failure);
  Session.PauseEnd = PauseEnd;
  return {DropLink{}};
}

CtlEffects tryNextHost(CtlSession &Session, const std::string &Failure,
                       TimePoint Now) {
  ControlHost Next = Session.Hosts[Session.NextHost];
  Session.NextHost = (Session.NextHost + 1) % Session.Hosts.size();
  return retry(Session, std::move(Next),
               absl::StrCat(Session.Target.Name, ": ", Failure),
               Now + RetryPause);
}

/// Goes to the leader at once; without one, asks the next host after a pause.
/// The leader is the one the settings name: an address from another process
/// could lead anywhere.
CtlEffects followLeader(CtlSession &Session,
                        const std::optional<ControlHost> &Leader,
                        TimePoint Now) {
  if (Leader && Leader->Name != Session.Target.Name)
    for (const ControlHost &Host : Session.Hosts)
      if (Host.Name == Leader->Name)
        return retry(Session, Host,
                     absl::StrCat(Session.Target.Name, " isn't the leader"),
                     Now);
  return tryNextHost(Session, "is not the leader and knows none", Now);
}

/// Whether a failure may be over at the next attempt.
bool passes(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::NotLeader:
  case ErrorCode::NoQuorum:
  case ErrorCode::OutcomeUnknown:
  case ErrorCode::RateLimited:
  case ErrorCode::LinkLimitReached:
  case ErrorCode::LinkClosed:
  case ErrorCode::LinkFailed:
    return true;
  default:
    return false;
  }
}

CtlEffects afterFailure(CtlSession &Session, const Error &Reason,
                        const std::optional<ControlHost> &Leader,
                        TimePoint Now) {
  if (Reason.Code == ErrorCode::NotLeader)
    return followLeader(Session, Leader, Now);
  if (passes(Reason.Code))
    return tryNextHost(Session, toString(Reason), Now);
  return finishFailing(Session, Reason);
}

const std::string *commandId(const CtlSession &Session) {
  const auto *Command = std::get_if<link::CommandRequest>(&Session.Question);
  return Command == nullptr ? nullptr : &Command->Value.Id;
}

// Messages --------------------------------------------------------------------

CtlEffects on(CtlSession &Session, const link::Challenge &Message,
              TimePoint /*Now*/) {
  link::Hello Claim;
  Claim.Cluster = Session.Common.Cluster;
  Claim.Name = Session.Common.Name;
  Claim.Sender = link::Role::Operator;
  Claim.Nonce = link::generateNonce();
  Claim.Proof = link::helloProof(Session.Common.LinkKey, Message.Nonce, Claim);
  Session.Nonce = Claim.Nonce;
  return {SendMessage{std::move(Claim)}};
}

CtlEffects ask(CtlSession &Session, TimePoint Now) {
  Session.Welcomed = true;
  Session.NextHeartbeat = Now + CtlHeartbeatInterval;
  if (const auto *Query = std::get_if<link::Query>(&Session.Question))
    return {SendMessage{*Query}};
  Session.Sent = true;
  return {SendMessage{std::get<link::CommandRequest>(Session.Question)}};
}

CtlEffects on(CtlSession &Session, const link::Welcome &Message,
              TimePoint Now) {
  if (Session.Nonce.empty())
    return tryNextHost(Session, "sent Welcome before Challenge", Now);
  const Bytes Proof = link::welcomeProof(Session.Common.LinkKey, Session.Nonce,
                                         Session.Common.Cluster, Message.Host);
  if (!link::proofsEqual(Proof, Message.Proof))
    return tryNextHost(Session, "did not prove the link key", Now);
  if (!Message.Leading)
    return followLeader(Session, Message.Leader, Now);
  return ask(Session, Now);
}

CtlEffects on(CtlSession &Session, const link::CommandResult &Message,
              TimePoint Now) {
  const std::string *Id = commandId(Session);
  if (!Session.Welcomed || Id == nullptr || *Id != Message.Id)
    return {};
  if (Message.Decided)
    return finish(Session, CtlResponse{*Message.Decided});
  const Error Reason = Message.Failure.value_or(
      Error{ErrorCode::OutcomeUnknown, "the result is empty"});
  return afterFailure(Session, Reason, Message.Leader, Now);
}

CtlEffects on(CtlSession &Session, const link::QueryResult &Message,
              TimePoint Now) {
  const auto *Query = std::get_if<link::Query>(&Session.Question);
  if (!Session.Welcomed || Query == nullptr || Query->Id != Message.Id)
    return {};
  if (Message.Document)
    return finish(Session, CtlResponse{*Message.Document});
  const Error Reason = Message.Failure.value_or(
      Error{ErrorCode::NoQuorum, "the result is empty"});
  return afterFailure(Session, Reason, Message.Leader, Now);
}

CtlEffects on(CtlSession &Session, const link::Refused &Message,
              TimePoint Now) {
  // A refusal may come after a command was taken from this link.
  if (Session.Sent && !passes(Message.Reason.Code))
    return tryNextHost(Session, toString(Message.Reason), Now);
  return afterFailure(Session, Message.Reason, Message.Leader, Now);
}

/// Other messages are for daemons.
template <typename Other>
CtlEffects on(CtlSession & /*Session*/, const Other & /*Message*/,
              TimePoint /*Now*/) {
  return {};
}

// Time ------------------------------------------------------------------------

CtlEffects giveUp(CtlSession &Session) {
  if (const std::string *Id = commandId(Session); Session.Sent)
    return finishFailing(
        Session,
        {ErrorCode::OutcomeUnknown,
         absl::StrCat("command ", *Id, " was sent but not answered in time (",
                      Session.LastFailure,
                      "); it may or may not have been accepted. Resend it with "
                      "--command-id ",
                      *Id)});
  return finishFailing(Session,
                       {ErrorCode::LinkFailed,
                        absl::StrCat("no control leader answered in time; "
                                     "nothing was sent (",
                                     Session.LastFailure, ")")});
}

CtlEffects connect(CtlSession &Session, TimePoint Now) {
  Session.Step = Phase::Connecting;
  Session.AttemptEnd = Now + AttemptLimit;
  Session.Nonce.clear();
  Session.Welcomed = false;
  return {ConnectTo{Session.Target.Address}};
}

} // namespace

CtlSession startCtlSession(CommonSettings Common,
                           std::vector<ControlHost> Hosts,
                           CtlOperation Question, TimePoint Now,
                           std::chrono::milliseconds Timeout) {
  CtlSession Session;
  Session.Common = std::move(Common);
  Session.Hosts = std::move(Hosts);
  Session.Question = std::move(Question);
  Session.Deadline = Now + Timeout;
  Session.Target = Session.Hosts.front();
  Session.NextHost = 1 % Session.Hosts.size();
  Session.PauseEnd = Now;
  return Session;
}

CtlEffects onCtlMessage(CtlSession &Session, const link::Message &Message,
                        TimePoint Now) {
  if (Session.Step != Phase::Connecting)
    return {};
  return std::visit([&](const auto &Value) { return on(Session, Value, Now); },
                    Message);
}

CtlEffects onCtlLinkClosed(CtlSession &Session, TimePoint Now) {
  if (Session.Step != Phase::Connecting)
    return {};
  return tryNextHost(Session, "the link closed or could not be opened", Now);
}

CtlEffects onCtlMalformed(CtlSession &Session, const Error &Reason,
                          TimePoint Now) {
  if (Session.Step != Phase::Connecting)
    return {};
  return tryNextHost(Session, toString(Reason), Now);
}

CtlEffects onCtlTick(CtlSession &Session, TimePoint Now) {
  if (Session.Step == Phase::Ended)
    return {};
  if (Now >= Session.Deadline)
    return giveUp(Session);
  if (Session.Step == Phase::Pausing)
    return Now >= Session.PauseEnd ? connect(Session, Now) : CtlEffects{};
  if (Now >= Session.AttemptEnd)
    return tryNextHost(Session, "no answer in time", Now);
  if (!Session.Welcomed || Now < Session.NextHeartbeat)
    return {};
  Session.NextHeartbeat = Now + CtlHeartbeatInterval;
  return {SendMessage{link::Heartbeat{}}};
}

} // namespace jasminearch::control
