#pragma once

#include <map>

#include "core/random_source.h"
#include "storage/file_system.h"

namespace celeryspread::test {

/// A file system in memory that loses unsynced bytes in a crash, and fails on
/// request.
class FakeFileSystem : public FileSystem
{
public:
  std::optional<std::string> Read(const std::string& aName) override
  {
    const auto found = m_files.find(aName);
    return found == m_files.end() ? std::nullopt
                                  : std::optional(found->second.m_bytes);
  }
  std::unique_ptr<DurableFile> OpenForAppend(const std::string& aName) override
  {
    m_files[aName];
    return std::make_unique<FakeFile>(*this, aName);
  }
  ReplaceResult ReplaceFile(const std::string& aName,
                            std::string_view aBytes) override
  {
    const bool isTooLarge = m_roomForFiles && aBytes.size() > *m_roomForFiles;
    if (m_isFull || m_failsSync || isTooLarge) {
      return ReplaceResult::Unchanged;
    }
    if (m_failsFolderSync) {
      m_undoneByCrash.try_emplace(aName, m_files[aName]);
    } else {
      m_undoneByCrash.erase(aName);
    }
    m_files[aName] = { std::string(aBytes), aBytes.size() };
    return m_failsFolderSync ? ReplaceResult::Uncertain
                             : ReplaceResult::Replaced;
  }
  bool Truncate(const std::string& aName, size_t aLength) override
  {
    File& file = m_files[aName];
    file.m_bytes.resize(aLength);
    file.m_synced = std::min(file.m_synced, aLength);
    return true;
  }

  /// Cuts each file to its synced bytes and a random part of the unsynced ones,
  /// and ends requested failures.
  void Crash(RandomSource& aRandom)
  {
    for (auto& [name, file] : m_undoneByCrash) {
      if (aRandom.Below(2) == 0) {
        m_files[name] = file;
      }
    }
    m_undoneByCrash.clear();
    for (auto& [name, file] : m_files) {
      const size_t unsynced = file.m_bytes.size() - file.m_synced;
      file.m_bytes.resize(file.m_synced + aRandom.Below(unsynced + 1));
      file.m_synced = file.m_bytes.size();
    }
    m_isFull = false;
    m_failsSync = false;
    m_failsFolderSync = false;
    m_roomForFiles.reset();
  }
  /// Deletes all files, as if the disk was replaced.
  void EraseAll() { m_files.clear(); }
  void FlipBit(const std::string& aName, size_t aOffset)
  {
    m_files.at(aName).m_bytes.at(aOffset) ^= 1;
  }
  size_t SizeOf(const std::string& aName)
  {
    return m_files[aName].m_bytes.size();
  }
  /// Makes writes fail; an append then writes half of its bytes.
  void SetFull(bool aIsFull) { m_isFull = aIsFull; }
  /// Makes the next sync fail, and all whole-file writes until then.
  void SetFailsSync(bool aFails) { m_failsSync = aFails; }
  /// Makes whole-file writes durable only if no crash follows.
  void SetFailsFolderSync(bool aFails) { m_failsFolderSync = aFails; }
  /// Makes writes of whole files fail that are larger than aBytes; appends
  /// still succeed.
  void SetRoomForFiles(std::optional<size_t> aBytes)
  {
    m_roomForFiles = aBytes;
  }

private:
  struct File
  {
    std::string m_bytes;
    size_t m_synced = 0;
  };

  class FakeFile : public DurableFile
  {
  public:
    FakeFile(FakeFileSystem& aDisk, std::string aName)
      : m_disk(aDisk)
      , m_name(std::move(aName))
    {
    }
    bool Append(std::string_view aBytes) override
    {
      File& file = m_disk.m_files[m_name];
      if (m_disk.m_isFull) {
        file.m_bytes += aBytes.substr(0, aBytes.size() / 2);
        return false;
      }
      file.m_bytes += aBytes;
      return true;
    }
    bool Sync() override
    {
      if (m_disk.m_failsSync) {
        // A kernel may drop the unwritten pages when a sync fails, and report
        // success for the next one.
        m_disk.m_failsSync = false;
        File& file = m_disk.m_files[m_name];
        file.m_bytes.resize(file.m_synced);
        return false;
      }
      File& file = m_disk.m_files[m_name];
      file.m_synced = file.m_bytes.size();
      return true;
    }

  private:
    FakeFileSystem& m_disk;
    std::string m_name;
  };

  std::map<std::string, File> m_files;
  bool m_isFull = false;
  bool m_failsSync = false;
  bool m_failsFolderSync = false;
  std::optional<size_t> m_roomForFiles;
  /// Former content of files that a crash may bring back.
  std::map<std::string, File> m_undoneByCrash;
};

} // namespace celeryspread::test
