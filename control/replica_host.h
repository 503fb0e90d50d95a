#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/raft.h"
#include "control/state_machine.h"
#include "core/timers.h"
#include "storage/replica_store.h"
#include "telemetry/event_log.h"

namespace celeryspread {

/// Answer to a replica's request to join.
enum class JoinVerdict
{
  /// This replica does not lead.
  NotLeader,
  /// The replica is being added, by one step per call.
  Accepted,
  /// The replica was removed; its identity must never be used again.
  Removed
};

/// How well a leader's replica set can bear losses.
struct ReplicaSetHealth
{
  size_t m_voters = 0;
  size_t m_learners = 0;
  /// Voters that answered lately, the leader included; 0 at a follower.
  size_t m_reachableVoters = 0;
  size_t m_quorum = 0;
  /// A change of the replica set is not committed yet.
  bool m_hasPendingChange = false;

  /// Returns how many of the reachable voters may be lost before the quorum is.
  /// @pre none. @thread any.
  [[nodiscard]] size_t BearableLosses() const
  {
    return m_reachableVoters > m_quorum ? m_reachableVoters - m_quorum : 0;
  }
};

/// Sends messages to other replicas; may lose, delay and reorder them.
/// @thread loop thread only.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;
  /// Sends a message. @pre aAddress is the address of the receiver.
  virtual void Send(const RaftMessage& aMessage,
                    const ReplicaAddress& aAddress) = 0;
};

/// Runs one replica: stores and syncs its log before it sends or applies,
/// batches what arrives in one turn of the event loop into one sync, and takes
/// snapshots.
/// @thread loop thread only.
class ReplicaHost
{
public:
  using Done = std::function<void(std::optional<CommandResult>)>;

  /// Dependencies of the host; all references outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    RandomSource& m_random;
    ReplicaStore& m_store;
    PeerTransport& m_transport;
    EventLog& m_log;
  };

  /// Starts from the stored state, and takes a snapshot whenever
  /// aSnapshotEntries entries were applied since the last one.
  /// @pre the store is open and formatted.
  ReplicaHost(Dependencies aDeps,
              RaftOptions aOptions,
              uint64_t aSnapshotEntries);

  /// Runs periodic work. @pre called every few milliseconds.
  void Tick();
  /// Handles a message of another replica. @pre aFrom is the sender's address;
  /// replies go there, as a replica that has just joined does not know the
  /// addresses of the others yet.
  void Step(const RaftMessage& aMessage, const ReplicaAddress& aFrom);
  /// Proposes a command; aDone is called with its result, or with an empty
  /// value when it is not known whether it was committed. @pre none.
  /// @error false when this replica does not lead; aDone is not called.
  bool Propose(Command aCommand, Done aDone);
  /// Adds a replica that asks to join, one step per call: removes the earlier
  /// replica of the same instance, adds the new one as a learner, then makes
  /// it a voter. @pre none.
  JoinVerdict Join(const ReplicaId& aReplica, const ReplicaAddress& aAddress);
  /// Sets how many instances may be lost at the same time. A silent voter is
  /// removed while at least 2 * aCount + 1 voters answer; 0 keeps silent
  /// voters. @pre none.
  void SetToleratedLosses(uint32_t aCount) { m_toleratedLosses = aCount; }
  /// Sets the listener that is called after each change of the settings.
  /// @pre called at most once.
  void SetRevisionListener(std::function<void()> aListener)
  {
    m_revisionListener = std::move(aListener);
  }

  /// Returns the replica. @pre none.
  [[nodiscard]] const Raft& Replica() const { return m_raft; }
  /// Returns the applied state. @pre none.
  [[nodiscard]] const StateMachine& State() const { return m_state; }
  /// Returns whether reads from State() are linearizable now. @pre none.
  [[nodiscard]] bool HasLease() const;
  /// Returns the leader's address, null when unknown. @pre none.
  [[nodiscard]] const ReplicaAddress* LeaderAddress() const;
  /// Returns whether the stored state can't be read; nothing is acknowledged
  /// any more. @pre none.
  [[nodiscard]] bool IsFailed() const { return m_isFailed; }
  /// Returns whether the replica takes no part because its disk takes no
  /// writes, as when it is full. It tries again periodically. @pre none.
  [[nodiscard]] bool IsSuspended() const { return m_unstored.has_value(); }
  /// Returns the state of the replica set as this replica sees it. @pre none.
  [[nodiscard]] ReplicaSetHealth Health() const;
  /// Returns the number of syncs of the log so far. @pre none.
  [[nodiscard]] uint64_t SyncCount() const { return m_syncCount; }

private:
  /// A proposal whose entry is not applied yet.
  struct PendingProposal
  {
    Term m_term;
    Done m_done;
    TimePoint m_proposedAt;
  };

  void Restore(const Snapshot& aSnapshot);
  void ScheduleProcessing();
  void ProcessReady();
  bool ProcessReadyOnce();
  /// Does what follows once aReady is on disk.
  /// @return whether there may be more work.
  bool CompleteReady(const RaftReady& aReady);
  /// Takes no part until aReady can be stored. To the other replicas this is a
  /// disk that stands still.
  void Suspend(RaftReady aReady);
  /// Tries whether the disk takes writes again.
  void TryToResume();
  void SendAll(const std::vector<RaftMessage>& aMessages);
  void ApplyAll(const std::vector<LogEntry>& aEntries);
  void CompletePending(const LogEntry& aEntry, CommandResult aResult);
  void DropStalePending();
  /// Answers all proposals with an unknown outcome.
  void DropAllPending();
  void TakeSnapshot();
  void LogRoleChange();
  /// Proposes to remove a replica and logs the reason.
  void RemoveReplica(const ReplicaId& aReplica, const std::string& aReason);
  void RemoveSilentVoter();
  /// Logs periodically that no leader is known, once that has lasted a while.
  void LogMissingLeader();
  /// Logs periodically, as the leader, that fewer losses can be borne than are
  /// to be tolerated.
  void LogDegradedReplicaSet();
  [[nodiscard]] const ReplicaAddress* AddressOf(const ReplicaId& aId) const;

  Dependencies m_deps;
  StateMachine m_state;
  ReplicaSet m_appliedReplicas;
  LogIndex m_appliedIndex;
  Term m_appliedTerm;
  Raft m_raft;
  uint64_t m_snapshotEntries;
  /// Address of the last message of each replica.
  std::map<ReplicaId, ReplicaAddress> m_senderAddresses;
  std::map<LogIndex, PendingProposal> m_pending;
  std::function<void()> m_revisionListener;
  std::unique_ptr<Timer> m_processTimer;
  uint64_t m_syncCount = 0;
  /// What could not be stored yet, while this replica is suspended.
  std::optional<RaftReady> m_unstored;
  TimePoint m_suspendedAt;
  TimePoint m_resumeDue;
  /// No snapshot is taken before this, as there was no room for the last one.
  TimePoint m_snapshotDue;
  bool m_isFailed = false;
  bool m_wasLeader = false;
  uint32_t m_toleratedLosses = 0;
  /// Since when enough voters have answered to remove a silent one.
  std::optional<TimePoint> m_enoughVotersSince;
  /// Last time when a leader was known here; the first tick before that.
  TimePoint m_leaderlessSince;
  /// When the missing leader was last logged.
  TimePoint m_leaderlessLoggedAt;
  /// When LogDegradedReplicaSet() checks again.
  TimePoint m_healthCheckDue;
};

} // namespace celeryspread
