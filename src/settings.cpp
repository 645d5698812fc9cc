#include "jasminearch/settings.h"
#include "jasminearch/detail/table_reader.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace jasminearch {

namespace {

using detail::TableReader;

/// Minimum length of CommonSettings::LinkKey, in characters.
constexpr std::size_t MinLinkKeyLength = 16;

/// Upper limit of AgentSettings::Slots.
constexpr std::int64_t MaxSlots = 65'536;

Expected<toml::table> parseFile(const std::string &File) {
  std::ifstream In(File);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return fail(ErrorCode::SettingsUnreadable,
                absl::StrCat(File, ": can't read the settings file"));
  try {
    return toml::parse(Text.str(), File);
  } catch (const toml::parse_error &Failure) {
    return fail(ErrorCode::SettingsMalformed,
                absl::StrCat(File, ":", Failure.source().begin.line, ": ",
                             std::string(Failure.description())));
  }
}

CommonSettings readCommon(TableReader &Reader) {
  CommonSettings Common;
  Common.Cluster = Reader.text("cluster");
  Common.Name = Reader.text("name");
  Common.DataCentre = Reader.text("data_centre");
  Common.LinkKey = Reader.text("link_key");
  Common.LogLevel =
      Reader.choice("log_level", {"debug", "info", "warning", "error"}, "info");
  return Common;
}

Expected<std::vector<ControlHost>> readControlHosts(TableReader &Reader,
                                                    const std::string &File) {
  static const std::string Key = "control_host";
  std::vector<ControlHost> Hosts;
  std::set<std::string> Names;
  for (const toml::table *Table : Reader.tables(Key)) {
    TableReader Entry(*Table, File, absl::StrCat(Key, "[", Hosts.size(), "]"));
    ControlHost Host;
    Host.Name = Entry.text("name");
    Host.Address = Entry.endpoint("address");
    if (auto Checked = Entry.finish(); !Checked)
      return tl::unexpected<Error>(Checked.error());
    if (!Names.insert(Host.Name).second)
      return fail(ErrorCode::SettingsOutOfRange,
                  absl::StrCat(File, ":", Table->source().begin.line,
                               ": key \"", Key, ".name\": found \"", Host.Name,
                               "\" twice, allowed: a unique name"));
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

/// Checks values that the reader doesn't validate.
Expected<void> checkCommon(const CommonSettings &Common,
                           const std::string &File) {
  if (Common.LinkKey.size() < MinLinkKeyLength)
    return fail(
        ErrorCode::SettingsOutOfRange,
        absl::StrCat(File, ": key \"link_key\": found ", Common.LinkKey.size(),
                     " characters, allowed: at least ", MinLinkKeyLength));
  return {};
}

/// Reads a settings file: the common keys, the control hosts and, with
/// \p ReadSpecificKeys, the keys of one program.
template <typename Settings, typename KeyReader>
Expected<Settings> load(const std::string &File, KeyReader ReadSpecificKeys) {
  const Expected<toml::table> Table = parseFile(File);
  if (!Table)
    return tl::unexpected<Error>(Table.error());
  TableReader Reader(*Table, File, "");
  Settings Out;
  Out.Common = readCommon(Reader);
  auto Hosts = readControlHosts(Reader, File);
  ReadSpecificKeys(Reader, Out);
  if (auto Checked = Reader.finish(); !Checked)
    return tl::unexpected<Error>(Checked.error());
  if (!Hosts)
    return tl::unexpected<Error>(Hosts.error());
  Out.ControlHosts = std::move(*Hosts);
  if (auto Checked = checkCommon(Out.Common, File); !Checked)
    return tl::unexpected<Error>(Checked.error());
  return Out;
}

} // namespace

Expected<EntrySettings> loadEntrySettings(const std::string &File) {
  return load<EntrySettings>(File, [](TableReader &Reader, EntrySettings &Out) {
    Out.FabricListen = Reader.endpoint("fabric_listen");
    Out.FabricReturn = Reader.endpoint("fabric_return");
    Out.Tunnel = Reader.endpoint("tunnel");
  });
}

Expected<AgentSettings> loadAgentSettings(const std::string &File) {
  return load<AgentSettings>(File, [](TableReader &Reader, AgentSettings &Out) {
    Out.Service = Reader.text("service");
    Out.Tunnel = Reader.endpoint("tunnel");
    Out.Upstream = Reader.endpoint("upstream");
    Out.Slots = static_cast<std::uint32_t>(Reader.number("slots", 1, MaxSlots));
    Out.TakeOver = Reader.endpoint("take_over");
  });
}

Expected<ControlSettings> loadControlSettings(const std::string &File) {
  auto Loaded = load<ControlSettings>(
      File, [](TableReader &Reader, ControlSettings &Out) {
        Out.DataFolder = Reader.text("data_folder");
      });
  if (!Loaded)
    return Loaded;
  for (const ControlHost &Host : Loaded->ControlHosts)
    if (Host.Name == Loaded->Common.Name)
      return Loaded;
  return fail(ErrorCode::SettingsOutOfRange,
              absl::StrCat(File, ": key \"name\": found \"",
                           Loaded->Common.Name,
                           "\", allowed: the name of a [[control_host]]"));
}

Expected<CtlSettings> loadCtlSettings(const std::string &File) {
  return load<CtlSettings>(File, [](TableReader &, CtlSettings &) {});
}

Expected<Endpoint> parseEndpoint(const std::string &Text) {
  const auto Invalid =
      fail(ErrorCode::InvalidArgument,
           absl::StrCat(
               "\"", Text,
               "\" isn't an IPv4 address and port, such as 127.0.0.1:7000"));
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Invalid;
  in_addr Address{};
  if (inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address) != 1)
    return Invalid;
  std::uint32_t Port = 0;
  if (!absl::SimpleAtoi(Text.substr(Colon + 1), &Port) || Port == 0 ||
      Port > std::numeric_limits<std::uint16_t>::max())
    return Invalid;
  return Endpoint{ntohl(Address.s_addr), static_cast<std::uint16_t>(Port)};
}

} // namespace jasminearch
