#ifndef JASMINEARCH_CONSENSUS_DATA_FOLDER_H
#define JASMINEARCH_CONSENSUS_DATA_FOLDER_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminearch::consensus {

/// File operations on one data folder, as needed by LogStore. File content is
/// durable only after sync(); created, renamed and removed names are durable
/// only after syncFolder(). All operations return StorageFull if the disk is
/// full and StorageUnavailable for any other error.
class DataFolder {
public:
  virtual ~DataFolder() = default;

  /// \returns the names of the files in the folder.
  virtual Expected<std::vector<std::string>> list() = 0;

  /// \returns the content of a file.
  virtual Expected<Bytes> read(const std::string &Name) = 0;

  /// Creates a file with \p Content. An existing file is overwritten.
  virtual Expected<void> create(const std::string &Name,
                                const Bytes &Content) = 0;

  /// Appends \p Content to a file. On failure, a part of it may have been
  /// written.
  virtual Expected<void> append(const std::string &Name,
                                const Bytes &Content) = 0;

  /// Shortens a file to \p Size bytes.
  virtual Expected<void> truncate(const std::string &Name,
                                  std::uint64_t Size) = 0;

  /// Makes the content of a file durable.
  virtual Expected<void> sync(const std::string &Name) = 0;

  /// Renames a file. An existing file \p To is replaced.
  virtual Expected<void> rename(const std::string &From,
                                const std::string &To) = 0;

  /// Deletes a file.
  virtual Expected<void> remove(const std::string &Name) = 0;

  /// Makes created, renamed and removed file names durable.
  virtual Expected<void> syncFolder() = 0;
};

/// Opens the folder at \p Path, creating it if necessary, and locks it against
/// use by other processes. \returns StorageUnavailable on failure.
Expected<std::unique_ptr<DataFolder>> openDataFolder(const std::string &Path);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_DATA_FOLDER_H
