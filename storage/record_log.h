#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"

namespace celeryspread {

/// Kind of a storage failure.
enum class StorageErrorKind
{
  None,
  /// Stored data is corrupt and not just an incomplete tail.
  Corrupt,
  WriteFailed,
  SyncFailed,
  OpenFailed
};

/// A storage failure with the file and the offset where it occurred.
struct StorageError
{
  StorageErrorKind m_kind = StorageErrorKind::None;
  std::string m_file;
  uint64_t m_offset = 0;
};

/// Append-only file of checksummed records.
///
/// Frame: length (4 bytes), checksum of the length (4 bytes), checksum of the
/// payload (8 bytes), payload.
/// A tail that a crash left incomplete is truncated. Any other corruption is an
/// error, because a synced record must not be dropped silently.
/// @thread loop thread only.
class RecordLog
{
public:
  /// Uses the file aName. @pre aFileSystem outlives the log.
  RecordLog(FileSystem& aFileSystem, std::string aName);

  /// Reads every record and opens the file for appending. @pre no call has
  /// succeeded yet.
  /// @error empty; see LastError().
  std::optional<std::vector<std::string>> Open();
  /// Adds a record that the next Sync() writes. @pre Open() succeeded.
  /// @error false, as all calls until Recover() has succeeded.
  bool Append(std::string_view aPayload);
  /// Writes all appended records in one call and makes them durable.
  /// @pre Open() succeeded.
  /// @error false, as all calls until Recover() has succeeded.
  bool Sync();
  /// Replaces all records, also the appended ones, durably.
  /// @pre Open() succeeded. @error Unchanged: the log can still be used.
  /// Uncertain: all calls fail until Recover() has succeeded.
  ReplaceResult Rewrite(const std::vector<std::string>& aPayloads);
  /// Makes the log usable again after a failure, with the records of the last
  /// call that succeeded; none is pending. After a failed Rewrite() it may also
  /// hold the new records. @pre Open() succeeded. @error false; may be called
  /// again.
  bool Recover();
  /// Returns the size of the incomplete tail that Open() truncated. @pre none.
  /// @unit bytes.
  [[nodiscard]] size_t TruncatedBytes() const { return m_truncatedBytes; }
  /// Returns the last failure. @pre none.
  [[nodiscard]] const StorageError& LastError() const { return m_lastError; }

private:
  bool Fail(StorageErrorKind aKind, uint64_t aOffset);
  bool OpenForAppend();

  FileSystem& m_fileSystem;
  std::string m_name;
  std::unique_ptr<DurableFile> m_file;
  /// Encoded frames that the next Sync() writes.
  std::string m_pendingFrames;
  /// Size of the file with all frames written so far.
  uint64_t m_fileBytes = 0;
  size_t m_truncatedBytes = 0;
  StorageError m_lastError;
};

} // namespace celeryspread
