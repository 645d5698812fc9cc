#include "jasminearch/fleet/control_node.h"
#include "jasminearch/log.h"
#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

namespace jasminearch::fleet {

// State -----------------------------------------------------------------------

Expected<void> ControlNode::applyOrder(Revision At, const Bytes &Entry) {
  const auto Order = decodeEvacuationOrder(Entry);
  if (!Order)
    return tl::unexpected(Order.error());
  const std::uint64_t Before = Evacuated.Number;
  changeEvacuations(apply(Evacuated, *Order, At));
  logEvent(LogLevel::Info, "evacuation_committed",
           {{"data_centre", Order->DataCentre},
            {"evacuate", Order->Evacuate},
            {"order", Order->Id},
            {"revision", At.Number},
            {"number", Evacuated.Number},
            {"changed", Evacuated.Number != Before}});
  // The revision alone doesn't tell: a later leader may have put another entry
  // there.
  for (PendingOrder &W : PendingOrders)
    if (W.ProposedAt == At && W.Order.Id == Order->Id)
      W.Committed = true;
  return {};
}

void ControlNode::changeEvacuations(Evacuations Later) {
  if (supersedes(Later, Evacuated))
    Evacuated = std::move(Later);
}

// Distribution ----------------------------------------------------------------

void ControlNode::sendEvacuations(link::LinkId Id, IncomingLink &L) {
  if (L.From.Sender == Role::Control || L.SentEvacuations >= Evacuated.Number)
    return;
  L.SentEvacuations = Evacuated.Number;
  send(Id, Evacuated);
}

void ControlNode::updateServiceLimits() {
  if (Limits && Limits->RoutesVersion == version())
    return;
  ServiceLimits Updated{version(), {}, Current->Services};
  if (auto Decoded = decodeColdLimits(*Current))
    Updated.Limits = std::move(*Decoded);
  else
    logError("limits_unreadable", Decoded.error());
  Limits = std::make_shared<const ServiceLimits>(std::move(Updated));
}

/// Sends the services and limits of the routes in force on a new link, also if
/// there are no limits, because an agent that doesn't know them holds back
/// openings for a cold upstream; afterwards only changes.
void ControlNode::sendServiceLimits(link::LinkId Id, IncomingLink &L,
                                    TimePoint Now) {
  const bool IsFirst = !L.SentLimits;
  if (L.From.Sender != Role::Agent || !Current || Now < L.RoutesDue ||
      (!IsFirst && L.SentVersion >= version()))
    return;
  updateServiceLimits();
  const bool Differs = IsFirst || L.SentLimits->Limits != Limits->Limits ||
                       L.SentLimits->Services != Limits->Services;
  L.RoutesDue = Now + MinRoutesInterval;
  L.SentVersion = version();
  L.SentLimits = Limits;
  if (Differs)
    send(Id, *Limits);
}

std::vector<LinkedDaemon> ControlNode::linkedDaemons() const {
  std::vector<LinkedDaemon> All;
  for (const auto &[Id, L] : IncomingLinks)
    if (L.HelloReceived && L.From.Sender != Role::Control)
      All.push_back({L.From.Sender, L.From.Host, L.ReportedEvacuations});
  return All;
}

std::size_t ControlNode::daemonsBehind() const {
  const auto Behind = [this](const auto &Item) {
    const IncomingLink &L = Item.second;
    return L.HelloReceived && L.From.Sender != Role::Control &&
           L.ReportedEvacuations < Evacuated.Number;
  };
  return static_cast<std::size_t>(
      std::count_if(IncomingLinks.begin(), IncomingLinks.end(), Behind));
}

// Operators -------------------------------------------------------------------

void ControlNode::submit(EvacuationOrder Order,
                         std::function<void(EvacuationResult)> Done) {
  PendingOrder W;
  W.Order = std::move(Order);
  W.Deadline = Time.now() + SubmitTimeout;
  W.Done = std::move(Done);
  PendingOrders.push_back(std::move(W));
  tickPendingOrders(Time.now());
  if (Log)
    Log->flush();
  tickPendingOrders(Time.now());
}

void ControlNode::setDataCentres(std::set<std::string> Names) {
  DataCentres = std::move(Names);
}

EvacuationReply ControlNode::evacuationReply() const {
  EvacuationReply Reply;
  Reply.State = Evacuated;
  if (leading())
    Reply.Leader = Options.Host;
  else if (const auto Leader = Log ? Log->leader() : std::nullopt;
           Leader && *Leader != Options.Host && hasRecentQuorum())
    Reply.Leader = *Leader;
  return Reply;
}

void ControlNode::handleEvacuationRequest(link::LinkId Id,
                                          const EvacuationRequest &Value) {
  EvacuationReply Reply = evacuationReply();
  if (Value.Action == EvacuationAction::Show) {
    Reply.Daemons = linkedDaemons();
    Reply.ControlHosts = knownHosts();
    return send(Id, Reply);
  }
  const std::string &Name = Value.DataCentre;
  if (Name.empty() || Name.size() > MaxDataCentreNameBytes ||
      (!DataCentres.empty() && !DataCentres.contains(Name) &&
       !isEvacuated(Evacuated, Name))) {
    Reply.FailureCode =
        static_cast<std::uint16_t>(ErrorCode::UnknownDataCentre);
    Reply.Failure = "\"" + Name + "\" isn't a known data centre";
    return send(Id, Reply);
  }
  submit({Name, Value.Action == EvacuationAction::Evacuate, Value.Id},
         [this, Id](const EvacuationResult &Result) {
           EvacuationReply Answer = evacuationReply();
           Answer.Committed = std::holds_alternative<Evacuations>(Result);
           if (const auto *Failed = std::get_if<Unavailable>(&Result)) {
             Answer.FailureCode =
                 static_cast<std::uint16_t>(Failed->Reason.Code);
             Answer.Failure = Failed->Reason.Detail;
           }
           send(Id, Answer);
         });
}

void ControlNode::tickPendingOrders(TimePoint Now) {
  std::vector<std::pair<PendingOrder, EvacuationResult>> Answered;
  std::erase_if(PendingOrders, [&](PendingOrder &W) {
    auto Result = proceed(W, Now);
    if (Result)
      Answered.emplace_back(std::move(W), std::move(*Result));
    return Result.has_value();
  });
  for (auto &[W, Result] : Answered) {
    logEvent(LogLevel::Info, "evacuation_answered",
             {{"data_centre", W.Order.DataCentre},
              {"evacuate", W.Order.Evacuate},
              {"order", W.Order.Id},
              {"number", Evacuated.Number},
              {"committed", std::holds_alternative<Evacuations>(Result)}});
    W.Done(std::move(Result));
  }
}

std::optional<EvacuationResult> ControlNode::proceed(PendingOrder &W,
                                                     TimePoint Now) {
  const bool IsLeader = leading();
  if (IsLeader && W.Committed)
    return Evacuated;
  if (Now >= W.Deadline)
    return Unavailable{{ErrorCode::NoQuorum,
                        "no leader has been confirmed by a quorum in time"}};
  const auto Leader = Log ? Log->leader() : std::nullopt;
  if (!IsLeader && Leader && *Leader != Options.Host && hasRecentQuorum())
    return RedirectToLeader{*Leader};
  if (!IsLeader || W.ProposedAt)
    return std::nullopt;
  return propose(W);
}

std::optional<EvacuationResult> ControlNode::propose(PendingOrder &W) {
  const auto Proposed = Log->propose(encodeEvacuationOrder(W.Order));
  if (Proposed) {
    W.ProposedAt = *Proposed;
    return std::nullopt;
  }
  // Other hosts may still be able to write, but can't accept anything while
  // this one leads.
  if (Proposed.error().Code == ErrorCode::StorageFull)
    Log->stepDown();
  return Unavailable{Proposed.error()};
}

} // namespace jasminearch::fleet
