#ifndef JASMINEARCH_CONTROL_LEASES_H
#define JASMINEARCH_CONTROL_LEASES_H

#include "jasminearch/control/command.h"
#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Time-driven commands of the control leader: lease expiry and warm-up.
namespace jasminearch::control {

/// Time without renewal after which a lease expires and its holder is lost.
inline constexpr std::chrono::milliseconds LeaseLength{2000};

/// Time after which a retirement or warm-up step that was proposed but not
/// committed is proposed again.
inline constexpr std::chrono::milliseconds ProposalRetryDelay{1000};

/// Leases of agents and entry hosts, by name. Held in memory by the control
/// leader; a new leader starts with startLeases().
struct Leases {
  /// When this host became the leader; no lease expires within LeaseLength of
  /// it.
  TimePoint Since{};
  /// Time of the latest renewal; TimePoint::min() after endLease().
  std::map<std::string, TimePoint> Renewed;
  /// Incarnation that is warming up and when this leader first saw it.
  std::map<UpstreamId, std::pair<Incarnation, TimePoint>> WarmUpStarts;
  /// When a command for an object was last proposed.
  std::map<std::string, TimePoint> Proposed;
};

/// \returns leases that are full for every host from \p Now.
Leases startLeases(TimePoint Now);

/// Renews the lease of \p Name.
void renewLease(Leases &L, const std::string &Name, TimePoint Now);

/// Ends the lease of \p Name immediately, because the host deregistered.
void endLease(Leases &L, const std::string &Name);

/// \returns the commands that are due: retirements of upstreams and entry hosts
/// whose lease has expired, and warm-up steps. Complexity: linear in upstreams
/// and entry hosts.
std::vector<CommandBody> dueCommands(Leases &L, const Configuration &Config,
                                     TimePoint Now);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_LEASES_H
