#include "jasminearch/control/ctl_session.h"
#include "jasminearch/link/handshake.h"
#include <absl/strings/str_cat.h>
#include <utility>

namespace jasminearch::control {

namespace {

using Phase = CtlSession::Phase;

CtlEffects finish(CtlSession &Session, Expected<CtlResponse> Result) {
  Session.CurrentPhase = Phase::Ended;
  return {DropLink{}, Finish{std::move(Result)}};
}

CtlEffects finishWithError(CtlSession &Session, Error Reason) {
  return finish(Session, tl::unexpected<Error>(std::move(Reason)));
}

/// Ends the attempt; the next one, to \p Next, starts at \p PauseEnd.
CtlEffects scheduleAttempt(CtlSession &Session, ControlHost Next,
                           std::string Failure, TimePoint PauseEnd) {
  Session.CurrentPhase = Phase::Pausing;
  Session.Target = std::move(Next);
  Session.LastFailure = std::move(Failure);
  Session.PauseEnd = PauseEnd;
  return {DropLink{}};
}

CtlEffects tryNextHost(CtlSession &Session, const std::string &Failure,
                       TimePoint Now) {
  ControlHost Next = Session.Hosts[Session.NextHostIndex];
  Session.NextHostIndex = (Session.NextHostIndex + 1) % Session.Hosts.size();
  return scheduleAttempt(Session, std::move(Next),
                         absl::StrCat(Session.Target.Name, ": ", Failure),
                         Now + RetryDelay);
}

/// Connects to the leader immediately, or to the next host after a delay if the
/// leader is unknown. The leader's address is taken from the settings by its
/// name, because an address from another process cannot be trusted.
CtlEffects followLeader(CtlSession &Session,
                        const std::optional<ControlHost> &Leader,
                        TimePoint Now) {
  if (Leader && Leader->Name != Session.Target.Name)
    for (const ControlHost &Host : Session.Hosts)
      if (Host.Name == Leader->Name)
        return scheduleAttempt(
            Session, Host,
            absl::StrCat(Session.Target.Name, " is not the leader"), Now);
  return tryNextHost(Session, "is not the leader and does not know the leader",
                     Now);
}

/// \returns whether a failure is transient, so that a retry may succeed.
bool isTransient(ErrorCode Code) {
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

CtlEffects handleFailure(CtlSession &Session, const Error &Reason,
                         const std::optional<ControlHost> &Leader,
                         TimePoint Now) {
  if (Reason.Code == ErrorCode::NotLeader)
    return followLeader(Session, Leader, Now);
  if (isTransient(Reason.Code))
    return tryNextHost(Session, toString(Reason), Now);
  return finishWithError(Session, Reason);
}

const std::string *commandId(const CtlSession &Session) {
  const auto *Command = std::get_if<link::CommandRequest>(&Session.Operation);
  return Command == nullptr ? nullptr : &Command->Value.Id;
}

// Messages --------------------------------------------------------------------

CtlEffects handle(CtlSession &Session, const link::Challenge &Message,
                  TimePoint /*Now*/) {
  link::Hello Reply;
  Reply.Cluster = Session.Common.Cluster;
  Reply.Name = Session.Common.Name;
  Reply.Sender = link::Role::Operator;
  Reply.Nonce = link::generateNonce();
  Reply.Proof = link::helloProof(Session.Common.LinkKey, Message.Nonce, Reply);
  Session.Nonce = Reply.Nonce;
  return {SendMessage{std::move(Reply)}};
}

CtlEffects sendOperation(CtlSession &Session, TimePoint Now) {
  Session.Welcomed = true;
  Session.NextHeartbeat = Now + CtlHeartbeatInterval;
  if (const auto *Query = std::get_if<link::Query>(&Session.Operation))
    return {SendMessage{*Query}};
  Session.CommandSent = true;
  return {SendMessage{std::get<link::CommandRequest>(Session.Operation)}};
}

CtlEffects handle(CtlSession &Session, const link::Welcome &Message,
                  TimePoint Now) {
  if (Session.Nonce.empty())
    return tryNextHost(Session, "sent Welcome before Challenge", Now);
  const Bytes Proof = link::welcomeProof(Session.Common.LinkKey, Session.Nonce,
                                         Session.Common.Cluster, Message.Host);
  if (!link::proofsEqual(Proof, Message.Proof))
    return tryNextHost(Session, "did not prove that it has the link key", Now);
  if (!Message.Leading)
    return followLeader(Session, Message.Leader, Now);
  return sendOperation(Session, Now);
}

CtlEffects handle(CtlSession &Session, const link::CommandResult &Message,
                  TimePoint Now) {
  const std::string *Id = commandId(Session);
  if (!Session.Welcomed || Id == nullptr || *Id != Message.Id)
    return {};
  if (Message.Decided)
    return finish(Session, CtlResponse{*Message.Decided});
  const Error Reason = Message.Failure.value_or(
      Error{ErrorCode::OutcomeUnknown, "the result is empty"});
  return handleFailure(Session, Reason, Message.Leader, Now);
}

CtlEffects handle(CtlSession &Session, const link::QueryResult &Message,
                  TimePoint Now) {
  const auto *Query = std::get_if<link::Query>(&Session.Operation);
  if (!Session.Welcomed || Query == nullptr || Query->Id != Message.Id)
    return {};
  if (Message.Document)
    return finish(Session, CtlResponse{*Message.Document});
  const Error Reason = Message.Failure.value_or(
      Error{ErrorCode::NoQuorum, "the result is empty"});
  return handleFailure(Session, Reason, Message.Leader, Now);
}

CtlEffects handle(CtlSession &Session, const link::Refused &Message,
                  TimePoint Now) {
  // The command may have been accepted on this link before the refusal, so a
  // permanent error does not end the session.
  if (Session.CommandSent && !isTransient(Message.Reason.Code))
    return tryNextHost(Session, toString(Message.Reason), Now);
  return handleFailure(Session, Message.Reason, Message.Leader, Now);
}

/// Ignores all other messages, which are meant for daemons.
template <typename Other>
CtlEffects handle(CtlSession & /*Session*/, const Other & /*Message*/,
                  TimePoint /*Now*/) {
  return {};
}

// Time ------------------------------------------------------------------------

/// Ends the session at its deadline.
CtlEffects finishAtDeadline(CtlSession &Session) {
  if (const std::string *Id = commandId(Session); Session.CommandSent)
    return finishWithError(
        Session,
        {ErrorCode::OutcomeUnknown,
         absl::StrCat("command ", *Id, " was sent but not answered in time (",
                      Session.LastFailure,
                      "); it may or may not have been accepted. Resend it with "
                      "--command-id ",
                      *Id)});
  return finishWithError(Session,
                         {ErrorCode::LinkFailed,
                          absl::StrCat("no control leader answered in time; "
                                       "nothing was sent (",
                                       Session.LastFailure, ")")});
}

CtlEffects connect(CtlSession &Session, TimePoint Now) {
  Session.CurrentPhase = Phase::Connecting;
  Session.AttemptEnd = Now + AttemptTimeout;
  Session.Nonce.clear();
  Session.Welcomed = false;
  return {ConnectTo{Session.Target.Address}};
}

} // namespace

CtlSession startCtlSession(CommonSettings Common,
                           std::vector<ControlHost> Hosts,
                           CtlOperation Operation, TimePoint Now,
                           std::chrono::milliseconds Timeout) {
  CtlSession Session;
  Session.Common = std::move(Common);
  Session.Hosts = std::move(Hosts);
  Session.Operation = std::move(Operation);
  Session.Deadline = Now + Timeout;
  Session.Target = Session.Hosts.front();
  Session.NextHostIndex = 1 % Session.Hosts.size();
  Session.PauseEnd = Now;
  return Session;
}

CtlEffects onCtlMessage(CtlSession &Session, const link::Message &Message,
                        TimePoint Now) {
  if (Session.CurrentPhase != Phase::Connecting)
    return {};
  return std::visit(
      [&](const auto &Value) { return handle(Session, Value, Now); }, Message);
}

CtlEffects onCtlLinkClosed(CtlSession &Session, TimePoint Now) {
  if (Session.CurrentPhase != Phase::Connecting)
    return {};
  return tryNextHost(Session, "the link closed or could not be opened", Now);
}

CtlEffects onCtlMalformed(CtlSession &Session, const Error &Reason,
                          TimePoint Now) {
  if (Session.CurrentPhase != Phase::Connecting)
    return {};
  return tryNextHost(Session, toString(Reason), Now);
}

CtlEffects onCtlTick(CtlSession &Session, TimePoint Now) {
  if (Session.CurrentPhase == Phase::Ended)
    return {};
  if (Now >= Session.Deadline)
    return finishAtDeadline(Session);
  if (Session.CurrentPhase == Phase::Pausing)
    return Now >= Session.PauseEnd ? connect(Session, Now) : CtlEffects{};
  if (Now >= Session.AttemptEnd)
    return tryNextHost(Session, "no answer in time", Now);
  if (!Session.Welcomed || Now < Session.NextHeartbeat)
    return {};
  Session.NextHeartbeat = Now + CtlHeartbeatInterval;
  return {SendMessage{link::Heartbeat{}}};
}

} // namespace jasminearch::control
