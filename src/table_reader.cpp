#include "jasminearch/detail/table_reader.h"
#include "jasminearch/settings.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <sstream>
#include <utility>

namespace jasminearch::detail {

namespace {

/// Renders a node for an error message.
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
  Read.insert(Key);
  return Source.get(Key);
}

void TableReader::refuse(ErrorCode Code, const std::string &Key,
                         const toml::node *Where, const std::string &Found,
                         const std::string &Allowed) {
  if (First)
    return;
  const auto Line =
      Where ? Where->source().begin.line : Source.source().begin.line;
  const std::string FullKey = Path.empty() ? Key : absl::StrCat(Path, ".", Key);
  First =
      Error{Code, absl::StrCat(File, ":", Line, ": key \"", FullKey,
                               "\": found ", Found, ", allowed: ", Allowed)};
}

std::string TableReader::text(const std::string &Key) {
  static const std::string Allowed = "text that isn't empty";
  const toml::node *Node = find(Key);
  if (!Node) {
    refuse(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing", Allowed);
    return {};
  }
  const auto *Text = Node->as_string();
  if (!Text) {
    refuse(ErrorCode::SettingsWrongType, Key, Node, describe(*Node), Allowed);
    return {};
  }
  if (Text->get().empty())
    refuse(ErrorCode::SettingsOutOfRange, Key, Node, "\"\"", Allowed);
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
  refuse(ErrorCode::SettingsOutOfRange, Key, Source.get(Key),
         absl::StrCat("\"", Text, "\""), absl::StrJoin(Allowed, ", "));
  return Fallback;
}

Endpoint TableReader::endpoint(const std::string &Key) {
  const std::string Text = text(Key);
  if (First)
    return {};
  const Expected<Endpoint> Parsed = parseEndpoint(Text);
  if (!Parsed) {
    refuse(ErrorCode::SettingsOutOfRange, Key, Source.get(Key),
           absl::StrCat("\"", Text, "\""),
           "IPv4 address and port, such as \"127.0.0.1:7000\"");
    return {};
  }
  return *Parsed;
}

std::int64_t TableReader::number(const std::string &Key, std::int64_t Least,
                                 std::int64_t Most) {
  const std::string Allowed =
      absl::StrCat("a whole number from ", Least, " to ", Most);
  const toml::node *Node = find(Key);
  if (!Node) {
    refuse(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing", Allowed);
    return Least;
  }
  const auto *Number = Node->as_integer();
  if (!Number) {
    refuse(ErrorCode::SettingsWrongType, Key, Node, describe(*Node), Allowed);
    return Least;
  }
  const std::int64_t Value = Number->get();
  if (Value < Least || Value > Most) {
    refuse(ErrorCode::SettingsOutOfRange, Key, Node, describe(*Node), Allowed);
    return Least;
  }
  return Value;
}

std::vector<const toml::table *> TableReader::tables(const std::string &Key) {
  const std::string Allowed = absl::StrCat("one or more [[", Key, "]] tables");
  const toml::node *Node = find(Key);
  if (!Node) {
    refuse(ErrorCode::SettingsMissingKey, Key, nullptr, "nothing", Allowed);
    return {};
  }
  const toml::array *Array = Node->as_array();
  if (!Array || Array->empty()) {
    refuse(ErrorCode::SettingsWrongType, Key, Node, describe(*Node), Allowed);
    return {};
  }
  std::vector<const toml::table *> Tables;
  for (const toml::node &Element : *Array) {
    const toml::table *Table = Element.as_table();
    if (!Table) {
      refuse(ErrorCode::SettingsWrongType, Key, &Element, describe(Element),
             Allowed);
      return {};
    }
    Tables.push_back(Table);
  }
  return Tables;
}

Expected<void> TableReader::finish() {
  // A missing key is most often a misspelt one, which is the better hint.
  if (!First || First->Code == ErrorCode::SettingsMissingKey)
    refuseUnknownKeys();
  if (First)
    return tl::unexpected<Error>(*First);
  return {};
}

void TableReader::refuseUnknownKeys() {
  const std::optional<Error> Before = std::exchange(First, std::nullopt);
  for (const auto &[Key, Node] : Source) {
    const std::string Name(Key.str());
    if (!Read.contains(Name))
      refuse(ErrorCode::SettingsUnknownKey, Name, &Node, "an unknown key",
             absl::StrJoin(Read, ", "));
  }
  if (!First)
    First = Before;
}

} // namespace jasminearch::detail
