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

/// Answer to a replica that asks to join.
enum class JoinVerdict
{
  /// This replica does not lead.
  NotLeader,
  /// It is taken in, one step with each call.
  Accepted,
  /// The replica was removed; its identity is never used again.
  Removed
};

/// Carries messages to other replicas; may lose, delay and reorder them.
/// @thread loop thread only.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;
  /// Sends a message. @pre aAddress is the receiver's.
  virtual void Send(const RaftMessage& aMessage,
                    const ReplicaAddress& aAddress) = 0;
};

/// Hosts one replica: stores and syncs before it sends or applies, batches
/// what arrives in one turn of the loop into one sync, and takes snapshots.
/// @thread loop thread only.
class ReplicaHost
{
public:
  using Done = std::function<void(std::optional<CommandResult>)>;

  /// What the host works with; all references outlive it.
  struct Parts
  {
    const Clock& m_clock;
    Timers& m_timers;
    RandomSource& m_random;
    ReplicaStore& m_store;
    PeerTransport& m_transport;
    EventLog& m_log;
  };

  /// Starts from what the store read. @pre the store is open and formatted.
  ReplicaHost(Parts aParts, RaftOptions aOptions, uint64_t aSnapshotEntries);

  /// Lets time pass. @pre called every few milliseconds.
  void Tick();
  /// Takes a message of another replica. @pre aFrom is where replies go: a
  /// replica that has just joined does not know the others yet.
  void Step(const RaftMessage& aMessage, const ReplicaAddress& aFrom);
  /// Proposes a command; aDone hears its result, or nothing when it is not
  /// known whether it was committed. @pre none.
  /// @error false when this replica does not lead; aDone is not called.
  bool Propose(Command aCommand, Done aDone);
  /// Takes in a replica that asks to join: the lost replica of the same
  /// instance goes first, then it becomes a learner, then a voter. @pre none.
  JoinVerdict Join(const ReplicaId& aReplica, const ReplicaAddress& aAddress);
  /// Sets how many instances may be lost at one time: a silent voter is
  /// removed once twice as many and one other voters answer. 0 keeps silent
  /// voters. @pre none.
  void SetToleratedLosses(uint32_t aCount) { m_toleratedLosses = aCount; }
  /// Calls aListener after each change of the settings. @pre set once.
  void SetRevisionListener(std::function<void()> aListener)
  {
    m_revisionListener = std::move(aListener);
  }

  /// Returns the replica. @pre none.
  [[nodiscard]] const Raft& Replica() const { return m_raft; }
  /// Returns the applied state. @pre none.
  [[nodiscard]] const StateMachine& State() const { return m_state; }
  /// Tells whether reads here are linearizable now. @pre none.
  [[nodiscard]] bool HasLease() const;
  /// Returns the leader's address, null when unknown. @pre none.
  [[nodiscard]] const ReplicaAddress* LeaderAddress() const;
  /// Tells whether storage failed; nothing is acknowledged any more.
  /// @pre none.
  [[nodiscard]] bool IsFailed() const { return m_isFailed; }
  /// Returns syncs of the log so far. @pre none.
  [[nodiscard]] uint64_t SyncCount() const { return m_syncs; }

private:
  struct Pending
  {
    Term m_term;
    Done m_done;
    TimePoint m_since;
  };

  void Restore(const Snapshot& aSnapshot);
  void ScheduleProcess();
  void Process();
  bool ProcessOnce();
  void SendAll(const std::vector<RaftMessage>& aMessages);
  void ApplyAll(const std::vector<LogEntry>& aEntries);
  void Complete(const LogEntry& aEntry, CommandResult aResult);
  void DropStalePending();
  void TakeSnapshot();
  void NoteRole();
  void Remove(const ReplicaId& aReplica, const std::string& aReason);
  void RemoveSilentVoter();
  void NoteLeaderless();
  [[nodiscard]] const ReplicaAddress* AddressOf(const ReplicaId& aId) const;

  Parts m_parts;
  StateMachine m_state;
  ReplicaSet m_appliedReplicas;
  LogIndex m_appliedIndex;
  Term m_appliedTerm;
  Raft m_raft;
  uint64_t m_snapshotEntries;
  std::map<ReplicaId, ReplicaAddress> m_senders;
  std::map<LogIndex, Pending> m_pending;
  std::function<void()> m_revisionListener;
  std::unique_ptr<Timer> m_processTimer;
  uint64_t m_syncs = 0;
  bool m_isFailed = false;
  bool m_wasLeader = false;
  uint32_t m_toleratedLosses = 0;
  /// Since when no leader is known here, and when that was last logged.
  TimePoint m_leaderlessSince;
  TimePoint m_leaderlessLogged;
};

} // namespace celeryspread
