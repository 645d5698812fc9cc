#include "jasminearch/consensus/detail/record.h"
#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace jasminearch::consensus::detail {

namespace {

constexpr std::uint32_t Magic = 0x474F4C4A;
constexpr std::size_t HeaderBytes = 32;
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t SyncedOffset = 8;
constexpr std::size_t BodyChecksumOffset = 16;
constexpr std::size_t HeaderChecksumOffset = 24;

/// Smallest unit that a disk writes atomically.
constexpr std::uint64_t SectorBytes = 512;

template <typename T> void appendLittleEndian(Bytes &To, T Value) {
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    To.push_back(static_cast<std::uint8_t>(Value >> (8 * Byte)));
}

template <typename T>
T readLittleEndian(const Bytes &From, std::uint64_t Offset) {
  T Value = 0;
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    Value |= static_cast<T>(From[Offset + Byte]) << (8 * Byte);
  return Value;
}

std::uint64_t checksum(const Bytes &Data, std::uint64_t Offset,
                       std::size_t Length, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data() + Offset, Length, Seed);
}

struct Header {
  std::uint32_t Length = 0;
  std::uint64_t Synced = 0;
  std::uint64_t BodyChecksum = 0;
};

/// \returns the header at \p Offset, or std::nullopt if it is damaged or
/// incomplete.
std::optional<Header> readHeader(const Bytes &File, std::uint64_t Offset) {
  if (File.size() - Offset < HeaderBytes ||
      readLittleEndian<std::uint32_t>(File, Offset) != Magic ||
      readLittleEndian<std::uint64_t>(File, Offset + HeaderChecksumOffset) !=
          checksum(File, Offset, HeaderChecksumOffset, Offset))
    return std::nullopt;
  return Header{
      readLittleEndian<std::uint32_t>(File, Offset + LengthOffset),
      readLittleEndian<std::uint64_t>(File, Offset + SyncedOffset),
      readLittleEndian<std::uint64_t>(File, Offset + BodyChecksumOffset)};
}

/// \returns whether the body after the header at \p Offset is complete and
/// matches its checksum.
bool bodyIntact(const Bytes &File, std::uint64_t Offset, const Header &Head) {
  const std::uint64_t BodyOffset = Offset + HeaderBytes;
  return File.size() - BodyOffset >= Head.Length &&
         checksum(File, BodyOffset, Head.Length, Offset) == Head.BodyChecksum;
}

/// \returns whether a later header states that the file was synced beyond
/// \p Offset.
bool isKnownSynced(const Bytes &File, std::uint64_t Offset) {
  for (std::uint64_t LaterOffset = Offset + 1;
       LaterOffset + HeaderBytes <= File.size(); ++LaterOffset) {
    if (File[LaterOffset] != (Magic & 0xFFU))
      continue;
    const auto Head = readHeader(File, LaterOffset);
    if (Head && Head->Synced > Offset)
      return true;
  }
  return false;
}

/// \returns whether the part of [\p Begin, \p End) in any one sector is all
/// zeros. This is what remains if a write extended the file but its data didn't
/// reach the disk.
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

/// \returns whether the damage at \p Offset can result from a crash during the
/// last, unsynced writes. A changed byte in a complete record can't.
bool isTornTail(const Bytes &File, std::uint64_t Offset) {
  if (isKnownSynced(File, Offset))
    return false;
  if (File.size() - Offset < HeaderBytes)
    return true;
  const auto Head = readHeader(File, Offset);
  if (!Head)
    return hasZeroSector(File, Offset, Offset + HeaderBytes);
  const std::uint64_t End = Offset + HeaderBytes + Head->Length;
  return End > File.size() || hasZeroSector(File, Offset, End);
}

} // namespace

void appendRecord(Bytes &File, std::uint64_t Position, std::uint64_t Synced,
                  const Bytes &Body) {
  const std::uint64_t Offset = Position + File.size();
  Bytes Head;
  Head.reserve(HeaderBytes);
  appendLittleEndian(Head, Magic);
  appendLittleEndian(Head, static_cast<std::uint32_t>(Body.size()));
  appendLittleEndian(Head, Synced);
  appendLittleEndian(Head,
                     std::uint64_t{checksum(Body, 0, Body.size(), Offset)});
  appendLittleEndian(
      Head, std::uint64_t{checksum(Head, 0, HeaderChecksumOffset, Offset)});
  File.insert(File.end(), Head.begin(), Head.end());
  File.insert(File.end(), Body.begin(), Body.end());
}

Expected<RecordScan> scanRecords(const Bytes &File, const std::string &Name) {
  RecordScan Scan;
  while (Scan.IntactBytes < File.size()) {
    const std::uint64_t Offset = Scan.IntactBytes;
    const auto Head = readHeader(File, Offset);
    if (!Head || !bodyIntact(File, Offset, *Head)) {
      if (isTornTail(File, Offset))
        return Scan;
      return fail(ErrorCode::StorageCorrupt,
                  Name + ": damaged record at offset " +
                      std::to_string(Offset) + " of " +
                      std::to_string(File.size()));
    }
    const auto BodyBegin =
        File.begin() + static_cast<std::ptrdiff_t>(Offset + HeaderBytes);
    Scan.Bodies.emplace_back(
        BodyBegin, BodyBegin + static_cast<std::ptrdiff_t>(Head->Length));
    Scan.IntactBytes = Offset + HeaderBytes + Head->Length;
  }
  return Scan;
}

} // namespace jasminearch::consensus::detail
