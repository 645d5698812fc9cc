#ifndef JASMINEARCH_CONSENSUS_DETAIL_RECORD_H
#define JASMINEARCH_CONSENSUS_DETAIL_RECORD_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstdint>
#include <string>
#include <vector>

/// Checksummed records, the format of the files in a data folder.
///
/// Each record is a header and a body. The header consists of these
/// little-endian fields: magic number (4 bytes), body length (4), number of
/// bytes of the file that were synced when the record was written (8), checksum
/// of the body (8), checksum of the preceding header fields (8). Checksums are
/// XXH3-64, seeded with the record's position in the file, so that misplaced
/// records are detected.
namespace jasminearch::consensus::detail {

/// Appends a record with \p Body to \p File, a buffer that will be written at
/// offset \p Position of the file on disk.
/// \param Synced number of bytes of the file on disk that are synced.
void appendRecord(Bytes &File, std::uint64_t Position, std::uint64_t Synced,
                  const Bytes &Body);

/// The records of one file.
struct RecordScan {
  std::vector<Bytes> Bodies;
  /// End offset of the last intact record. Bytes after it are a torn tail.
  std::uint64_t IntactBytes = 0;
};

/// Reads all records of \p File. \returns StorageCorrupt if a damaged record
/// can't be the torn tail of an unfinished write.
/// \param Name file name for the error message.
Expected<RecordScan> scanRecords(const Bytes &File, const std::string &Name);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_RECORD_H
