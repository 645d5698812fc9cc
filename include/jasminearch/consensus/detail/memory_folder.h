#ifndef JASMINEARCH_CONSENSUS_DETAIL_MEMORY_FOLDER_H
#define JASMINEARCH_CONSENSUS_DETAIL_MEMORY_FOLDER_H

#include "jasminearch/consensus/data_folder.h"
#include <map>
#include <string>
#include <vector>

namespace jasminearch::consensus::detail {

/// File contents by file name.
using MemoryFiles = std::map<std::string, Bytes>;

/// An in-memory folder without storage errors, for fuzzers and simulations. It
/// keeps a reference to \p Files, which must outlive it.
class MemoryFolder final : public DataFolder {
public:
  explicit MemoryFolder(MemoryFiles &Files) : Files(Files) {}

  Expected<std::vector<std::string>> list() override;
  Expected<Bytes> read(const std::string &Name) override;
  Expected<void> create(const std::string &Name, const Bytes &Content) override;
  Expected<void> append(const std::string &Name, const Bytes &Content) override;
  Expected<void> truncate(const std::string &Name, std::uint64_t Size) override;
  Expected<void> sync(const std::string &Name) override;
  Expected<void> rename(const std::string &From,
                        const std::string &To) override;
  Expected<void> remove(const std::string &Name) override;
  Expected<void> syncFolder() override;

private:
  MemoryFiles &Files;
};

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_MEMORY_FOLDER_H
