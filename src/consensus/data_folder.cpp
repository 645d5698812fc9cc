#include "jasminearch/consensus/data_folder.h"
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace jasminearch::consensus {

namespace {

/// Holds the lock against other processes; not listed.
constexpr const char *LockName = "lock";

constexpr mode_t FileMode = 0600;

/// An open file, closed with the object.
class File {
public:
  explicit File(int Number = -1) : Number(Number) {}
  ~File() {
    if (Number >= 0)
      ::close(Number);
  }
  File(File &&Other) noexcept : Number(std::exchange(Other.Number, -1)) {}
  File &operator=(File &&Other) noexcept {
    std::swap(Number, Other.Number);
    return *this;
  }
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  int number() const { return Number; }
  bool open() const { return Number >= 0; }

private:
  int Number;
};

/// Describes the failure of \p Action that errno tells.
tl::unexpected<Error> systemFailure(const std::string &Action,
                                    const std::string &Path) {
  const int Number = errno;
  const bool Full = Number == ENOSPC || Number == EDQUOT;
  return fail(Full ? ErrorCode::StorageFull : ErrorCode::StorageUnavailable,
              Action + " " + Path + ": " +
                  std::generic_category().message(Number));
}

Expected<void> writeAll(int Number, const Bytes &Content,
                        const std::string &Path) {
  std::size_t Done = 0;
  while (Done < Content.size()) {
    const ssize_t Written =
        ::write(Number, Content.data() + Done, Content.size() - Done);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return systemFailure("write to", Path);
    Done += static_cast<std::size_t>(Written);
  }
  return {};
}

class PosixDataFolder final : public DataFolder {
public:
  PosixDataFolder(std::string Path, File Folder, File Lock)
      : Path(std::move(Path)), Folder(std::move(Folder)),
        Lock(std::move(Lock)) {}

  Expected<std::vector<std::string>> list() override {
    std::vector<std::string> Names;
    std::error_code Failure;
    std::filesystem::directory_iterator At(Path, Failure);
    for (; !Failure && At != std::filesystem::directory_iterator();
         At.increment(Failure)) {
      std::string Name = At->path().filename().string();
      if (Name != LockName)
        Names.push_back(std::move(Name));
    }
    if (Failure)
      return fail(ErrorCode::StorageUnavailable,
                  "list " + Path + ": " + Failure.message());
    return Names;
  }

  Expected<Bytes> read(const std::string &Name) override {
    const File Source(
        ::openat(Folder.number(), Name.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat Status {};
    if (!Source.open() || ::fstat(Source.number(), &Status) != 0)
      return systemFailure("open", pathOf(Name));
    Bytes Content(static_cast<std::size_t>(Status.st_size));
    std::size_t Done = 0;
    while (Done < Content.size()) {
      const ssize_t Got =
          ::read(Source.number(), Content.data() + Done, Content.size() - Done);
      if (Got < 0 && errno == EINTR)
        continue;
      if (Got < 0)
        return systemFailure("read", pathOf(Name));
      if (Got == 0)
        break;
      Done += static_cast<std::size_t>(Got);
    }
    Content.resize(Done);
    return Content;
  }

  Expected<void> create(const std::string &Name,
                        const Bytes &Content) override {
    OpenFiles.erase(Name);
    const File Target(::openat(Folder.number(), Name.c_str(),
                               O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                               FileMode));
    if (!Target.open())
      return systemFailure("create", pathOf(Name));
    return writeAll(Target.number(), Content, pathOf(Name));
  }

  Expected<void> append(const std::string &Name,
                        const Bytes &Content) override {
    const auto Number = openFile(Name);
    if (!Number)
      return tl::unexpected(Number.error());
    return writeAll(*Number, Content, pathOf(Name));
  }

  Expected<void> truncate(const std::string &Name,
                          std::uint64_t Size) override {
    const auto Number = openFile(Name);
    if (!Number)
      return tl::unexpected(Number.error());
    if (::ftruncate(*Number, static_cast<off_t>(Size)) != 0)
      return systemFailure("truncate", pathOf(Name));
    return {};
  }

  Expected<void> sync(const std::string &Name) override {
    const auto Number = openFile(Name);
    if (!Number)
      return tl::unexpected(Number.error());
    if (::fdatasync(*Number) != 0)
      return systemFailure("sync", pathOf(Name));
    return {};
  }

  Expected<void> rename(const std::string &From,
                        const std::string &To) override {
    OpenFiles.erase(From);
    OpenFiles.erase(To);
    if (::renameat(Folder.number(), From.c_str(), Folder.number(),
                   To.c_str()) != 0)
      return systemFailure("rename", pathOf(From));
    return {};
  }

  Expected<void> remove(const std::string &Name) override {
    OpenFiles.erase(Name);
    if (::unlinkat(Folder.number(), Name.c_str(), 0) != 0 && errno != ENOENT)
      return systemFailure("remove", pathOf(Name));
    return {};
  }

  Expected<void> syncFolder() override {
    if (::fsync(Folder.number()) != 0)
      return systemFailure("sync", Path);
    return {};
  }

private:
  std::string pathOf(const std::string &Name) const {
    return Path + "/" + Name;
  }

  /// \returns the number of a file opened for appending, which stays open so
  /// that sync() reports failures of earlier writes.
  Expected<int> openFile(const std::string &Name) {
    const auto Known = OpenFiles.find(Name);
    if (Known != OpenFiles.end())
      return Known->second.number();
    File Opened(::openat(Folder.number(), Name.c_str(),
                         O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!Opened.open())
      return systemFailure("open", pathOf(Name));
    return OpenFiles.emplace(Name, std::move(Opened)).first->second.number();
  }

  std::string Path;
  File Folder;
  File Lock;
  std::map<std::string, File> OpenFiles;
};

/// Creates \p Path with its parents and makes its name durable.
Expected<void> createFolder(const std::string &Path) {
  std::error_code Failure;
  const bool Created = std::filesystem::create_directories(Path, Failure);
  if (Failure)
    return fail(ErrorCode::StorageUnavailable,
                "create " + Path + ": " + Failure.message());
  if (!Created)
    return {};
  auto Absolute = std::filesystem::absolute(Path).lexically_normal();
  if (!Absolute.has_filename())
    Absolute = Absolute.parent_path();
  const std::string Parent = Absolute.parent_path().string();
  const File Folder(::open(Parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Folder.open() || ::fsync(Folder.number()) != 0)
    return systemFailure("sync", Parent);
  return {};
}

} // namespace

Expected<std::unique_ptr<DataFolder>> openDataFolder(const std::string &Path) {
  const auto Created = createFolder(Path);
  if (!Created)
    return tl::unexpected(Created.error());
  File Folder(::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Folder.open())
    return systemFailure("open", Path);
  File Lock(::openat(Folder.number(), LockName, O_RDWR | O_CREAT | O_CLOEXEC,
                     FileMode));
  if (!Lock.open())
    return systemFailure("open lock in", Path);
  if (::flock(Lock.number(), LOCK_EX | LOCK_NB) != 0)
    return systemFailure("another process uses", Path);
  return std::make_unique<PosixDataFolder>(Path, std::move(Folder),
                                           std::move(Lock));
}

} // namespace jasminearch::consensus
