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

/// File that is locked while a process uses the folder. Not listed by list().
constexpr const char *LockFileName = "lock";

constexpr mode_t FileMode = 0600;

/// An owned file descriptor, closed by the destructor.
class File {
public:
  explicit File(int Descriptor = -1) : Descriptor(Descriptor) {}
  ~File() {
    if (Descriptor >= 0)
      ::close(Descriptor);
  }
  File(File &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  File &operator=(File &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    return *this;
  }
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  int descriptor() const { return Descriptor; }
  bool isOpen() const { return Descriptor >= 0; }

private:
  int Descriptor;
};

/// \returns an error for the failed operation \p Action, with the reason from
/// errno.
tl::unexpected<Error> systemError(const std::string &Action,
                                  const std::string &Path) {
  const int ErrorNumber = errno;
  const bool Full = ErrorNumber == ENOSPC || ErrorNumber == EDQUOT;
  return fail(Full ? ErrorCode::StorageFull : ErrorCode::StorageUnavailable,
              Action + " " + Path + ": " +
                  std::generic_category().message(ErrorNumber));
}

Expected<void> writeAll(int Descriptor, const Bytes &Content,
                        const std::string &Path) {
  std::size_t Offset = 0;
  while (Offset < Content.size()) {
    const ssize_t Written =
        ::write(Descriptor, Content.data() + Offset, Content.size() - Offset);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return systemError("cannot write to", Path);
    Offset += static_cast<std::size_t>(Written);
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
    std::filesystem::directory_iterator Entry(Path, Failure);
    for (; !Failure && Entry != std::filesystem::directory_iterator();
         Entry.increment(Failure)) {
      std::string Name = Entry->path().filename().string();
      if (Name != LockFileName)
        Names.push_back(std::move(Name));
    }
    if (Failure)
      return fail(ErrorCode::StorageUnavailable,
                  "cannot list " + Path + ": " + Failure.message());
    return Names;
  }

  Expected<Bytes> read(const std::string &Name) override {
    const File Source(
        ::openat(Folder.descriptor(), Name.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat Status {};
    if (!Source.isOpen() || ::fstat(Source.descriptor(), &Status) != 0)
      return systemError("cannot open", pathOf(Name));
    Bytes Content(static_cast<std::size_t>(Status.st_size));
    std::size_t Offset = 0;
    while (Offset < Content.size()) {
      const ssize_t BytesRead =
          ::read(Source.descriptor(), Content.data() + Offset,
                 Content.size() - Offset);
      if (BytesRead < 0 && errno == EINTR)
        continue;
      if (BytesRead < 0)
        return systemError("cannot read", pathOf(Name));
      if (BytesRead == 0)
        break;
      Offset += static_cast<std::size_t>(BytesRead);
    }
    Content.resize(Offset);
    return Content;
  }

  Expected<void> create(const std::string &Name,
                        const Bytes &Content) override {
    OpenFiles.erase(Name);
    const File Target(::openat(Folder.descriptor(), Name.c_str(),
                               O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                               FileMode));
    if (!Target.isOpen())
      return systemError("cannot create", pathOf(Name));
    return writeAll(Target.descriptor(), Content, pathOf(Name));
  }

  Expected<void> append(const std::string &Name,
                        const Bytes &Content) override {
    const auto Descriptor = openForAppend(Name);
    if (!Descriptor)
      return tl::unexpected(Descriptor.error());
    return writeAll(*Descriptor, Content, pathOf(Name));
  }

  Expected<void> truncate(const std::string &Name,
                          std::uint64_t Size) override {
    const auto Descriptor = openForAppend(Name);
    if (!Descriptor)
      return tl::unexpected(Descriptor.error());
    if (::ftruncate(*Descriptor, static_cast<off_t>(Size)) != 0)
      return systemError("cannot truncate", pathOf(Name));
    return {};
  }

  Expected<void> sync(const std::string &Name) override {
    const auto Descriptor = openForAppend(Name);
    if (!Descriptor)
      return tl::unexpected(Descriptor.error());
    if (::fdatasync(*Descriptor) != 0)
      return systemError("cannot sync", pathOf(Name));
    return {};
  }

  Expected<void> rename(const std::string &From,
                        const std::string &To) override {
    OpenFiles.erase(From);
    OpenFiles.erase(To);
    if (::renameat(Folder.descriptor(), From.c_str(), Folder.descriptor(),
                   To.c_str()) != 0)
      return systemError("cannot rename", pathOf(From));
    return {};
  }

  Expected<void> remove(const std::string &Name) override {
    OpenFiles.erase(Name);
    if (::unlinkat(Folder.descriptor(), Name.c_str(), 0) != 0 &&
        errno != ENOENT)
      return systemError("cannot remove", pathOf(Name));
    return {};
  }

  Expected<void> syncFolder() override {
    if (::fsync(Folder.descriptor()) != 0)
      return systemError("cannot sync", Path);
    return {};
  }

private:
  std::string pathOf(const std::string &Name) const {
    return Path + "/" + Name;
  }

  /// \returns the descriptor of a file opened for appending. It stays open so
  /// that sync() reports errors of earlier writes.
  Expected<int> openForAppend(const std::string &Name) {
    const auto Found = OpenFiles.find(Name);
    if (Found != OpenFiles.end())
      return Found->second.descriptor();
    File Opened(::openat(Folder.descriptor(), Name.c_str(),
                         O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!Opened.isOpen())
      return systemError("cannot open", pathOf(Name));
    return OpenFiles.emplace(Name, std::move(Opened))
        .first->second.descriptor();
  }

  std::string Path;
  File Folder;
  File Lock;
  std::map<std::string, File> OpenFiles;
};

/// Creates the directory \p Path and its parents, and makes its name durable.
Expected<void> createFolder(const std::string &Path) {
  std::error_code Failure;
  const bool Created = std::filesystem::create_directories(Path, Failure);
  if (Failure)
    return fail(ErrorCode::StorageUnavailable,
                "cannot create " + Path + ": " + Failure.message());
  if (!Created)
    return {};
  auto Absolute = std::filesystem::absolute(Path).lexically_normal();
  if (!Absolute.has_filename())
    Absolute = Absolute.parent_path();
  const std::string Parent = Absolute.parent_path().string();
  const File Folder(::open(Parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Folder.isOpen() || ::fsync(Folder.descriptor()) != 0)
    return systemError("cannot sync", Parent);
  return {};
}

} // namespace

Expected<std::unique_ptr<DataFolder>> openDataFolder(const std::string &Path) {
  const auto Created = createFolder(Path);
  if (!Created)
    return tl::unexpected(Created.error());
  File Folder(::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Folder.isOpen())
    return systemError("cannot open", Path);
  File Lock(::openat(Folder.descriptor(), LockFileName,
                     O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!Lock.isOpen())
    return systemError("cannot open the lock file in", Path);
  if (::flock(Lock.descriptor(), LOCK_EX | LOCK_NB) != 0)
    return systemError("cannot lock, possibly in use by another process:",
                       Path);
  return std::make_unique<PosixDataFolder>(Path, std::move(Folder),
                                           std::move(Lock));
}

} // namespace jasminearch::consensus
