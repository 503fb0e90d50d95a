#pragma once

#include <optional>
#include <string>

#include "consensus/raft.h"
#include "storage/record_log.h"

namespace celeryspread {

/// Durable state of one replica: identity, hard state, log and snapshot, in
/// one data folder.
/// @thread loop thread only.
class ReplicaStore
{
public:
  /// Uses a data folder. @pre aFiles outlives the store.
  explicit ReplicaStore(FileSystem& aFiles);

  /// Reads everything. @pre called once. @error false; see LastError().
  bool Open();
  /// Returns the replica's identity, empty on a fresh folder.
  /// @pre Open() succeeded.
  [[nodiscard]] const ReplicaId& Identity() const { return m_identity; }
  /// Returns what was read. @pre Open() succeeded; valid once.
  RaftInitialState TakeInitialState() { return std::move(m_initial); }
  /// Gives a fresh folder its identity and first state, durably.
  /// @pre Identity() is empty. @error false.
  bool Format(const ReplicaId& aIdentity, const Snapshot& aFirst);
  /// Gives up the identity with everything stored, so that the next start
  /// finds a fresh folder. @pre Open() succeeded. @error false.
  bool Discard();
  /// Stores what a replica hands out and syncs it when needed.
  /// @pre Open() succeeded. @error false; nothing may be acknowledged.
  bool Store(const RaftReady& aReady);
  /// Replaces the log up to aSnapshot by it. @pre aRest follows it.
  /// @error false; nothing may be acknowledged.
  bool SaveSnapshot(const Snapshot& aSnapshot,
                    const std::vector<LogEntry>& aRest);
  /// Returns the last failure. @pre none.
  [[nodiscard]] const StorageError& LastError() const { return m_lastError; }
  /// Returns bytes of an incomplete tail that Open() cut off. @pre none.
  [[nodiscard]] size_t CutBytes() const { return m_log.CutBytes(); }

private:
  bool Fail(const StorageError& aError);
  bool Apply(const std::string& aRecord);
  void AddEntry(LogEntry aEntry);

  FileSystem& m_files;
  RecordLog m_log;
  ReplicaId m_identity;
  HardState m_hard;
  RaftInitialState m_initial;
  StorageError m_lastError;
};

} // namespace celeryspread
