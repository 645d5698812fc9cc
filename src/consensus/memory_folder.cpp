#include "jasminearch/consensus/detail/memory_folder.h"
#include <utility>

namespace jasminearch::consensus::detail {

Expected<std::vector<std::string>> MemoryFolder::list() {
  std::vector<std::string> Names;
  for (const auto &[Name, Content] : Files)
    Names.push_back(Name);
  return Names;
}

Expected<Bytes> MemoryFolder::read(const std::string &Name) {
  const auto Found = Files.find(Name);
  if (Found == Files.end())
    return fail(ErrorCode::StorageUnavailable, "file does not exist: " + Name);
  return Found->second;
}

Expected<void> MemoryFolder::create(const std::string &Name,
                                    const Bytes &Content) {
  Files[Name] = Content;
  return {};
}

Expected<void> MemoryFolder::append(const std::string &Name,
                                    const Bytes &Content) {
  Bytes &File = Files[Name];
  File.insert(File.end(), Content.begin(), Content.end());
  return {};
}

Expected<void> MemoryFolder::truncate(const std::string &Name,
                                      std::uint64_t Size) {
  Files[Name].resize(Size);
  return {};
}

Expected<void> MemoryFolder::sync(const std::string & /*Name*/) { return {}; }

Expected<void> MemoryFolder::rename(const std::string &From,
                                    const std::string &To) {
  Files[To] = std::move(Files[From]);
  Files.erase(From);
  return {};
}

Expected<void> MemoryFolder::remove(const std::string &Name) {
  Files.erase(Name);
  return {};
}

Expected<void> MemoryFolder::syncFolder() { return {}; }

} // namespace jasminearch::consensus::detail
