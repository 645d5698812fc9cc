#ifndef JASMINEARCH_SETTINGS_H
#define JASMINEARCH_SETTINGS_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Settings of the programs, read from TOML files.
namespace jasminearch {

/// Settings common to all programs.
struct CommonSettings {
  /// Name of the cluster; hosts refuse links from other clusters.
  std::string Cluster;
  /// Name of this process, unique within the cluster.
  std::string Name;
  std::string DataCentre;
  /// Shared secret that authenticates links within the cluster.
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
  /// Receives callers' datagrams from the fabric.
  Endpoint FabricListen;
  /// Destination of answers to callers.
  Endpoint FabricReturn;
  /// Receives Answer frames from agents.
  Endpoint Tunnel;

  auto operator<=>(const EntrySettings &) const = default;
};

/// Settings of jasminearch-agent.
struct AgentSettings {
  CommonSettings Common;
  std::vector<ControlHost> ControlHosts;
  /// Name of the service that the upstream belongs to.
  std::string Service;
  /// Receives frames from entry hosts and agents.
  Endpoint Tunnel;
  /// The upstream's CoAP endpoint.
  Endpoint Upstream;
  /// Number of requests that the upstream handles concurrently.
  std::uint32_t Slots = 1;
  /// Address at which a successor process requests the flow and request
  /// records.
  Endpoint TakeOver;

  auto operator<=>(const AgentSettings &) const = default;
};

/// Settings of jasminearch-control.
struct ControlSettings {
  CommonSettings Common;
  /// All control hosts, including this one.
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

/// Reads and validates a settings file. Unknown keys are errors.
/// \returns an error of the 1xx group with file, line, key, the value found and
/// the values allowed.
Expected<EntrySettings> loadEntrySettings(const std::string &File);
Expected<AgentSettings> loadAgentSettings(const std::string &File);
Expected<ControlSettings> loadControlSettings(const std::string &File);
Expected<CtlSettings> loadCtlSettings(const std::string &File);

/// Parses an endpoint in the form "a.b.c.d:port" with a port from 1 to 65535.
/// \returns InvalidArgument for other text.
Expected<Endpoint> parseEndpoint(const std::string &Text);

} // namespace jasminearch

#endif // JASMINEARCH_SETTINGS_H
