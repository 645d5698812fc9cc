#ifndef JASMINEARCH_DETAIL_TABLE_READER_H
#define JASMINEARCH_DETAIL_TABLE_READER_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace jasminearch::detail {

/// Reads the keys of one TOML table and remembers the first failure, so that
/// callers can read all keys in a row and check once at the end.
class TableReader {
public:
  /// \p File and \p Path (such as "control_host[1]") appear in failures.
  TableReader(const toml::table &Source, std::string File, std::string Path);

  /// \returns the text of a required key, not empty.
  std::string text(const std::string &Key);

  /// \returns the text of an optional key that must be one of \p Allowed.
  std::string choice(const std::string &Key,
                     const std::vector<std::string> &Allowed,
                     const std::string &Fallback);

  /// \returns the endpoint ("a.b.c.d:port") of a required key.
  Endpoint endpoint(const std::string &Key);

  /// \returns the whole number of a required key between \p Min and \p Max.
  std::int64_t number(const std::string &Key, std::int64_t Min,
                      std::int64_t Max);

  /// \returns the tables of a required, non-empty array of tables.
  std::vector<const toml::table *> tables(const std::string &Key);

  /// Refuses keys that nothing has read. \returns the first failure.
  Expected<void> finish();

private:
  /// Puts an unknown key, if there is one, in place of the first failure.
  void reportUnknownKeys();
  const toml::node *find(const std::string &Key);
  void recordError(ErrorCode Code, const std::string &Key,
                   const toml::node *Location, const std::string &Found,
                   const std::string &Allowed);

  const toml::table &Source;
  std::string File;
  std::string Path;
  std::set<std::string> ReadKeys;
  std::optional<Error> FirstError;
};

} // namespace jasminearch::detail

#endif // JASMINEARCH_DETAIL_TABLE_READER_H
