#include "jasminearch/compress.h"
#include <zstd.h>

namespace jasminearch {

namespace {

/// Route tables shrink to a tenth at this level; higher ones cost several times
/// the processor time for a few percent.
constexpr int CompressionLevel = 1;

} // namespace

Bytes compress(const void *Data, std::size_t Size) {
  Bytes Compressed(ZSTD_compressBound(Size));
  const std::size_t WrittenBytes = ZSTD_compress(
      Compressed.data(), Compressed.size(), Data, Size, CompressionLevel);
  // The buffer has the bound's size, so that this can't fail.
  Compressed.resize(ZSTD_isError(WrittenBytes) != 0U ? 0 : WrittenBytes);
  return Compressed;
}

Expected<Bytes> decompress(const Bytes &Compressed, std::size_t MaxBytes) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Compressed.data(), Compressed.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN)
    return fail(ErrorCode::MessageMalformed, "not a zstd frame with a size");
  if (Size > MaxBytes)
    return fail(ErrorCode::MessageTooLarge,
                "a compressed part holds " + std::to_string(Size) + " bytes");
  Bytes Original(Size);
  const std::size_t WrittenBytes = ZSTD_decompress(
      Original.data(), Original.size(), Compressed.data(), Compressed.size());
  if (ZSTD_isError(WrittenBytes) != 0U || WrittenBytes != Size)
    return fail(ErrorCode::MessageMalformed, "a zstd frame is damaged");
  return Original;
}

} // namespace jasminearch
