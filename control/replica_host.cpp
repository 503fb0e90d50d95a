#include "control/replica_host.h"

namespace celeryspread {

namespace {

/// After this time a proposal is answered with an unknown outcome.
constexpr Duration kMaxPendingTime = std::chrono::seconds(10);
/// A voter counts as answering if it acknowledged a message that is at most
/// this old.
constexpr Duration kMaxContactAge = std::chrono::milliseconds(1000);
/// A voter that is silent for longer is removed while enough others answer. Its
/// replacement must be complete before the next loss, which comes four seconds
/// later at the earliest.
constexpr Duration kMaxVoterSilence = std::chrono::milliseconds(2500);
/// Voters that come back together answer one after the other within this time:
/// they start, connect over up to 60 ms and resend a lost packet.
constexpr Duration kReturnTime = std::chrono::milliseconds(1500);
/// Period of the log lines about a missing leader, and the time before the
/// first. With a quorum connected, elections take a second or two.
constexpr Duration kLeaderlessLogPeriod = std::chrono::seconds(3);
/// Period of the log lines about a replica set that can bear too few losses.
constexpr Duration kHealthLogPeriod = std::chrono::seconds(3);
/// Period of the attempts to write to a disk that took no writes.
constexpr Duration kResumePeriod = std::chrono::milliseconds(250);
/// Time until the next attempt to save a snapshot for which there was no room.
constexpr Duration kSnapshotRetryPeriod = std::chrono::seconds(1);

} // namespace

ReplicaHost::ReplicaHost(Dependencies aDeps,
                         RaftOptions aOptions,
                         uint64_t aSnapshotEntries)
  : m_deps(aDeps)
  , m_raft(std::move(aOptions),
           aDeps.m_random,
           aDeps.m_store.TakeInitialState(),
           aDeps.m_clock.Now())
  , m_snapshotEntries(aSnapshotEntries)
{
  Restore(m_raft.Log().LatestSnapshot());
}

void ReplicaHost::Restore(const Snapshot& aSnapshot)
{
  // The initial snapshot of a cluster holds no state.
  m_state = StateMachine();
  if (!aSnapshot.m_state.empty()) {
    m_isFailed = !m_state.Restore(aSnapshot.m_state);
  }
  m_appliedReplicas = aSnapshot.m_replicas;
  m_appliedIndex = aSnapshot.m_index;
  m_appliedTerm = aSnapshot.m_term;
}

bool ReplicaHost::HasLease() const
{
  return !m_isFailed && !IsSuspended() &&
         m_raft.HasLease(m_deps.m_clock.Now()) &&
         m_appliedIndex == m_raft.CommitIndex();
}

const ReplicaAddress* ReplicaHost::AddressOf(const ReplicaId& aId) const
{
  const ReplicaSet& replicas = m_raft.Replicas();
  const auto voter = replicas.m_voters.find(aId);
  if (voter != replicas.m_voters.end()) {
    return &voter->second;
  }
  const auto learner = replicas.m_learners.find(aId);
  if (learner != replicas.m_learners.end()) {
    return &learner->second;
  }
  const auto sender = m_senderAddresses.find(aId);
  return sender == m_senderAddresses.end() ? nullptr : &sender->second;
}

const ReplicaAddress* ReplicaHost::LeaderAddress() const
{
  return AddressOf(m_raft.Leader());
}

void ReplicaHost::Tick()
{
  if (m_isFailed) {
    return;
  }
  if (IsSuspended()) {
    TryToResume();
    return;
  }
  m_raft.Tick(m_deps.m_clock.Now());
  RemoveSilentVoter();
  LogMissingLeader();
  LogDegradedReplicaSet();
  DropStalePending();
  ProcessReady();
}

void ReplicaHost::Step(const RaftMessage& aMessage, const ReplicaAddress& aFrom)
{
  // A suspended replica could store no answer.
  if (m_isFailed || IsSuspended()) {
    return;
  }
  m_senderAddresses[aMessage.m_from] = aFrom;
  m_raft.Step(aMessage, m_deps.m_clock.Now());
  ScheduleProcessing();
}

bool ReplicaHost::Propose(Command aCommand, Done aDone)
{
  if (m_isFailed || IsSuspended()) {
    return false;
  }
  const TimePoint now = m_deps.m_clock.Now();
  aCommand.m_now = m_deps.m_clock.WallTime();
  const auto index = m_raft.Propose(EncodeCommand(aCommand), now);
  if (!index) {
    return false;
  }
  // A proposal of an earlier term whose entry was replaced at this index gets
  // no other answer.
  auto replaced = m_pending.extract(*index);
  m_pending[*index] = { m_raft.CurrentTerm(), std::move(aDone), now };
  if (!replaced.empty()) {
    replaced.mapped().m_done(std::nullopt);
  }
  ScheduleProcessing();
  return true;
}

JoinVerdict ReplicaHost::Join(const ReplicaId& aReplica,
                              const ReplicaAddress& aAddress)
{
  if (m_isFailed || IsSuspended() || !m_raft.IsLeader()) {
    return JoinVerdict::NotLeader;
  }
  const ReplicaSet& replicas = m_raft.Replicas();
  if (replicas.m_removed.contains(aReplica)) {
    // The replica discards its data when the answer is Removed, so a removal
    // that is not committed is not reported: another leader may undo it.
    return m_appliedReplicas.m_removed.contains(aReplica)
             ? JoinVerdict::Removed
             : JoinVerdict::Accepted;
  }
  const TimePoint now = m_deps.m_clock.Now();
  // The instance has a new disk, so its earlier replica never comes back. It
  // is removed before the new one becomes a voter: with both as voters, the
  // loss of the new one as well could leave too few voters for a quorum.
  for (const auto* group : { &replicas.m_voters, &replicas.m_learners }) {
    for (const auto& [id, address] : *group) {
      if (id != aReplica && address.m_instance == aAddress.m_instance) {
        RemoveReplica(ReplicaId(id), "its instance started with an empty disk");
        ScheduleProcessing();
        return JoinVerdict::Accepted;
      }
    }
  }
  if (replicas.m_learners.contains(aReplica)) {
    m_raft.ProposeVoter(aReplica, now);
  } else if (!replicas.m_voters.contains(aReplica) &&
             m_raft.ProposeLearner(aReplica, aAddress, now)) {
    m_deps.m_log.Write(EventId::ReplicaJoined,
                       "replica=" + aReplica.Value() +
                         " address=" + aAddress.m_address);
  }
  ScheduleProcessing();
  return JoinVerdict::Accepted;
}

void ReplicaHost::RemoveReplica(const ReplicaId& aReplica,
                                const std::string& aReason)
{
  if (m_raft.ProposeRemoval(aReplica, m_deps.m_clock.Now())) {
    m_deps.m_log.Write(EventId::ReplicaRemoved,
                       "replica=" + aReplica.Value() + " reason=\"" + aReason +
                         "\"");
  }
}

void ReplicaHost::RemoveSilentVoter()
{
  if (m_toleratedLosses == 0 || !m_raft.IsLeader()) {
    m_enoughVotersSince.reset();
    return;
  }
  const TimePoint now = m_deps.m_clock.Now();
  const VoterContact contact = m_raft.CheckVoterContact(kMaxContactAge, now);
  const bool hasEnoughVoters =
    contact.m_reachableVoters >= 2 * static_cast<size_t>(m_toleratedLosses) + 1;
  if (!hasEnoughVoters) {
    m_enoughVotersSince.reset();
    return;
  }
  if (!m_enoughVotersSince) {
    m_enoughVotersSince = now;
  }
  // Silence from a time when too few voters answered says little: the voter may
  // be coming back with those that have just answered.
  if (now - *m_enoughVotersSince >= kReturnTime &&
      contact.m_longestSilence > kMaxVoterSilence) {
    RemoveReplica(contact.m_longestSilentVoter,
                  "it is silent and enough other voters answer");
  }
}

void ReplicaHost::LogMissingLeader()
{
  const TimePoint now = m_deps.m_clock.Now();
  const bool hasLeader = !m_raft.Leader().IsEmpty();
  if (hasLeader || m_leaderlessSince == TimePoint()) {
    m_leaderlessSince = now;
    return;
  }
  const bool isDue = now - m_leaderlessSince > kLeaderlessLogPeriod &&
                     now - m_leaderlessLoggedAt > kLeaderlessLogPeriod;
  if (!isDue) {
    return;
  }
  m_leaderlessLoggedAt = now;
  std::string voters;
  for (const auto& [id, address] : m_raft.Replicas().m_voters) {
    voters += (voters.empty() ? "" : ",") + id.Value();
  }
  m_deps.m_log.Write(EventId::ElectionStalled,
                     "self=" + m_deps.m_store.Identity().Value() +
                       " term=" + std::to_string(m_raft.CurrentTerm().Value()) +
                       " voters=" + voters +
                       " granted=" + std::to_string(m_raft.VoteCount()) +
                       " needed=" + std::to_string(m_raft.Replicas().Quorum()));
}

ReplicaSetHealth ReplicaHost::Health() const
{
  ReplicaSetHealth health;
  const ReplicaSet& replicas = m_raft.Replicas();
  health.m_voters = replicas.m_voters.size();
  health.m_learners = replicas.m_learners.size();
  health.m_quorum = replicas.Quorum();
  health.m_hasPendingChange = m_raft.HasPendingReplicaChange();
  if (m_raft.IsLeader()) {
    health.m_reachableVoters =
      m_raft.CheckVoterContact(kMaxContactAge, m_deps.m_clock.Now())
        .m_reachableVoters;
  }
  return health;
}

void ReplicaHost::LogDegradedReplicaSet()
{
  const TimePoint now = m_deps.m_clock.Now();
  if (now < m_healthCheckDue || !m_raft.IsLeader()) {
    return;
  }
  m_healthCheckDue = now + kHealthLogPeriod;
  const ReplicaSetHealth health = Health();
  if (health.BearableLosses() >= m_toleratedLosses) {
    return;
  }
  m_deps.m_log.Write(
    EventId::ReplicaSetDegraded,
    "voters=" + std::to_string(health.m_voters) +
      " reachable=" + std::to_string(health.m_reachableVoters) +
      " learners=" + std::to_string(health.m_learners) +
      " bearable_losses=" + std::to_string(health.BearableLosses()) +
      " tolerated_losses=" + std::to_string(m_toleratedLosses) +
      " pending_change=" + (health.m_hasPendingChange ? "yes" : "no"));
}

void ReplicaHost::ScheduleProcessing()
{
  if (m_processTimer == nullptr) {
    m_processTimer = m_deps.m_timers.After(Duration::zero(), [this] {
      m_processTimer.reset();
      ProcessReady();
    });
  }
}

void ReplicaHost::ProcessReady()
{
  // Storing entries may commit more of them, which gives more work.
  while (!m_isFailed && !IsSuspended() && ProcessReadyOnce()) {
  }
  LogRoleChange();
}

bool ReplicaHost::ProcessReadyOnce()
{
  RaftReady ready = m_raft.TakeReady();
  SendAll(ready.m_messagesBeforeSync);
  if (!m_deps.m_store.Store(ready)) {
    Suspend(std::move(ready));
    return false;
  }
  return CompleteReady(ready);
}

bool ReplicaHost::CompleteReady(const RaftReady& aReady)
{
  if (aReady.NeedsSync()) {
    ++m_syncCount;
    m_raft.MarkPersisted(m_deps.m_clock.Now());
  }
  if (aReady.m_snapshot) {
    Restore(*aReady.m_snapshot);
    if (m_revisionListener) {
      m_revisionListener();
    }
  }
  SendAll(aReady.m_messagesAfterSync);
  ApplyAll(aReady.m_committed);
  TakeSnapshot();
  return aReady.NeedsSync() || !aReady.m_committed.empty();
}

void ReplicaHost::Suspend(RaftReady aReady)
{
  const TimePoint now = m_deps.m_clock.Now();
  m_unstored = std::move(aReady);
  m_suspendedAt = now;
  m_resumeDue = now + kResumePeriod;
  m_deps.m_log.Write(EventId::StorageFailed,
                     "file=" + m_deps.m_store.LastError().m_file +
                       " was_leader=" + (m_raft.IsLeader() ? "yes" : "no"));
  // Another replica may lead at once. What this one has proposed may still be
  // committed by it.
  m_raft.Resign(now);
  DropAllPending();
}

void ReplicaHost::TryToResume()
{
  const TimePoint now = m_deps.m_clock.Now();
  if (now < m_resumeDue) {
    return;
  }
  m_resumeDue = now + kResumePeriod;
  if (!m_deps.m_store.Recover() || !m_deps.m_store.Store(*m_unstored)) {
    return;
  }
  const auto suspendedFor =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - m_suspendedAt);
  m_deps.m_log.Write(EventId::StorageRecovered,
                     "suspended_ms=" + std::to_string(suspendedFor.count()));
  const RaftReady ready = std::move(*m_unstored);
  m_unstored.reset();
  CompleteReady(ready);
  ProcessReady();
}

void ReplicaHost::SendAll(const std::vector<RaftMessage>& aMessages)
{
  for (const RaftMessage& message : aMessages) {
    const ReplicaAddress* address = AddressOf(message.m_to);
    if (address != nullptr) {
      m_deps.m_transport.Send(message, *address);
    }
  }
}

void ReplicaHost::ApplyAll(const std::vector<LogEntry>& aEntries)
{
  const Revision before = m_state.Settings().CurrentRevision();
  for (const LogEntry& entry : aEntries) {
    m_appliedIndex = entry.m_index;
    m_appliedTerm = entry.m_term;
    if (entry.m_kind == EntryKind::ReplicaSet) {
      m_appliedReplicas = entry.m_replicas;
    } else if (entry.m_kind == EntryKind::Command) {
      CompletePending(entry, m_state.Apply(entry.m_payload));
    }
  }
  if (before != m_state.Settings().CurrentRevision() && m_revisionListener) {
    m_revisionListener();
  }
}

void ReplicaHost::CompletePending(const LogEntry& aEntry, CommandResult aResult)
{
  const auto found = m_pending.find(aEntry.m_index);
  if (found == m_pending.end()) {
    return;
  }
  const PendingProposal pending = std::move(found->second);
  m_pending.erase(found);
  if (pending.m_term == aEntry.m_term) {
    pending.m_done(std::move(aResult));
  } else {
    // Another leader's entry replaced ours at this index, so ours was not
    // committed here.
    pending.m_done(std::nullopt);
  }
}

void ReplicaHost::DropStalePending()
{
  const TimePoint oldest = m_deps.m_clock.Now() - kMaxPendingTime;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (it->second.m_proposedAt >= oldest) {
      ++it;
      continue;
    }
    const Done done = std::move(it->second.m_done);
    it = m_pending.erase(it);
    done(std::nullopt);
  }
}

void ReplicaHost::DropAllPending()
{
  std::map<LogIndex, PendingProposal> pending;
  pending.swap(m_pending);
  for (const auto& [index, proposal] : pending) {
    proposal.m_done(std::nullopt);
  }
}

void ReplicaHost::TakeSnapshot()
{
  const LogIndex covered = m_raft.Log().SnapshotIndex();
  const TimePoint now = m_deps.m_clock.Now();
  if (m_isFailed || now < m_snapshotDue ||
      (m_appliedIndex - covered).Value() < m_snapshotEntries) {
    return;
  }
  Snapshot snapshot{
    m_appliedIndex, m_appliedTerm, m_appliedReplicas, m_state.Save()
  };
  std::vector<LogEntry> laterEntries;
  const RaftLog& log = m_raft.Log();
  for (LogIndex index = m_appliedIndex.Next(); index <= log.LastIndex();
       index = index.Next()) {
    laterEntries.push_back(log.At(index));
  }
  switch (m_deps.m_store.SaveSnapshot(snapshot, laterEntries)) {
    case SaveResult::Saved:
      m_raft.Compact(std::move(snapshot));
      return;
    case SaveResult::Postponed:
      m_snapshotDue = now + kSnapshotRetryPeriod;
      m_deps.m_log.Write(EventId::SnapshotPostponed,
                         "index=" + std::to_string(m_appliedIndex.Value()));
      return;
    case SaveResult::Failed:
      // Everything so far is stored; only the log file has to be made sure of.
      Suspend(RaftReady());
      return;
  }
}

void ReplicaHost::LogRoleChange()
{
  if (m_wasLeader == m_raft.IsLeader()) {
    return;
  }
  m_wasLeader = m_raft.IsLeader();
  m_healthCheckDue = m_deps.m_clock.Now() + kHealthLogPeriod;
  m_deps.m_log.Write(m_wasLeader ? EventId::BecameLeader
                                 : EventId::LostLeadership,
                     "term=" + std::to_string(m_raft.CurrentTerm().Value()));
}

} // namespace celeryspread
