#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Append-only file. Appended bytes survive a crash once Sync() has returned
/// true.
/// @thread loop thread only.
class DurableFile
{
public:
  virtual ~DurableFile() = default;
  /// Appends bytes. @pre none. @error false; a part of them may have been
  /// written.
  virtual bool Append(std::string_view aBytes) = 0;
  /// Makes all appended bytes durable. @pre none.
  /// @error false; the caller must not rely on a later Sync(), because the
  /// unsynced bytes may be lost although that one succeeds.
  virtual bool Sync() = 0;
};

/// What became of a file that was to be replaced.
enum class ReplaceResult
{
  Replaced,
  /// The file has its old content.
  Unchanged,
  /// The file has its new content, or it has it only until a crash.
  Uncertain
};

/// Files in the data folder of a process.
/// @thread loop thread only.
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /// Reads a whole file. @pre none. @error empty when it does not exist.
  virtual std::optional<std::string> Read(const std::string& aName) = 0;
  /// Opens a file for appending and creates it if it doesn't exist; the new
  /// directory entry is made durable. @pre none. @error null.
  virtual std::unique_ptr<DurableFile> OpenForAppend(
    const std::string& aName) = 0;
  /// Replaces a file atomically and durably: writes and syncs a temporary file,
  /// renames it, and syncs the folder. @pre none.
  virtual ReplaceResult ReplaceFile(const std::string& aName,
                                    std::string_view aBytes) = 0;
  /// Truncates a file to a length, durably. @pre the file exists. @unit bytes.
  virtual bool Truncate(const std::string& aName, size_t aLength) = 0;
};

} // namespace celeryspread
