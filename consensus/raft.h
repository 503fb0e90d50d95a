#pragma once

#include <optional>
#include <set>
#include <string>

#include "consensus/raft_log.h"
#include "consensus/raft_types.h"
#include "consensus/replica_progress.h"
#include "core/random_source.h"

namespace celeryspread {

/// Timing and batching of a replica.
struct RaftOptions
{
  ReplicaId m_self;
  /// Shortest time without leader contact before an election starts; up to the
  /// same time is added at random.
  Duration m_electionTimeout = std::chrono::milliseconds(1000);
  Duration m_heartbeatPeriod = std::chrono::milliseconds(150);
  /// Limits of one Append message.
  size_t m_maxBatchEntries = 64;
  size_t m_maxBatchBytes = 262'144;
  /// Largest number of unanswered Append messages to one replica.
  size_t m_maxInFlight = 8;
};

/// Stored state that a replica starts from.
struct RaftInitialState
{
  HardState m_hardState;
  Snapshot m_snapshot;
  std::vector<LogEntry> m_entries;
};

/// One replica of the log: elections with pre-vote, a leader lease, log
/// replication with batching and flow control, snapshots, and replica set
/// changes one at a time. It performs no I/O and reads no clock.
///
/// The lease is valid while clock rates differ by at most
/// kClockRateBoundPercent. A leader counts its lease from the time at which it
/// sent the messages that a quorum acknowledged. A voter that received a
/// message from a leader, or restarted, grants no vote for one whole election
/// timeout.
/// @thread loop thread only.
class Raft
{
public:
  /// Largest assumed difference of clock rates, in percent.
  static constexpr int64_t kClockRateBoundPercent = 10;

  /// Starts as a follower. @pre aRandom outlives the replica.
  Raft(RaftOptions aOptions,
       RandomSource& aRandom,
       RaftInitialState aInitial,
       TimePoint aNow);

  /// Runs periodic work: elections, heartbeats, and stepping down without a
  /// quorum. @pre aNow never decreases.
  void Tick(TimePoint aNow);
  /// Stops leading, so that another replica can lead, as this one can't store
  /// anything for a time. @pre none; does nothing at a follower.
  void Resign(TimePoint aNow);
  /// Handles a message. @pre none; a message to another replica is ignored.
  void Step(const RaftMessage& aMessage, TimePoint aNow);
  /// Appends a command. @pre none. @error empty; see LastError().
  std::optional<LogIndex> Propose(std::string aPayload, TimePoint aNow);
  /// Proposes to add a learner. @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeLearner(const ReplicaId& aReplica,
                                         const ReplicaAddress& aAddress,
                                         TimePoint aNow);
  /// Proposes to make a learner a voter, once it has every committed entry.
  /// @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeVoter(const ReplicaId& aReplica,
                                       TimePoint aNow);
  /// Proposes to remove a replica; its identity can't be added again.
  /// @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeRemoval(const ReplicaId& aReplica,
                                         TimePoint aNow);
  /// Returns the work that arose since the last call. @pre the host stores and
  /// syncs it, calls MarkPersisted() if it synced, sends m_messagesAfterSync,
  /// and then applies the committed entries.
  RaftReady TakeReady();
  /// Confirms that everything returned by TakeReady() is on disk.
  /// @pre it was synced.
  void MarkPersisted(TimePoint aNow);
  /// Replaces applied entries by a snapshot. @pre aSnapshot covers entries
  /// that were applied, and is on disk.
  void Compact(Snapshot aSnapshot);

  /// Returns the role. @pre none.
  [[nodiscard]] RaftRole Role() const { return m_role; }
  /// Tells whether this replica is the leader. @pre none.
  [[nodiscard]] bool IsLeader() const { return m_role == RaftRole::Leader; }
  /// Tells whether this leader's lease is valid at aNow: no other replica can
  /// be leader, and this one knows every committed entry. @pre none.
  [[nodiscard]] bool HasLease(TimePoint aNow) const;
  /// Returns the current term. @pre none.
  [[nodiscard]] Term CurrentTerm() const { return m_hardState.m_term; }
  /// Returns the leader, empty when unknown. @pre none.
  [[nodiscard]] const ReplicaId& Leader() const { return m_leader; }
  /// Returns the last committed index. @pre none.
  [[nodiscard]] LogIndex CommitIndex() const { return m_commit; }
  /// Returns the log. @pre none.
  [[nodiscard]] const RaftLog& Log() const { return m_log; }
  /// Returns the replica set in force, which is the latest one in the log, be
  /// it committed or not. @pre none.
  [[nodiscard]] const ReplicaSet& Replicas() const
  {
    return m_log.LatestReplicas();
  }
  /// Tells whether this replica may vote. @pre none.
  [[nodiscard]] bool IsVoter() const;
  /// Tells whether a replica has every committed entry. @pre IsLeader().
  [[nodiscard]] bool IsCaughtUp(const ReplicaId& aReplica) const;
  /// Tells whether a change of the replica set is not committed yet.
  /// @pre none.
  [[nodiscard]] bool HasPendingReplicaChange() const
  {
    return m_log.LatestReplicasIndex() > m_commit;
  }
  /// Returns how many voters are reachable and which one was silent longest. A
  /// voter is reachable if it acknowledged a message sent within aAge.
  /// @pre IsLeader().
  [[nodiscard]] VoterContact CheckVoterContact(Duration aAge,
                                               TimePoint aNow) const;
  /// Returns the number of votes received in the latest election or pre-vote
  /// round, the own vote included. @pre none.
  [[nodiscard]] size_t VoteCount() const { return m_votes.size(); }
  /// Returns why the last proposal was rejected. @pre it was rejected.
  [[nodiscard]] ProposeError LastError() const { return m_lastError; }

private:
  using Handler = void (Raft::*)(const RaftMessage&, TimePoint);

  static Handler HandlerFor(RaftMessageKind aKind);
  void HandlePreVote(const RaftMessage& aMessage, TimePoint aNow);
  void HandlePreVoteReply(const RaftMessage& aMessage, TimePoint aNow);
  void HandleVote(const RaftMessage& aMessage, TimePoint aNow);
  void HandleVoteReply(const RaftMessage& aMessage, TimePoint aNow);
  void HandleAppend(const RaftMessage& aMessage, TimePoint aNow);
  void HandleAppendReply(const RaftMessage& aMessage, TimePoint aNow);
  void HandleInstallSnapshot(const RaftMessage& aMessage, TimePoint aNow);

  void BecomeFollower(Term aTerm, const ReplicaId& aLeader, TimePoint aNow);
  void BecomePreCandidate(TimePoint aNow);
  void BecomeCandidate(TimePoint aNow);
  void BecomeLeader(TimePoint aNow);
  void ResetElectionTimer(TimePoint aNow);
  void RequestVotes(RaftMessageKind aKind, Term aTerm);
  [[nodiscard]] bool IsLogUpToDate(const RaftMessage& aMessage) const;
  [[nodiscard]] bool HasRecentLeader(TimePoint aNow) const;
  [[nodiscard]] bool HasVoteQuorum() const;
  void AcceptEntries(const RaftMessage& aMessage);
  std::optional<LogIndex> AppendAsLeader(LogEntry aEntry, TimePoint aNow);
  std::optional<LogIndex> ProposeReplicas(ReplicaSet aReplicas, TimePoint aNow);
  bool CanChangeReplicas();
  std::nullopt_t RejectProposal(ProposeError aError);
  void SendAppend(const ReplicaId& aTo,
                  FollowerProgress& aProgress,
                  TimePoint aNow);
  void SendSnapshot(const ReplicaId& aTo,
                    FollowerProgress& aProgress,
                    TimePoint aNow);
  void Broadcast(TimePoint aNow);
  void AdvanceCommit(TimePoint aNow);
  void SetCommit(LogIndex aIndex);
  [[nodiscard]] TimePoint LastQuorumContact(TimePoint aNow) const;
  [[nodiscard]] RaftMessage MakeMessage(RaftMessageKind aKind,
                                        const ReplicaId& aTo) const;
  /// Queues a message that is sent once the pending state is synced.
  void SendAfterSync(RaftMessage aMessage);
  void MarkHardStateDirty() { m_isHardStateDirty = true; }

  RaftOptions m_options;
  RandomSource& m_random;
  HardState m_hardState;
  RaftLog m_log;
  RaftRole m_role = RaftRole::Follower;
  ReplicaId m_leader;
  LogIndex m_commit;
  /// Last committed index that TakeReady() returned for applying.
  LogIndex m_lastDelivered;
  /// Last index known to be on this replica's disk.
  LogIndex m_persisted;
  /// First index that TakeReady() has not returned for storing yet.
  LogIndex m_nextToStore;
  bool m_isHardStateDirty = false;
  std::optional<Snapshot> m_receivedSnapshot;
  std::vector<RaftMessage> m_messagesBeforeSync;
  std::vector<RaftMessage> m_messagesAfterSync;
  ReplicaProgress m_progress;
  std::set<ReplicaId> m_votes;
  TimePoint m_electionDue;
  TimePoint m_heartbeatDue;
  /// No vote is granted within one election timeout after this time.
  TimePoint m_lastLeaderContact;
  TimePoint m_leaderSince;
  /// Index of the LeaderStart entry of this leadership.
  LogIndex m_leaderStartIndex;
  ProposeError m_lastError = ProposeError::NotLeader;
};

} // namespace celeryspread
