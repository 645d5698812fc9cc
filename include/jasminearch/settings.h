#ifndef JASMINEARCH_SETTINGS_H
#define JASMINEARCH_SETTINGS_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Settings files (TOML) of the programs.
namespace jasminearch {

/// Settings that every program has.
struct CommonSettings {
  /// Name of the cluster; links between different clusters are refused.
  std::string Cluster;
  /// Name of this process, unique in the cluster.
  std::string Name;
  std::string DataCentre;
  /// Shared secret of the cluster's links.
  std::string LinkKey;
  /// "debug", "info", "warning" or "error".
  std::string LogLevel = "info";

  auto operator<=>(const CommonSettings &) const = default;
};

/// A control host and its link endpoint.
struct ControlHost {
  std::string Name;
  Endpoint Address;

  auto operator<=>(const ControlHost &) const = default;
};

/// Settings of jasminearch-entry.
struct EntrySettings {
  CommonSettings Common;
  std::vector<ControlHost> ControlHosts;
  /// Takes datagrams from the fabric.
  Endpoint FabricListen;
  /// Where answers for callers go.
  Endpoint FabricReturn;
  /// Takes Answer frames from agents.
  Endpoint Tunnel;

  auto operator<=>(const EntrySettings &) const = default;
};

/// Settings of jasminearch-agent.
struct AgentSettings {
  CommonSettings Common;
  std::vector<ControlHost> ControlHosts;
  /// Name of the service that the upstream belongs to.
  std::string Service;
  /// Takes frames from entry hosts and agents.
  Endpoint Tunnel;
  /// The upstream's CoAP endpoint.
  Endpoint Upstream;
  /// Requests that the upstream handles at a time.
  std::uint32_t Slots = 1;
  /// Where a successor asks for flow and request records.
  Endpoint TakeOver;

  auto operator<=>(const AgentSettings &) const = default;
};

/// Settings of jasminearch-control.
struct ControlSettings {
  CommonSettings Common;
  /// All control hosts, this one included.
  std::vector<ControlHost> ControlHosts;
  std::string DataFolder;

  auto operator<=>(const ControlSettings &) const = default;
};

/// Settings of jasminectl.
struct CtlSettings {
  CommonSettings Common;
  std::vector<ControlHost> ControlHosts;

  auto operator<=>(const CtlSettings &) const = default;
};

/// Reads and checks a settings file. Unknown keys are refused. Each error of
/// the 1xx group tells file, line, key, what was found and what is allowed.
Expected<EntrySettings> loadEntrySettings(const std::string &File);
Expected<AgentSettings> loadAgentSettings(const std::string &File);
Expected<ControlSettings> loadControlSettings(const std::string &File);
Expected<CtlSettings> loadCtlSettings(const std::string &File);

/// Reads "a.b.c.d:port". \returns InvalidArgument for anything else.
Expected<Endpoint> parseEndpoint(const std::string &Text);

} // namespace jasminearch

#endif // JASMINEARCH_SETTINGS_H
