#pragma once

#include "storage/file_system.h"

namespace celeryspread {

/// FileSystem in a folder of a POSIX file system.
/// @thread loop thread only.
class PosixFileSystem : public FileSystem
{
public:
  /// Uses a folder. @pre CreateAndLock() is called before anything else.
  explicit PosixFileSystem(std::string aFolder)
    : m_folder(std::move(aFolder))
  {
  }
  /// Releases the lock.
  ~PosixFileSystem() override;
  PosixFileSystem(const PosixFileSystem&) = delete;
  PosixFileSystem& operator=(const PosixFileSystem&) = delete;
  /// Creates the folder if it doesn't exist and locks it against use by another
  /// process or object. @pre called once. @error false.
  bool CreateAndLock();
  std::optional<std::string> Read(const std::string& aName) override;
  std::unique_ptr<DurableFile> OpenForAppend(const std::string& aName) override;
  ReplaceResult ReplaceFile(const std::string& aName,
                            std::string_view aBytes) override;
  bool Truncate(const std::string& aName, size_t aLength) override;

private:
  [[nodiscard]] std::string PathOf(const std::string& aName) const;
  [[nodiscard]] bool SyncFolder() const;

  std::string m_folder;
  int m_lockFd = -1;
};

} // namespace celeryspread
