#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace celeryspread {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;

bool WriteAll(int aFd, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t written = write(aFd, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

class PosixFile : public DurableFile
{
public:
  explicit PosixFile(int aFd)
    : m_fd(aFd)
  {
  }
  ~PosixFile() override { close(m_fd); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  bool Append(std::string_view aBytes) override
  {
    return WriteAll(m_fd, aBytes);
  }
  bool Sync() override { return fdatasync(m_fd) == 0; }

private:
  int m_fd;
};

} // namespace

PosixFileSystem::~PosixFileSystem()
{
  if (m_lockFd >= 0) {
    close(m_lockFd);
  }
}

std::string PosixFileSystem::PathOf(const std::string& aName) const
{
  return m_folder + "/" + aName;
}

bool PosixFileSystem::CreateAndLock()
{
  if (mkdir(m_folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return false;
  }
  m_lockFd =
    open(PathOf("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  return m_lockFd >= 0 && flock(m_lockFd, LOCK_EX | LOCK_NB) == 0;
}

bool PosixFileSystem::SyncFolder() const
{
  const int folderFd =
    open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folderFd < 0) {
    return false;
  }
  const bool isSynced = fsync(folderFd) == 0;
  close(folderFd);
  return isSynced;
}

std::optional<std::string> PosixFileSystem::Read(const std::string& aName)
{
  std::ifstream file(PathOf(aName), std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::unique_ptr<DurableFile> PosixFileSystem::OpenForAppend(
  const std::string& aName)
{
  const int fd = open(PathOf(aName).c_str(),
                      O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                      kFileMode);
  if (fd < 0) {
    return nullptr;
  }
  if (!SyncFolder()) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<PosixFile>(fd);
}

ReplaceResult PosixFileSystem::ReplaceFile(const std::string& aName,
                                           std::string_view aBytes)
{
  const std::string temporaryPath = PathOf(aName + ".new");
  const int fd = open(
    temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return ReplaceResult::Unchanged;
  }
  const bool isWritten = WriteAll(fd, aBytes) && fsync(fd) == 0;
  close(fd);
  if (!isWritten || rename(temporaryPath.c_str(), PathOf(aName).c_str()) != 0) {
    // The part that was written takes up room on a disk that may be full.
    unlink(temporaryPath.c_str());
    return ReplaceResult::Unchanged;
  }
  return SyncFolder() ? ReplaceResult::Replaced : ReplaceResult::Uncertain;
}

bool PosixFileSystem::Truncate(const std::string& aName, size_t aLength)
{
  const int fd = open(PathOf(aName).c_str(), O_WRONLY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool isTruncated =
    ftruncate(fd, static_cast<off_t>(aLength)) == 0 && fsync(fd) == 0;
  close(fd);
  return isTruncated;
}

} // namespace celeryspread
