#include "jasminearch/detail/table_reader.h"
#include "jasminearch/settings.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <sstream>
#include <utility>

namespace jasminearch::detail {

namespace {

/// Formats a node for an error message.
std::string describe(const toml::node &Node) {
  std::ostringstream Out;
  Node.visit([&Out](const auto &Value) { Out << Value; });
  return Out.str();
}

} // namespace

TableReader::TableReader(const toml::table &Source, std::string File,
                         std::string Path)
    : Source(Source), File(std::move(File)), Path(std::move(Path)) {}

const toml::node *TableReader::find(const std::string &Key) {
  ReadKeys.insert(Key);
  return Source.get(Key);
}

void TableReader::recordError(ErrorCode Code, const std::string &Key,
                              const toml::node *Location,
                              const std::string &Found,
                              const std::string &Allowed) {
  if (FirstError)
    return;
  const auto Line =
      Location ? Location->source().begin.line : Source.source().begin.line;
  const std::string FullKey = Path.empty() ? Key : absl::StrCat(Path, ".", Key);
  FirstError =
      Error{Code, absl::StrCat(File, ":", Line, ": key \"", FullKey,
                               "\": found ", Found, ", allowed: ", Allowed)};
}

std::string TableReader::text(const std::string &Key) {
  static const std::string Allowed = "a non-empty string";
  const toml::node *Node = find(Key);
  if (!Node) {
    recordError(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing",
                Allowed);
    return {};
  }
  const auto *Text = Node->as_string();
  if (!Text) {
    recordError(ErrorCode::SettingsWrongType, Key, Node, describe(*Node),
                Allowed);
    return {};
  }
  if (Text->get().empty())
    recordError(ErrorCode::SettingsOutOfRange, Key, Node, "\"\"", Allowed);
  return Text->get();
}

std::string TableReader::choice(const std::string &Key,
                                const std::vector<std::string> &Allowed,
                                const std::string &Fallback) {
  if (!Source.contains(Key))
    return Fallback;
  std::string Text = text(Key);
  for (const std::string &Choice : Allowed)
    if (Choice == Text)
      return Text;
  recordError(ErrorCode::SettingsOutOfRange, Key, Source.get(Key),
              absl::StrCat("\"", Text, "\""), absl::StrJoin(Allowed, ", "));
  return Fallback;
}

Endpoint TableReader::endpoint(const std::string &Key) {
  const std::string Text = text(Key);
  if (FirstError)
    return {};
  const Expected<Endpoint> Parsed = parseEndpoint(Text);
  if (!Parsed) {
    recordError(ErrorCode::SettingsOutOfRange, Key, Source.get(Key),
                absl::StrCat("\"", Text, "\""),
                "an IPv4 address and port, such as \"127.0.0.1:7000\"");
    return {};
  }
  return *Parsed;
}

std::int64_t TableReader::number(const std::string &Key, std::int64_t Min,
                                 std::int64_t Max) {
  const std::string Allowed =
      absl::StrCat("an integer from ", Min, " to ", Max);
  const toml::node *Node = find(Key);
  if (!Node) {
    recordError(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing",
                Allowed);
    return Min;
  }
  const auto *Number = Node->as_integer();
  if (!Number) {
    recordError(ErrorCode::SettingsWrongType, Key, Node, describe(*Node),
                Allowed);
    return Min;
  }
  const std::int64_t Value = Number->get();
  if (Value < Min || Value > Max) {
    recordError(ErrorCode::SettingsOutOfRange, Key, Node, describe(*Node),
                Allowed);
    return Min;
  }
  return Value;
}

std::vector<const toml::table *> TableReader::tables(const std::string &Key) {
  const std::string Allowed = absl::StrCat("one or more [[", Key, "]] tables");
  const toml::node *Node = find(Key);
  if (!Node) {
    recordError(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing",
                Allowed);
    return {};
  }
  const toml::array *Array = Node->as_array();
  if (!Array || Array->empty()) {
    recordError(ErrorCode::SettingsWrongType, Key, Node, describe(*Node),
                Allowed);
    return {};
  }
  std::vector<const toml::table *> Tables;
  for (const toml::node &Element : *Array) {
    const toml::table *Table = Element.as_table();
    if (!Table) {
      recordError(ErrorCode::SettingsWrongType, Key, &Element,
                  describe(Element), Allowed);
      return {};
    }
    Tables.push_back(Table);
  }
  return Tables;
}

Expected<void> TableReader::finish() {
  // A missing key is usually a misspelt one, so that the unknown key is the
  // more helpful error.
  if (!FirstError || FirstError->Code == ErrorCode::SettingsMissingKey)
    reportUnknownKeys();
  if (FirstError)
    return tl::unexpected<Error>(*FirstError);
  return {};
}

void TableReader::reportUnknownKeys() {
  const std::optional<Error> PreviousError =
      std::exchange(FirstError, std::nullopt);
  for (const auto &[Key, Node] : Source) {
    const std::string Name(Key.str());
    if (!ReadKeys.contains(Name))
      recordError(ErrorCode::SettingsUnknownKey, Name, &Node, "an unknown key",
                  absl::StrJoin(ReadKeys, ", "));
  }
  if (!FirstError)
    FirstError = PreviousError;
}

} // namespace jasminearch::detail
