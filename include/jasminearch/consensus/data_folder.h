#ifndef JASMINEARCH_CONSENSUS_DATA_FOLDER_H
#define JASMINEARCH_CONSENSUS_DATA_FOLDER_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminearch::consensus {

/// The file operations that the log store needs, within one folder. Nothing is
/// durable before sync() of the file and, for names, syncFolder(). Members
/// return StorageFull when the disk has no room and StorageUnavailable for any
/// other failure.
class DataFolder {
public:
  virtual ~DataFolder() = default;

  /// \returns the names of the files in the folder.
  virtual Expected<std::vector<std::string>> list() = 0;

  virtual Expected<Bytes> read(const std::string &Name) = 0;

  /// Makes a file with \p Content, in place of any file of that name.
  virtual Expected<void> create(const std::string &Name,
                                const Bytes &Content) = 0;

  /// Adds \p Content to the end of a file. A failure may leave part of it.
  virtual Expected<void> append(const std::string &Name,
                                const Bytes &Content) = 0;

  virtual Expected<void> truncate(const std::string &Name,
                                  std::uint64_t Size) = 0;

  /// Makes the content of a file durable.
  virtual Expected<void> sync(const std::string &Name) = 0;

  /// Renames a file, in place of any file called \p To.
  virtual Expected<void> rename(const std::string &From,
                                const std::string &To) = 0;

  virtual Expected<void> remove(const std::string &Name) = 0;

  /// Makes creations, renames and removals durable.
  virtual Expected<void> syncFolder() = 0;
};

/// Opens the folder at \p Path, creates it if it doesn't exist, and locks it
/// against other processes. \returns StorageUnavailable on failure.
Expected<std::unique_ptr<DataFolder>> openDataFolder(const std::string &Path);

} // namespace jasminearch::consensus

#endif // JASMINEARCH_CONSENSUS_DATA_FOLDER_H
