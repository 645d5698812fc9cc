#include "jasminearch/compress.h"
#include <zstd.h>

namespace jasminearch {

namespace {

/// Route tables shrink to a tenth at this level; higher ones cost several times
/// the processor time for a few percent.
constexpr int Level = 1;

} // namespace

Bytes compress(const void *Data, std::size_t Size) {
  Bytes Compressed(ZSTD_compressBound(Size));
  const std::size_t Used =
      ZSTD_compress(Compressed.data(), Compressed.size(), Data, Size, Level);
  // The buffer has the bound's size, so that this can't fail.
  Compressed.resize(ZSTD_isError(Used) != 0U ? 0 : Used);
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
  const std::size_t Used = ZSTD_decompress(
      Original.data(), Original.size(), Compressed.data(), Compressed.size());
  if (ZSTD_isError(Used) != 0U || Used != Size)
    return fail(ErrorCode::MessageMalformed, "a zstd frame is damaged");
  return Original;
}

} // namespace jasminearch
