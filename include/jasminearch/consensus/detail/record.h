#ifndef JASMINEARCH_CONSENSUS_DETAIL_RECORD_H
#define JASMINEARCH_CONSENSUS_DETAIL_RECORD_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <string>
#include <vector>

/// Checksummed records of the data folder's files.
///
/// Header, little-endian: magic (4 bytes), body length (4), bytes of the file
/// that were synced at writing (8), body checksum (8), checksum of the header
/// so far (8). Checksums are XXH3-64 seeded with the record's position, so that
/// a record in the wrong place is noticed.
namespace jasminearch::consensus::detail {

/// Adds a record with \p Body to the end of \p File, whose first byte is at
/// \p Position of the whole file.
void appendRecord(Bytes &File, std::uint64_t Position, std::uint64_t Synced,
                  const Bytes &Body);

/// The records of one file.
struct RecordScan {
  std::vector<Bytes> Bodies;
  /// End of the last whole record. Bytes after it are a torn tail.
  std::uint64_t GoodBytes = 0;
};

/// Reads all records of \p File. \returns StorageCorrupt if a damaged record
/// can't be the torn tail of an unfinished write. \p Name is for the message.
Expected<RecordScan> scanRecords(const Bytes &File, const std::string &Name);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_RECORD_H
