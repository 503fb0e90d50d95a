#pragma once

#include <string>
#include <vector>

#include "consensus/raft.h"

namespace celeryspread {

/// Decides when a replica asks control instances to add it to the replica set,
/// and which ones it asks.
/// @thread loop thread only.
class JoinPolicy
{
public:
  /// Starts the policy of a replica. @pre none.
  JoinPolicy(InstanceId aSelf, ReplicaId aReplica, TimePoint aNow);

  /// Returns the control instances to ask now; empty while the replica is the
  /// only voter of its instance and has a leader.
  /// @pre aRaft is the state of this replica; aNow never decreases.
  [[nodiscard]] std::vector<ReplicaAddress> InstancesToAsk(
    const Raft& aRaft,
    const std::vector<ReplicaAddress>& aSeeds,
    TimePoint aNow);

private:
  /// Returns whether this replica is a voter and its instance has no other.
  [[nodiscard]] bool IsSoleVoterOfInstance(const Raft& aRaft) const;

  InstanceId m_self;
  ReplicaId m_replica;
  TimePoint m_leaderSeenAt;
};

/// Counts the answers to a replica's requests to join, for the log.
/// @thread loop thread only.
class JoinAnswers
{
public:
  /// Records a request. @pre none.
  void RecordAsked() { ++m_asked; }
  /// Records an instance without a link. @pre none.
  void RecordUnreachable() { ++m_unreachable; }
  /// Records an answer of an instance. @pre none.
  void RecordAnswer(bool aIsAccepted)
  {
    ++(aIsAccepted ? m_accepted : m_notLeader);
  }
  /// Returns the counts since the last call as fields of a log line, empty if
  /// nothing was asked. @pre none.
  std::string TakeText();

private:
  uint32_t m_asked = 0;
  uint32_t m_unreachable = 0;
  uint32_t m_accepted = 0;
  uint32_t m_notLeader = 0;
};

} // namespace celeryspread
