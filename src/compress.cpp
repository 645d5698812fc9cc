#include "jasminearch/compress.h"
#include <zstd.h>

namespace jasminearch {

namespace {

/// zstd level. It reduces route tables to a tenth of their size; higher levels
/// need several times the processor time for a few percent less.
constexpr int CompressionLevel = 1;

} // namespace

Bytes compress(const void *Data, std::size_t Size) {
  Bytes Compressed(ZSTD_compressBound(Size));
  const std::size_t WrittenBytes = ZSTD_compress(
      Compressed.data(), Compressed.size(), Data, Size, CompressionLevel);
  // A buffer of ZSTD_compressBound() bytes always suffices.
  Compressed.resize(ZSTD_isError(WrittenBytes) != 0U ? 0 : WrittenBytes);
  return Compressed;
}

Expected<Bytes> decompress(const Bytes &Compressed, std::size_t MaxBytes) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Compressed.data(), Compressed.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN)
    return fail(ErrorCode::MessageMalformed,
                "input isn't a zstd frame with a content size");
  if (Size > MaxBytes)
    return fail(ErrorCode::MessageTooLarge,
                "decompressed size exceeds the limit: " + std::to_string(Size) +
                    " bytes");
  Bytes Original(Size);
  const std::size_t WrittenBytes = ZSTD_decompress(
      Original.data(), Original.size(), Compressed.data(), Compressed.size());
  if (ZSTD_isError(WrittenBytes) != 0U || WrittenBytes != Size)
    return fail(ErrorCode::MessageMalformed,
                "corrupt zstd frame: can't be decompressed");
  return Original;
}

} // namespace jasminearch
