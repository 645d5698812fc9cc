#include "jasminearch/consensus/detail/memory_folder.h"
#include "jasminearch/consensus/detail/record.h"
#include "jasminearch/consensus/log_store.h"
#include <algorithm>
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::consensus;
using jasminearch::consensus::detail::appendRecord;
using jasminearch::consensus::detail::MemoryFiles;
using jasminearch::consensus::detail::MemoryFolder;

/// Opens a data folder with one damaged file. The first byte of the input
/// selects the file and the kind of damage. A log that loads must accept a
/// further entry and then load with that entry and nothing else changed.

namespace {

LogStoreOptions makeOptions() {
  LogStoreOptions Options;
  Options.Cluster = "fuzz";
  Options.Host = "a";
  Options.StorageId = "sa";
  return Options;
}

MemoryFiles makeIntactFiles() {
  MemoryFiles Files;
  auto Store =
      LogStore::open(std::make_unique<MemoryFolder>(Files), makeOptions());
  const auto Append = [&Store](LogIndex Index) {
    (void)(*Store)->append({1, {}}, {{Index, 1, EntryKind::Data, {1, 2, 3}}});
    (void)(*Store)->sync();
  };
  for (LogIndex Index = 1; Index <= 4; ++Index)
    Append(Index);
  auto Stored = (*Store)->load();
  (void)(*Store)->saveSnapshot({2, 1, {{"a", "sa", true}}, {9}}, {1, {}},
                               Stored->Log);
  Append(5);
  Append(6);
  return Files;
}

/// Damages a file with edits from the input: two bytes of position, then a byte
/// to XOR. A position past the end truncates the file instead.
void applyEdits(Bytes &File, const Bytes &Input) {
  constexpr std::size_t EditBytes = 3;
  for (std::size_t Offset = 0; Offset + EditBytes <= Input.size();
       Offset += EditBytes) {
    const std::size_t Position = Input[Offset] | (Input[Offset + 1] << 8U);
    if (Position < File.size())
      File[Position] ^= Input[Offset + 2];
    else
      File.resize(Position % (File.size() + 1));
  }
}

/// \returns a file of intact records whose bodies come from the input. Each
/// body follows one byte with its length.
Bytes makeRecords(const Bytes &Input) {
  Bytes File;
  for (std::size_t Offset = 0; Offset < Input.size();) {
    const std::size_t End =
        std::min<std::size_t>(Input.size(), Offset + 1 + Input[Offset]);
    appendRecord(File, 0, 0,
                 Bytes(Input.begin() + static_cast<long>(Offset) + 1,
                       Input.begin() + static_cast<long>(End)));
    Offset = End;
  }
  return File;
}

void checkReload(MemoryFiles &Files) {
  auto Store =
      LogStore::open(std::make_unique<MemoryFolder>(Files), makeOptions());
  if (!Store)
    return;
  const auto First = (*Store)->load();
  if (!First)
    return;
  if (First->Hard.Current == MaxIndexOrTerm ||
      lastIndex(First->Log) == MaxIndexOrTerm)
    return;
  const LogEntry Next{
      lastIndex(First->Log) + 1, First->Hard.Current + 1, EntryKind::Data, {7}};
  if (!(*Store)->append({Next.InTerm, {}}, {Next}) || !(*Store)->sync())
    std::abort();
  const auto Second = (*Store)->load();
  if (!Second || Second->Log.Entries.back() != Next ||
      Second->Log.BaseIndex != First->Log.BaseIndex ||
      Second->Log.Entries.size() != First->Log.Entries.size() + 1)
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const MemoryFiles Intact = makeIntactFiles();
  static const char *const FileNames[] = {"log", "snapshot", "identity"};
  if (Size < 1)
    return 0;
  const Bytes Input(Data + 1, Data + Size);
  MemoryFiles Files = Intact;
  Bytes &File = Files[FileNames[*Data % 3]];
  switch (*Data / 3 % 3) {
  case 0:
    File = Input;
    break;
  case 1:
    applyEdits(File, Input);
    break;
  default:
    File = makeRecords(Input);
  }
  checkReload(Files);
  return 0;
}
