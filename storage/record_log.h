#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"

namespace celeryspread {

/// Why a log could not be used.
enum class StorageErrorKind
{
  None,
  /// A record is damaged that is no torn tail.
  Corrupt,
  WriteFailed,
  SyncFailed,
  OpenFailed
};

/// A storage failure with its place.
struct StorageError
{
  StorageErrorKind m_kind = StorageErrorKind::None;
  std::string m_file;
  uint64_t m_offset = 0;
};

/// Append-only file of checksummed records.
///
/// Frame: length (4 bytes), check of the length (4 bytes), checksum of the
/// payload (8 bytes), payload.
/// A tail that a crash left incomplete is cut off; any other damage is an
/// error, because a record that was synced may not be dropped silently.
/// @thread loop thread only.
class RecordLog
{
public:
  /// Uses one file. @pre aFiles outlives the log.
  RecordLog(FileSystem& aFiles, std::string aName);

  /// Reads every record and opens the file for appending. @pre called once.
  /// @error empty; see LastError().
  std::optional<std::vector<std::string>> Open();
  /// Appends a record, which Sync() writes. @pre Open() succeeded.
  /// @error false, and every later call fails too.
  bool Append(std::string_view aPayload);
  /// Writes all appended records at once and makes them durable. @pre Open()
  /// succeeded.
  /// @error false, and every later call fails too.
  bool Sync();
  /// Replaces the whole content durably. @pre Open() succeeded.
  bool Rewrite(const std::vector<std::string>& aPayloads);
  /// Returns bytes of an incomplete tail that Open() cut off. @pre none.
  [[nodiscard]] size_t CutBytes() const { return m_cutBytes; }
  /// Returns the last failure. @pre none.
  [[nodiscard]] const StorageError& LastError() const { return m_lastError; }

private:
  bool Fail(StorageErrorKind aKind, uint64_t aOffset);

  FileSystem& m_files;
  std::string m_name;
  std::unique_ptr<DurableFile> m_file;
  /// Frames appended since the last sync.
  std::string m_unwritten;
  uint64_t m_length = 0;
  size_t m_cutBytes = 0;
  StorageError m_lastError;
};

} // namespace celeryspread
