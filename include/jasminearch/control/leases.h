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

/// What the control leader proposes because time has passed.
namespace jasminearch::control {

/// A daemon that doesn't renew its lease for this long is committed as lost.
inline constexpr std::chrono::milliseconds LeaseLength{2000};

/// A proposed retirement or warm-up step that isn't committed after this time
/// is proposed again.
inline constexpr std::chrono::milliseconds ProposalRetry{1000};

/// Leases of agents and entry hosts, by name, at the control leader. In memory:
/// a new leader starts with startLeases().
struct Leases {
  /// When the leader began; nobody's lease ends within LeaseLength of it.
  TimePoint Since{};
  std::map<std::string, TimePoint> Renewed;
  /// When the leader first saw an incarnation that warms up.
  std::map<UpstreamId, std::pair<Incarnation, TimePoint>> Warming;
  /// When a command about an object was last proposed.
  std::map<std::string, TimePoint> Proposed;
};

/// Grants everyone a full lease from \p Now.
Leases startLeases(TimePoint Now);

/// Renews the lease of \p Name.
void renewLease(Leases &L, const std::string &Name, TimePoint Now);

/// Ends the lease of \p Name at once, because it left on purpose.
void endLease(Leases &L, const std::string &Name);

/// \returns the commands that are due: retirements of upstreams and entry hosts
/// whose lease has ended, and warm-up steps. Complexity: linear in upstreams
/// and entry hosts.
std::vector<CommandBody> dueCommands(Leases &L, const Configuration &Config,
                                     TimePoint Now);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_LEASES_H
