#include "jasminearch/control/ctl_evacuation.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace jasminearch::control {

namespace {

using fleet::EvacuationReply;
using fleet::EvacuationRequest;
using nlohmann::json;

/// Redirections that are followed without a delay.
constexpr unsigned MaxRedirections = 2;

/// Control hosts that are asked at most.
constexpr std::size_t MaxAskedHosts = 64;

/// \returns the address of the control host \p Host, an IPv4 address in text
/// form. All control hosts of a fleet use the same port.
std::optional<Endpoint> endpointOf(const std::string &Host,
                                   std::uint16_t Port) {
  const auto Parsed = parseEndpoint(absl::StrCat(Host, ":", Port));
  return Parsed ? std::optional(*Parsed) : std::nullopt;
}

std::string hostOf(const Endpoint &Address) {
  const std::string Text = toString(Address);
  return Text.substr(0, Text.find(':'));
}

/// What became of one attempt to give an order.
struct Attempt {
  bool MayBeCommitted = false;
  std::string Failure;
  std::optional<Endpoint> Leader;
};

Attempt evaluate(const Endpoint &Target,
                 const Expected<EvacuationReply> &Reply) {
  Attempt A;
  if (!Reply) {
    A.MayBeCommitted = Reply.error().Code != ErrorCode::LinkFailed;
    A.Failure = absl::StrCat(toString(Target), ": ", toString(Reply.error()));
    return A;
  }
  if (Reply->FailureCode != 0) {
    A.MayBeCommitted = true;
    A.Failure = absl::StrCat(toString(Target), ": ", Reply->Failure);
    return A;
  }
  // A host that has lost its leadership after it proposed the order redirects,
  // too, and the reply doesn't tell.
  A.MayBeCommitted = true;
  A.Failure = absl::StrCat(toString(Target), " isn't the leader");
  A.Leader = endpointOf(Reply->Leader, Target.Port);
  return A;
}

json toJson(const EvacuationOverview &Overview) {
  json Hosts = json::array();
  for (const auto &[Host, Number] : Overview.ControlHosts)
    Hosts.push_back({{"role", "control"},
                     {"host", Host},
                     {"answered", Number.has_value()},
                     {"number", Number.value_or(0)}});
  for (const auto &[Daemon, Number] : Overview.Daemons)
    Hosts.push_back(
        {{"role", Daemon.first == fleet::Role::Agent ? "agent" : "entry"},
         {"host", Daemon.second},
         {"answered", true},
         {"number", Number}});
  return {{"number", Overview.Latest.Number},
          {"data_centres", Overview.Latest.DataCentres},
          {"leader", Overview.Leader},
          {"hosts", std::move(Hosts)}};
}

std::string stateText(const fleet::Evacuations &State) {
  return absl::StrCat("evacuated: ",
                      State.DataCentres.empty()
                          ? "none"
                          : absl::StrJoin(State.DataCentres, ", "),
                      " (number ", State.Number, ")\n");
}

std::string overviewText(const EvacuationOverview &Overview) {
  std::string Text = stateText(Overview.Latest);
  const auto Remark = [&](std::uint64_t Number) {
    return Number < Overview.Latest.Number ? "  not in force" : "";
  };
  for (const auto &[Host, Number] : Overview.ControlHosts) {
    const char *Leads = Host == Overview.Leader ? "  leader" : "";
    if (Number)
      absl::StrAppendFormat(&Text, "control  %-15s  number %d%s%s\n", Host,
                            *Number, Leads, Remark(*Number));
    else
      absl::StrAppendFormat(&Text, "control  %-15s  no answer%s\n", Host,
                            Leads);
  }
  for (const auto &[Daemon, Number] : Overview.Daemons)
    absl::StrAppendFormat(&Text, "%-7s  %-15s  number %d%s\n",
                          Daemon.first == fleet::Role::Agent ? "agent"
                                                             : "entry",
                          Daemon.second, Number, Remark(Number));
  return Text;
}

std::string dump(const json &Document) {
  constexpr int Indentation = 2;
  // A name that isn't UTF-8 must not make dump() throw.
  return Document.dump(Indentation, ' ', false,
                       json::error_handler_t::replace) +
         "\n";
}

/// Adds what one control host has reported.
void add(EvacuationOverview &Overview, const std::string &Host,
         const EvacuationReply &Reply) {
  Overview.ControlHosts[Host] = Reply.State.Number;
  if (Reply.State.Number >= Overview.Latest.Number)
    Overview.Latest = Reply.State;
  if (!Reply.Leader.empty())
    Overview.Leader = Reply.Leader;
  // A host can be linked to two control hosts while it replaces a link.
  for (const fleet::LinkedDaemon &D : Reply.Daemons) {
    std::uint64_t &Number = Overview.Daemons[{D.Kind, D.Host}];
    Number = std::max(Number, D.EvacuationNumber);
  }
}

} // namespace

bool isEvacuationAction(CtlAction Action) {
  return Action == CtlAction::EvacuationShow ||
         Action == CtlAction::EvacuationStart ||
         Action == CtlAction::EvacuationWithdraw;
}

Expected<EvacuationReply> giveEvacuationOrder(
    const std::vector<Endpoint> &Hosts, const EvacuationRequest &Order,
    std::chrono::milliseconds Timeout, const EvacuationPort &Port) {
  const TimePoint Deadline = Port.Time.now() + Timeout;
  Endpoint Target = Hosts.front();
  std::size_t Next = 0;
  unsigned Redirections = 0;
  bool MayBeCommitted = false;
  std::string Failure = "no attempt was made";
  while (Port.Time.now() < Deadline) {
    const auto Reply = Port.Ask(Target, Order, EvacuationAttemptTimeout);
    if (Reply && Reply->Committed)
      return *Reply;
    if (Reply && Reply->FailureCode ==
                     static_cast<unsigned>(ErrorCode::UnknownDataCentre))
      return fail(ErrorCode::UnknownDataCentre, Reply->Failure);
    const Attempt Last = evaluate(Target, Reply);
    MayBeCommitted = MayBeCommitted || Last.MayBeCommitted;
    Failure = Last.Failure;
    if (Last.Leader && *Last.Leader != Target &&
        Redirections++ < MaxRedirections) {
      Target = *Last.Leader;
      continue;
    }
    Redirections = 0;
    Target = Hosts[++Next % Hosts.size()];
    Port.Sleep(EvacuationRetryDelay);
  }
  if (MayBeCommitted)
    return fail(ErrorCode::OutcomeUnknown,
                absl::StrCat("the order may or may not have been committed (",
                             Failure, "); give it again"));
  return fail(ErrorCode::LinkFailed,
              absl::StrCat("no leader took the order (", Failure, ")"));
}

Expected<EvacuationOverview>
surveyEvacuations(const std::vector<Endpoint> &Hosts,
                  const EvacuationPort &Port) {
  EvacuationOverview Overview;
  std::deque<Endpoint> Pending(Hosts.begin(), Hosts.end());
  std::set<Endpoint> Known(Hosts.begin(), Hosts.end());
  std::string Failure = "no control host is known";
  bool Answered = false;
  while (!Pending.empty()) {
    const Endpoint Target = Pending.front();
    Pending.pop_front();
    const auto Reply = Port.Ask(Target, {}, EvacuationAttemptTimeout);
    if (!Reply) {
      Failure = absl::StrCat(toString(Target), ": ", toString(Reply.error()));
      Overview.ControlHosts.try_emplace(hostOf(Target));
      continue;
    }
    Answered = true;
    add(Overview, hostOf(Target), *Reply);
    for (const std::string &Host : Reply->ControlHosts)
      if (const auto Other = endpointOf(Host, Target.Port);
          Other && Known.size() < MaxAskedHosts && Known.insert(*Other).second)
        Pending.push_back(*Other);
  }
  if (!Answered)
    return fail(ErrorCode::LinkFailed,
                absl::StrCat("no control host answered (", Failure, ")"));
  return Overview;
}

CtlOutput formatEvacuations(const CtlRequest &Request,
                            const EvacuationOverview &Overview) {
  const auto Behind = [&](const auto &Item) {
    return Item.second < Overview.Latest.Number;
  };
  const bool Complete =
      std::none_of(Overview.Daemons.begin(), Overview.Daemons.end(), Behind) &&
      std::all_of(
          Overview.ControlHosts.begin(), Overview.ControlHosts.end(),
          [&](const auto &Item) { return Item.second && !Behind(Item); });
  return {Request.Json ? dump(toJson(Overview)) : overviewText(Overview), "",
          Complete ? CtlStatus::Done : CtlStatus::NeedsPerson};
}

CtlOutput runEvacuation(const CtlRequest &Request,
                        const std::vector<Endpoint> &Hosts,
                        std::uint64_t OrderId, const EvacuationPort &Port) {
  if (Request.Action == CtlAction::EvacuationShow) {
    const auto Overview = surveyEvacuations(Hosts, Port);
    return Overview ? formatEvacuations(Request, *Overview)
                    : formatFailure(Request, Overview.error());
  }
  EvacuationRequest Order;
  Order.Action = Request.Action == CtlAction::EvacuationStart
                     ? fleet::EvacuationAction::Evacuate
                     : fleet::EvacuationAction::Withdraw;
  Order.DataCentre = Request.Arguments.at(0);
  Order.Id = OrderId;
  const auto Reply = giveEvacuationOrder(Hosts, Order, Request.Timeout, Port);
  if (!Reply)
    return formatFailure(Request, Reply.error());
  if (Request.Json)
    return {dump({{"committed", true},
                  {"number", Reply->State.Number},
                  {"data_centres", Reply->State.DataCentres}}),
            "",
            {}};
  return {"committed; " + stateText(Reply->State), "", {}};
}

} // namespace jasminearch::control
