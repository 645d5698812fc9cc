#ifndef JASMINEARCH_CONTROL_CTL_EVACUATION_H
#define JASMINEARCH_CONTROL_CTL_EVACUATION_H

#include "jasminearch/clock.h"
#include "jasminearch/control/ctl_options.h"
#include "jasminearch/control/ctl_output.h"
#include "jasminearch/error.h"
#include "jasminearch/fleet/messages.h"
#include "jasminearch/types.h"
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Evacuations of data centres in jasminectl. They concern the control hosts of
/// a fleet (fleet/control_node.h), which jasminectl asks over their links.
namespace jasminearch::control {

/// Time limit for one control host to answer. Control hosts answer an order
/// within fleet::SubmitTimeout.
inline constexpr std::chrono::milliseconds EvacuationAttemptTimeout{1200};

/// Delay before an order is sent again.
inline constexpr std::chrono::milliseconds EvacuationRetryDelay{200};

/// Time and network of a session; tests substitute their own.
struct EvacuationPort {
  /// Sends a request to a control host and waits for the reply. \returns
  /// LinkFailed if the request can't have reached the host, and LinkClosed if
  /// it may have.
  std::function<Expected<fleet::EvacuationReply>(
      const Endpoint &Host, const fleet::EvacuationRequest &Request,
      std::chrono::milliseconds Timeout)>
      Ask;
  std::function<void(std::chrono::milliseconds)> Sleep;
  const Clock &Time;
};

/// \returns whether the action is about evacuations.
bool isEvacuationAction(CtlAction Action);

/// Sends an order to one control host after the other, and to the leader that
/// they name, until it is committed. \param Hosts must not be empty. \returns
/// the reply, UnknownDataCentre, OutcomeUnknown if the order may have been
/// committed, or LinkFailed if no host was reached.
Expected<fleet::EvacuationReply> giveEvacuationOrder(
    const std::vector<Endpoint> &Hosts, const fleet::EvacuationRequest &Order,
    std::chrono::milliseconds Timeout, const EvacuationPort &Port);

/// Where evacuations are in force.
struct EvacuationOverview {
  /// The state with the greatest number at any control host.
  fleet::Evacuations Latest;
  std::string Leader;
  /// Evacuations::Number at each control host; empty if it didn't answer.
  std::map<std::string, std::optional<std::uint64_t>> ControlHosts;
  /// Evacuations::Number that each linked entry host and agent has reported.
  std::map<std::pair<fleet::Role, std::string>, std::uint64_t> Daemons;
  auto operator<=>(const EvacuationOverview &) const = default;
};

/// Asks all control hosts that can be found through \p Hosts. \returns
/// LinkFailed if none answers.
Expected<EvacuationOverview>
surveyEvacuations(const std::vector<Endpoint> &Hosts,
                  const EvacuationPort &Port);

/// Formats an overview. The status is NeedsPerson if a control host didn't
/// answer or the latest state isn't in force at a host.
CtlOutput formatEvacuations(const CtlRequest &Request,
                            const EvacuationOverview &Overview);

/// Runs a request for which isEvacuationAction() is true. \param OrderId Random
/// number of an order.
CtlOutput runEvacuation(const CtlRequest &Request,
                        const std::vector<Endpoint> &Hosts,
                        std::uint64_t OrderId, const EvacuationPort &Port);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_CTL_EVACUATION_H
