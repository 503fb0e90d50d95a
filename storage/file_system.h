#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// A file that is only appended to. What was appended survives a crash once
/// Sync() returned true.
/// @thread loop thread only.
class DurableFile
{
public:
  virtual ~DurableFile() = default;
  /// Appends bytes. @pre none. @error false; the file may hold a part of them.
  virtual bool Append(std::string_view aBytes) = 0;
  /// Makes everything appended durable. @pre none.
  /// @error false; it must not be tried again as if it could succeed.
  virtual bool Sync() = 0;
};

/// The one data folder of a process.
/// @thread loop thread only.
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /// Reads a whole file. @pre none. @error empty when it does not exist.
  virtual std::optional<std::string> Read(const std::string& aName) = 0;
  /// Opens a file for appending, making it when absent; a new file's name is
  /// durable. @pre none. @error null.
  virtual std::unique_ptr<DurableFile> OpenForAppend(
    const std::string& aName) = 0;
  /// Replaces a file as a whole, durably: synced temporary file, rename,
  /// synced folder. @pre none. @error false; the old file stands.
  virtual bool ReplaceWhole(const std::string& aName,
                            std::string_view aBytes) = 0;
  /// Cuts a file to a length, durably. @pre the file exists.
  virtual bool Truncate(const std::string& aName, size_t aLength) = 0;
};

} // namespace celeryspread
