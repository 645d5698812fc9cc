#ifndef JASMINEARCH_COMPRESS_H
#define JASMINEARCH_COMPRESS_H

#include "jasminearch/error.h"
#include "jasminearch/types.h"
#include <cstddef>

namespace jasminearch {

/// Compresses with zstd.
Bytes compress(const void *Data, std::size_t Size);

/// \returns the original bytes; MessageMalformed for anything that compress()
/// didn't write, MessageTooLarge if the original is larger than \p MaxBytes.
Expected<Bytes> decompress(const Bytes &Compressed, std::size_t MaxBytes);

} // namespace jasminearch

#endif // JASMINEARCH_COMPRESS_H
