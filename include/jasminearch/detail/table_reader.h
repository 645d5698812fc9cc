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

/// Reads the keys of one TOML table. Records the first error, so that callers
/// can read all keys and check for errors once, with finish().
class TableReader {
public:
  /// \param File Name of the file, for error messages.
  /// \param Path Path of the table, such as "control_host[1]", for error
  /// messages.
  TableReader(const toml::table &Source, std::string File, std::string Path);

  /// \returns the non-empty text of a required key.
  std::string text(const std::string &Key);

  /// \returns the text of an optional key, which must be one of \p Allowed, or
  /// \p Fallback if the key is missing.
  std::string choice(const std::string &Key,
                     const std::vector<std::string> &Allowed,
                     const std::string &Fallback);

  /// \returns the endpoint, written as "a.b.c.d:port", of a required key.
  Endpoint endpoint(const std::string &Key);

  /// \returns the integer of a required key, which must be in the range
  /// [\p Min, \p Max].
  std::int64_t number(const std::string &Key, std::int64_t Min,
                      std::int64_t Max);

  /// \returns the elements of a required, non-empty array of tables.
  std::vector<const toml::table *> tables(const std::string &Key);

  /// Reports keys that haven't been read as unknown. \returns the first error.
  Expected<void> finish();

private:
  /// Replaces the recorded error with that of the first unknown key, if any.
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
