#include "jasminearch/consensus/detail/record.h"
#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace jasminearch::consensus::detail {

namespace {

constexpr std::uint32_t Magic = 0x474F4C4A;
constexpr std::size_t HeaderBytes = 32;
constexpr std::size_t LengthAt = 4;
constexpr std::size_t SyncedAt = 8;
constexpr std::size_t BodyChecksumAt = 16;
constexpr std::size_t HeaderChecksumAt = 24;

/// Smallest unit that a disk writes whole.
constexpr std::uint64_t SectorBytes = 512;

template <typename T> void put(Bytes &To, T Value) {
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    To.push_back(static_cast<std::uint8_t>(Value >> (8 * Byte)));
}

template <typename T> T take(const Bytes &From, std::uint64_t At) {
  T Value = 0;
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    Value |= static_cast<T>(From[At + Byte]) << (8 * Byte);
  return Value;
}

std::uint64_t checksum(const Bytes &Of, std::uint64_t At, std::size_t Length,
                       std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Of.data() + At, Length, Seed);
}

struct Header {
  std::uint32_t Length = 0;
  std::uint64_t Synced = 0;
  std::uint64_t BodyChecksum = 0;
};

/// \returns the header at \p At, or nothing if it is damaged or incomplete.
std::optional<Header> headerAt(const Bytes &File, std::uint64_t At) {
  if (File.size() - At < HeaderBytes ||
      take<std::uint32_t>(File, At) != Magic ||
      take<std::uint64_t>(File, At + HeaderChecksumAt) !=
          checksum(File, At, HeaderChecksumAt, At))
    return std::nullopt;
  return Header{take<std::uint32_t>(File, At + LengthAt),
                take<std::uint64_t>(File, At + SyncedAt),
                take<std::uint64_t>(File, At + BodyChecksumAt)};
}

/// \returns whether the whole body after the header at \p At is intact.
bool bodyIntact(const Bytes &File, std::uint64_t At, const Header &Head) {
  const std::uint64_t BodyAt = At + HeaderBytes;
  return File.size() - BodyAt >= Head.Length &&
         checksum(File, BodyAt, Head.Length, At) == Head.BodyChecksum;
}

/// \returns whether a header after \p At shows that \p At was synced.
bool shownAsSynced(const Bytes &File, std::uint64_t At) {
  for (std::uint64_t Later = At + 1; Later + HeaderBytes <= File.size();
       ++Later) {
    if (File[Later] != (Magic & 0xFFU))
      continue;
    const auto Head = headerAt(File, Later);
    if (Head && Head->Synced > At)
      return true;
  }
  return false;
}

/// \returns whether some sector's part of [\p Begin, \p End) is all zeros, as a
/// write leaves it that grew the file but didn't reach the disk.
bool hasZeroSector(const Bytes &File, std::uint64_t Begin, std::uint64_t End) {
  while (Begin < End) {
    const std::uint64_t SectorEnd =
        std::min(End, (Begin / SectorBytes + 1) * SectorBytes);
    if (std::all_of(File.begin() + static_cast<std::ptrdiff_t>(Begin),
                    File.begin() + static_cast<std::ptrdiff_t>(SectorEnd),
                    [](std::uint8_t Byte) { return Byte == 0; }))
      return true;
    Begin = SectorEnd;
  }
  return false;
}

/// \returns whether the damage at \p At is what a crash during the last,
/// unsynced writes leaves. A changed byte in a whole record isn't.
bool isTornTail(const Bytes &File, std::uint64_t At) {
  if (shownAsSynced(File, At))
    return false;
  if (File.size() - At < HeaderBytes)
    return true;
  const auto Head = headerAt(File, At);
  if (!Head)
    return hasZeroSector(File, At, At + HeaderBytes);
  const std::uint64_t End = At + HeaderBytes + Head->Length;
  return End > File.size() || hasZeroSector(File, At, End);
}

} // namespace

void appendRecord(Bytes &File, std::uint64_t Position, std::uint64_t Synced,
                  const Bytes &Body) {
  const std::uint64_t At = Position + File.size();
  Bytes Head;
  Head.reserve(HeaderBytes);
  put(Head, Magic);
  put(Head, static_cast<std::uint32_t>(Body.size()));
  put(Head, Synced);
  put(Head, std::uint64_t{checksum(Body, 0, Body.size(), At)});
  put(Head, std::uint64_t{checksum(Head, 0, HeaderChecksumAt, At)});
  File.insert(File.end(), Head.begin(), Head.end());
  File.insert(File.end(), Body.begin(), Body.end());
}

Expected<RecordScan> scanRecords(const Bytes &File, const std::string &Name) {
  RecordScan Scan;
  while (Scan.GoodBytes < File.size()) {
    const std::uint64_t At = Scan.GoodBytes;
    const auto Head = headerAt(File, At);
    if (!Head || !bodyIntact(File, At, *Head)) {
      if (isTornTail(File, At))
        return Scan;
      return fail(ErrorCode::StorageCorrupt,
                  Name + ": damaged record at byte " + std::to_string(At) +
                      " of " + std::to_string(File.size()));
    }
    const auto BodyBegin =
        File.begin() + static_cast<std::ptrdiff_t>(At + HeaderBytes);
    Scan.Bodies.emplace_back(
        BodyBegin, BodyBegin + static_cast<std::ptrdiff_t>(Head->Length));
    Scan.GoodBytes = At + HeaderBytes + Head->Length;
  }
  return Scan;
}

} // namespace jasminearch::consensus::detail
