#pragma once

#include <map>

#include "consensus/raft_types.h"

namespace celeryspread {

/// What a leader knows of one other replica.
struct FollowerProgress
{
  /// Last entry known to be on its disk.
  LogIndex m_match;
  /// Next entry to send.
  LogIndex m_next;
  size_t m_inFlight = 0;
  /// Whether the point where the logs part is still looked for.
  bool m_isProbing = true;
  /// Latest time at which something was sent that it acknowledged.
  TimePoint m_acknowledgedSentAt;
  TimePoint m_snapshotSentAt;
};

/// A leader's view of all replicas, with what a quorum of voters agrees on.
/// @thread loop thread only.
class ReplicaProgress
{
public:
  using Followers = std::map<ReplicaId, FollowerProgress>;

  /// Keeps the progress of known replicas and starts that of new ones.
  /// @pre none.
  void Sync(const ReplicaSet& aReplicas, LogIndex aLastIndex);
  /// Forgets everything. @pre none.
  void Clear() { m_followers.clear(); }
  /// Finds a replica, null when it is not known. @pre none.
  FollowerProgress* Find(const ReplicaId& aId);
  /// Finds a replica, null when it is not known. @pre none.
  [[nodiscard]] const FollowerProgress* Find(const ReplicaId& aId) const;
  /// Returns every replica, the leader included. @pre none.
  Followers& All() { return m_followers; }
  /// Returns the last entry that a quorum has on disk. @pre aReplicas is what
  /// Sync() was called with; aOwnIndex is on aSelf's disk.
  [[nodiscard]] LogIndex AgreedIndex(const ReplicaSet& aReplicas,
                                     const ReplicaId& aSelf,
                                     LogIndex aOwnIndex) const;
  /// Returns the time at which a quorum was last known to follow.
  /// @pre as above. @error the earliest time when there was none yet.
  [[nodiscard]] TimePoint QuorumContact(const ReplicaSet& aReplicas,
                                        const ReplicaId& aSelf,
                                        TimePoint aNow) const;

private:
  Followers m_followers;
};

} // namespace celeryspread
