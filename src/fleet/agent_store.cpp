#include "jasminearch/fleet/control_node.h"
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace jasminearch::fleet {

namespace {

constexpr const char *FileName = "/agents";
constexpr const char *NewFileName = "/agents.new";

/// Closes a file descriptor at the end of its scope.
class Descriptor {
public:
  explicit Descriptor(int Number) : Number(Number) {}
  ~Descriptor() {
    if (Number >= 0)
      close(Number);
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  int number() const { return Number; }

private:
  int Number;
};

bool writeSynced(const std::string &Path, const Bytes &Content) {
  const Descriptor File(
      open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  return File.number() >= 0 &&
         write(File.number(), Content.data(), Content.size()) ==
             static_cast<ssize_t>(Content.size()) &&
         fdatasync(File.number()) == 0;
}

bool syncFolder(const std::string &Path) {
  const Descriptor Folder(open(Path.c_str(), O_RDONLY | O_CLOEXEC));
  return Folder.number() >= 0 && fsync(Folder.number()) == 0;
}

} // namespace

AgentStore makeAgentStore(const std::string &Folder) {
  AgentStore Store;
  Store.Load = [Folder]() -> Expected<Bytes> {
    std::ifstream In(Folder + FileName, std::ios::binary);
    if (!In)
      return Bytes{};
    return Bytes(std::istreambuf_iterator<char>(In), {});
  };
  Store.Save = [Folder](const Bytes &Content) -> Expected<void> {
    const std::string New = Folder + NewFileName;
    const std::string Path = Folder + FileName;
    if (writeSynced(New, Content) &&
        std::rename(New.c_str(), Path.c_str()) == 0 && syncFolder(Folder))
      return {};
    const auto Code = errno == ENOSPC ? ErrorCode::StorageFull
                                      : ErrorCode::StorageUnavailable;
    return fail(Code, Path + ": " + std::strerror(errno));
  };
  return Store;
}

} // namespace jasminearch::fleet
