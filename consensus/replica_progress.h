#pragma once

#include <map>

#include "consensus/raft_types.h"

namespace celeryspread {

/// Replication state that a leader keeps of one replica.
struct FollowerProgress
{
  /// Last index known to be on the replica's disk.
  LogIndex m_matchIndex;
  /// Next index to send.
  LogIndex m_nextIndex;
  /// Append messages that were sent and not answered yet.
  size_t m_inFlight = 0;
  /// Whether the last index at which both logs match is still unknown. Then
  /// only one entry is sent at a time.
  bool m_isProbing = true;
  /// Send time of the latest message that the replica acknowledged.
  TimePoint m_lastAcknowledgedSendTime;
  TimePoint m_lastSnapshotSendTime;
};

/// A leader's replication state of all replicas, and what a quorum of voters
/// has reached.
/// @thread loop thread only.
class ReplicaProgress
{
public:
  using Followers = std::map<ReplicaId, FollowerProgress>;

  /// Adds new replicas and drops those that are no longer in the set; the
  /// progress of the others is kept.
  /// @pre none.
  void Sync(const ReplicaSet& aReplicas, LogIndex aLastIndex);
  /// Removes all replicas. @pre none.
  void Clear() { m_followers.clear(); }
  /// Finds a replica, null when it is not known. @pre none.
  FollowerProgress* Find(const ReplicaId& aId);
  /// Finds a replica, null when it is not known. @pre none.
  [[nodiscard]] const FollowerProgress* Find(const ReplicaId& aId) const;
  /// Returns every replica, the leader included. @pre none.
  Followers& All() { return m_followers; }
  /// Returns the last index that a quorum of voters has on disk.
  /// @pre Sync() was called with aReplicas; aOwnIndex is on aSelf's disk.
  [[nodiscard]] LogIndex QuorumIndex(const ReplicaSet& aReplicas,
                                     const ReplicaId& aSelf,
                                     LogIndex aOwnIndex) const;
  /// Returns the latest time such that a quorum of voters acknowledged messages
  /// sent then or later; aSelf counts with aNow.
  /// @pre as above. @error the earliest time when no quorum answered yet.
  [[nodiscard]] TimePoint LastQuorumContact(const ReplicaSet& aReplicas,
                                            const ReplicaId& aSelf,
                                            TimePoint aNow) const;

private:
  Followers m_followers;
};

} // namespace celeryspread
