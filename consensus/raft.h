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
  /// Shortest time without a leader before an election.
  Duration m_electionTimeout = std::chrono::milliseconds(1000);
  Duration m_heartbeatPeriod = std::chrono::milliseconds(150);
  size_t m_maxBatchEntries = 64;
  size_t m_maxBatchBytes = 262'144;
  size_t m_maxInFlight = 8;
};

/// What a replica restarts from.
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
/// The lease holds while clock rates differ by at most kClockRateBound: a
/// leader counts its lease from the time it sent what a quorum acknowledged,
/// and a voter that heard from a leader, or restarted, grants no vote for one
/// whole election timeout.
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

  /// Lets time pass. @pre aNow never goes back.
  void Tick(TimePoint aNow);
  /// Takes a message. @pre none; messages to others are dropped.
  void Step(const RaftMessage& aMessage, TimePoint aNow);
  /// Appends a command. @pre none. @error empty; see LastError().
  std::optional<LogIndex> Propose(std::string aPayload, TimePoint aNow);
  /// Adds a learner. @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeLearner(const ReplicaId& aReplica,
                                         const ReplicaAddress& aAddress,
                                         TimePoint aNow);
  /// Makes a learner a voter. @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeVoter(const ReplicaId& aReplica,
                                       TimePoint aNow);
  /// Removes a replica for good. @pre none. @error empty; see LastError().
  std::optional<LogIndex> ProposeRemoval(const ReplicaId& aReplica,
                                         TimePoint aNow);
  /// Returns the work since the last call. @pre the host stores and syncs
  /// entries, then calls NotePersisted(), then sends m_messages and applies.
  RaftReady TakeReady();
  /// Tells that everything taken so far is on disk. @pre it was synced.
  void NotePersisted(TimePoint aNow);
  /// Replaces applied entries by a snapshot. @pre aSnapshot covers entries
  /// that were applied, and is on disk.
  void Compact(Snapshot aSnapshot);

  /// Returns the role. @pre none.
  [[nodiscard]] RaftRole Role() const { return m_role; }
  /// Tells whether this replica leads. @pre none.
  [[nodiscard]] bool IsLeader() const { return m_role == RaftRole::Leader; }
  /// Tells whether no other replica can lead at aNow and all that was
  /// committed before is known here. @pre none.
  [[nodiscard]] bool HasLease(TimePoint aNow) const;
  /// Returns the term. @pre none.
  [[nodiscard]] Term CurrentTerm() const { return m_hard.m_term; }
  /// Returns the leader, empty when unknown. @pre none.
  [[nodiscard]] const ReplicaId& Leader() const { return m_leader; }
  /// Returns the last committed index. @pre none.
  [[nodiscard]] LogIndex CommitIndex() const { return m_commit; }
  /// Returns the log. @pre none.
  [[nodiscard]] const RaftLog& Log() const { return m_log; }
  /// Returns the replica set in force. @pre none.
  [[nodiscard]] const ReplicaSet& Replicas() const
  {
    return m_log.LatestReplicas();
  }
  /// Tells whether this replica may vote. @pre none.
  [[nodiscard]] bool IsVoter() const;
  /// Tells whether a replica has everything committed. @pre IsLeader().
  [[nodiscard]] bool IsCaughtUp(const ReplicaId& aReplica) const;
  /// Tells which voters answer; those that acknowledged something that is at
  /// most aAge old count as answering. @pre IsLeader().
  [[nodiscard]] VoterContact Contact(Duration aAge, TimePoint aNow) const;
  /// Returns the votes of the election in progress. @pre none.
  [[nodiscard]] size_t VoteCount() const { return m_votes.size(); }
  /// Returns why the last proposal was not taken. @pre it was not.
  [[nodiscard]] ProposeError LastError() const { return m_lastError; }

private:
  using Handler = void (Raft::*)(const RaftMessage&, TimePoint);

  static Handler HandlerOf(RaftMessageKind aKind);
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
  void ArmElection(TimePoint aNow);
  void RequestVotes(RaftMessageKind aKind, Term aTerm);
  [[nodiscard]] bool IsLogUpToDate(const RaftMessage& aMessage) const;
  [[nodiscard]] bool HasRecentLeader(TimePoint aNow) const;
  [[nodiscard]] bool HasVoteQuorum() const;
  void AcceptEntries(const RaftMessage& aMessage);
  std::optional<LogIndex> AppendOwn(LogEntry aEntry, TimePoint aNow);
  std::optional<LogIndex> ProposeReplicas(ReplicaSet aReplicas, TimePoint aNow);
  bool CanChangeReplicas();
  std::nullopt_t Fail(ProposeError aError);
  void SendAppend(const ReplicaId& aTo,
                  FollowerProgress& aProgress,
                  TimePoint aNow);
  void SendSnapshot(const ReplicaId& aTo,
                    FollowerProgress& aProgress,
                    TimePoint aNow);
  void Broadcast(TimePoint aNow);
  void AdvanceCommit(TimePoint aNow);
  void SetCommit(LogIndex aIndex);
  [[nodiscard]] TimePoint QuorumContact(TimePoint aNow) const;
  [[nodiscard]] RaftMessage MakeMessage(RaftMessageKind aKind,
                                        const ReplicaId& aTo) const;
  void Reply(RaftMessage aMessage);
  void MarkHardState() { m_isHardStateDirty = true; }

  RaftOptions m_options;
  RandomSource& m_random;
  HardState m_hard;
  RaftLog m_log;
  RaftRole m_role = RaftRole::Follower;
  ReplicaId m_leader;
  LogIndex m_commit;
  LogIndex m_taken;
  /// Last index that is on this replica's disk.
  LogIndex m_persisted;
  /// First index that the host has not stored yet.
  LogIndex m_firstUnstored;
  bool m_isHardStateDirty = false;
  std::optional<Snapshot> m_receivedSnapshot;
  std::vector<RaftMessage> m_earlyMessages;
  std::vector<RaftMessage> m_messages;
  ReplicaProgress m_progress;
  std::set<ReplicaId> m_votes;
  TimePoint m_electionDue;
  TimePoint m_heartbeatDue;
  TimePoint m_leaderContact;
  TimePoint m_becameLeaderAt;
  LogIndex m_leaderStart;
  ProposeError m_lastError = ProposeError::NotLeader;
};

} // namespace celeryspread
