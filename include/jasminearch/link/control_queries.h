#ifndef JASMINEARCH_LINK_CONTROL_QUERIES_H
#define JASMINEARCH_LINK_CONTROL_QUERIES_H

#include "jasminearch/link/control_server.h"
#include "jasminearch/link/messages.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Documents that answer operators' queries.
namespace jasminearch::link {

/// \returns registered daemons (upstreams that aren't lost, entry hosts that
/// are alive) that weren't heard within SilenceTimeout.
std::vector<std::string> silentDaemons(const ServerState &S, TimePoint Now);

/// Answers \p Ask from the leader's state. The caller checks the lease.
///
/// - Status: {"host", "leader", "revision", "quorum_age_ms", "profiles",
///   "services", "upstreams": {"cold", "active", "draining", "lost"},
///   "entries": {"alive", "lost"}, "silent": [name]}
/// - Profiles, Services, Upstreams, Entries: arrays of the JSON forms in
///   control/codec.h; an upstream has "silent" and "applied" in addition, an
///   entry host too.
/// - Members: [{"host", "storage_id", "voter"}]
/// - InForce: {"revision", "everywhere", "hosts": [{"name", "applied",
///   "in_force"}], "silent": [name]}
/// - Outcomes: control::OutcomeSummary; Burn: control::BurnReport.
nlohmann::json answerQuery(const ServerState &S, const Query &Request,
                           const ServerView &View);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_CONTROL_QUERIES_H
