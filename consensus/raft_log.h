#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "consensus/raft_types.h"

namespace celeryspread {

/// In-memory log: the latest snapshot and the entries after it.
/// @thread loop thread only.
class RaftLog
{
public:
  /// Creates the log. @pre aEntries follow aSnapshot without gaps.
  RaftLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries);

  /// Returns the index of the last entry, or of the snapshot when there is no
  /// entry. @pre none.
  [[nodiscard]] LogIndex LastIndex() const;
  /// Returns the term of the last entry, or of the snapshot when there is no
  /// entry. @pre none.
  [[nodiscard]] Term LastTerm() const;
  /// Returns the last index that the snapshot covers. @pre none.
  [[nodiscard]] LogIndex SnapshotIndex() const { return m_snapshot.m_index; }
  /// Returns the latest snapshot. @pre none.
  [[nodiscard]] const Snapshot& LatestSnapshot() const { return m_snapshot; }
  /// Returns the term at an index. @pre none.
  /// @error empty when the index lies before the snapshot or after the end.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex aIndex) const;
  /// Returns an entry. @pre it lies after the snapshot and not after the end.
  [[nodiscard]] const LogEntry& At(LogIndex aIndex) const;
  /// Copies entries from aFirst on, up to a number of entries and a total
  /// payload size; the first entry is included whatever its size.
  /// @pre aFirst lies after the snapshot. @unit aMaxBytes in bytes.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex aFirst,
                                            size_t aMaxEntries,
                                            size_t aMaxBytes) const;
  /// Appends one entry. @pre its index is LastIndex() + 1.
  void Append(LogEntry aEntry);
  /// Removes the entries from aFirst on. @pre aFirst > SnapshotIndex().
  void TruncateFrom(LogIndex aFirst);
  /// Replaces the snapshot and removes the entries that the new one covers.
  /// @pre aSnapshot is newer than the current one.
  void CompactTo(Snapshot aSnapshot);
  /// Replaces the snapshot and removes all entries. @pre none.
  void Reset(Snapshot aSnapshot);
  /// Returns the replica set in force at the end of the log. @pre none.
  [[nodiscard]] const ReplicaSet& LatestReplicas() const;
  /// Returns the index of the latest replica set entry, or of the snapshot
  /// when no entry holds one. @pre none.
  [[nodiscard]] LogIndex LatestReplicasIndex() const { return m_replicasIndex; }

private:
  void UpdateReplicasIndex();

  Snapshot m_snapshot;
  LogIndex m_replicasIndex;
  std::deque<LogEntry> m_entries;
};

} // namespace celeryspread
