#ifndef JASMINEARCH_LINK_CONTROL_QUERIES_H
#define JASMINEARCH_LINK_CONTROL_QUERIES_H

#include "jasminearch/link/control_server.h"
#include "jasminearch/link/messages.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// JSON documents that answer operators' queries.
namespace jasminearch::link {

/// \returns the names of registered daemons (upstreams that aren't lost, entry
/// hosts that are alive) that were last heard from more than SilenceTimeout
/// ago, or never.
std::vector<std::string> silentDaemons(const ServerState &State, TimePoint Now);

/// Builds the answer to \p Request from the leader's state. The caller must
/// check that this host holds the lease.
///
/// - Status: {"host", "leader", "revision", "quorum_age_ms", "profiles",
///   "services", "upstreams": {"cold", "active", "draining", "lost"},
///   "entries": {"alive", "lost"}, "silent": [name]}
/// - Profiles, Services, Upstreams, Entries: arrays of the JSON forms in
///   control/codec.h; upstreams and entry hosts additionally have "silent" and
///   "applied".
/// - Members: [{"host", "storage_id", "voter"}]
/// - InForce: {"revision", "everywhere", "hosts": [{"name", "applied",
///   "in_force"}], "silent": [name]}
/// - Outcomes: control::OutcomeSummary; Burn: control::BurnReport.
nlohmann::json answerQuery(const ServerState &State, const Query &Request,
                           const ServerView &View);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_QUERIES_H
