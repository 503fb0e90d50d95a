#pragma once

#include <optional>
#include <string>

#include "consensus/raft.h"
#include "storage/record_log.h"

namespace celeryspread {

/// What became of a snapshot that was to be saved.
enum class SaveResult
{
  Saved,
  /// There was no room for it; the log can still be used, and is complete.
  Postponed,
  /// Nothing may be acknowledged before Recover() has succeeded.
  Failed
};

/// Durable state of one replica, kept in a data folder: identity, hard state,
/// log and snapshot.
/// @thread loop thread only.
class ReplicaStore
{
public:
  /// Uses the data folder of aFileSystem. @pre aFileSystem outlives the store.
  explicit ReplicaStore(FileSystem& aFileSystem);

  /// Reads the stored state. @pre no call has succeeded yet.
  /// @error false; see LastError().
  bool Open();
  /// Returns the replica's identity, empty if the folder is not formatted.
  /// @pre Open() succeeded.
  [[nodiscard]] const ReplicaId& Identity() const { return m_identity; }
  /// Moves out the state that Open() read. @pre Open() succeeded; called once.
  RaftInitialState TakeInitialState() { return std::move(m_initialState); }
  /// Stores a new identity and its initial snapshot durably, with an empty log.
  /// @pre Identity() is empty. @error false; see LastError().
  bool Format(const ReplicaId& aIdentity, const Snapshot& aInitialSnapshot);
  /// Erases the identity and the log durably, so that the next start finds a
  /// folder that is not formatted. @pre Open() succeeded.
  /// @error false; the identity stays, and the call may be repeated.
  bool Discard();
  /// Stores the state in aReady and syncs it if there is any.
  /// @pre Open() succeeded. @error false; nothing may be acknowledged, and the
  /// same state is to be stored after Recover().
  bool Store(const RaftReady& aReady);
  /// Stores a snapshot and replaces the log by aRemainingEntries. @pre
  /// aRemainingEntries follows aSnapshot without gaps.
  SaveResult SaveSnapshot(const Snapshot& aSnapshot,
                          const std::vector<LogEntry>& aRemainingEntries);
  /// Makes the store usable again after a failure, as once a full disk has
  /// room. What could not be stored is not in it. @pre Open() succeeded.
  /// @error false; may be called again.
  bool Recover();
  /// Returns the last failure. @pre none.
  [[nodiscard]] const StorageError& LastError() const { return m_lastError; }
  /// Returns the size of the incomplete log tail that Open() truncated.
  /// @pre none. @unit bytes.
  [[nodiscard]] size_t TruncatedBytes() const { return m_log.TruncatedBytes(); }

private:
  bool Fail(const StorageError& aError);
  bool ApplyRecord(const std::string& aRecord);
  void AddEntry(LogEntry aEntry);

  FileSystem& m_fileSystem;
  RecordLog m_log;
  ReplicaId m_identity;
  HardState m_hardState;
  RaftInitialState m_initialState;
  StorageError m_lastError;
};

} // namespace celeryspread
