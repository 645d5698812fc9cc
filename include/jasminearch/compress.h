#ifndef JASMINEARCH_COMPRESS_H
#define JASMINEARCH_COMPRESS_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstddef>

namespace jasminearch {

/// Compresses \p Size bytes at \p Data into one zstd frame that contains the
/// original size.
Bytes compress(const void *Data, std::size_t Size);

/// Decompresses the output of compress().
/// \returns the original bytes; MessageMalformed for other input, or
/// MessageTooLarge if the original is larger than \p MaxBytes.
Expected<Bytes> decompress(const Bytes &Compressed, std::size_t MaxBytes);

} // namespace jasminearch

#endif // JASMINEARCH_COMPRESS_H
