#ifndef JASMINEARCH_CONTROL_QUERY_DOCUMENTS_H
#define JASMINEARCH_CONTROL_QUERY_DOCUMENTS_H

#include "jasminearch/control/config_model.h"
#include "jasminearch/types.h"
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Answers of the control leader to operators' queries. Each one is a JSON
/// object with the revision it was made at. Outcomes and Burn are the JSON
/// forms of OutcomeSummary and BurnReport.
namespace jasminearch::control {

/// {"revision", "profiles": [Profile]}
nlohmann::json profilesDocument(const Configuration &Config);

/// {"revision", "services": [Service]}
nlohmann::json servicesDocument(const Configuration &Config);

/// {"revision", "upstreams": [Upstream], "services": [Service],
/// "buckets": {upstream id: number of buckets}}
nlohmann::json upstreamsDocument(const Configuration &Config);

/// {"revision", "entries": [EntryHost]}
nlohmann::json entriesDocument(const Configuration &Config);

/// One control host as Members shows it.
struct MemberStatus {
  std::string Host;
  std::string StorageId;
  bool Voter = false;
  bool Leader = false;

  auto operator<=>(const MemberStatus &) const = default;
};

/// {"revision", "members": [{"host", "storage_id", "voter", "leader"}]}
nlohmann::json membersDocument(Revision At,
                               const std::vector<MemberStatus> &Members);

/// {"revision", "wanted", "everywhere", "hosts": [{"host", "in_force",
/// "state"}]}: which live hosts have \p Wanted or a later revision in force.
/// State is "in force", "behind" or "can't tell" for a host without a link.
/// \param Wanted zero means the revision of \p Config.
/// \param Applied revision in force at each host with a live link.
nlohmann::json inForceDocument(const Configuration &Config, Revision Wanted,
                               const std::map<std::string, Revision> &Applied);

/// {"revision", "leader", "quorum_age_ms", "profiles", "services",
/// "upstreams": {phase name: number}, "entries", "linked_hosts"}
nlohmann::json statusDocument(const Configuration &Config,
                              const std::string &Leader,
                              std::chrono::milliseconds QuorumAge,
                              std::size_t LinkedHosts);

/// \returns the name of a phase for reports, for example "draining".
const char *name(UpstreamPhase Phase);

} // namespace jasminearch::control

#endif // JASMINEARCH_CONTROL_QUERY_DOCUMENTS_H
