#include "control/replica_host.h"

namespace celeryspread {

namespace {

constexpr Duration kPendingLimit = std::chrono::seconds(10);
/// A voter that acknowledged something sent this lately is there.
constexpr Duration kAnsweringAge = std::chrono::milliseconds(1000);
/// A voter whose place was taken is removed after this silence; a successor
/// must count before the next loss, four seconds later at the earliest.
constexpr Duration kVoterSilence = std::chrono::milliseconds(2500);
/// Elections succeed within a second or two where a quorum is connected.
constexpr Duration kLeaderlessLimit = std::chrono::seconds(3);

} // namespace

ReplicaHost::ReplicaHost(Parts aParts,
                         RaftOptions aOptions,
                         uint64_t aSnapshotEntries)
  : m_parts(aParts)
  , m_raft(std::move(aOptions),
           aParts.m_random,
           aParts.m_store.TakeInitialState(),
           aParts.m_clock.Now())
  , m_snapshotEntries(aSnapshotEntries)
{
  Restore(m_raft.Log().LatestSnapshot());
}

void ReplicaHost::Restore(const Snapshot& aSnapshot)
{
  // The first snapshot of a cluster holds no state yet.
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
  return !m_isFailed && m_raft.HasLease(m_parts.m_clock.Now()) &&
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
  const auto sender = m_senders.find(aId);
  return sender == m_senders.end() ? nullptr : &sender->second;
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
  m_raft.Tick(m_parts.m_clock.Now());
  RemoveSilentVoter();
  NoteLeaderless();
  DropStalePending();
  Process();
}

void ReplicaHost::Step(const RaftMessage& aMessage, const ReplicaAddress& aFrom)
{
  if (m_isFailed) {
    return;
  }
  m_senders[aMessage.m_from] = aFrom;
  m_raft.Step(aMessage, m_parts.m_clock.Now());
  ScheduleProcess();
}

bool ReplicaHost::Propose(Command aCommand, Done aDone)
{
  if (m_isFailed) {
    return false;
  }
  const TimePoint now = m_parts.m_clock.Now();
  aCommand.m_now = m_parts.m_clock.WallTime();
  const auto index = m_raft.Propose(EncodeCommand(aCommand), now);
  if (!index) {
    return false;
  }
  // An entry of an earlier term that was replaced has no other answer.
  auto replaced = m_pending.extract(*index);
  m_pending[*index] = { m_raft.CurrentTerm(), std::move(aDone), now };
  if (!replaced.empty()) {
    replaced.mapped().m_done(std::nullopt);
  }
  ScheduleProcess();
  return true;
}

JoinVerdict ReplicaHost::Join(const ReplicaId& aReplica,
                              const ReplicaAddress& aAddress)
{
  if (m_isFailed || !m_raft.IsLeader()) {
    return JoinVerdict::NotLeader;
  }
  const ReplicaSet& replicas = m_raft.Replicas();
  if (replicas.m_removed.contains(aReplica)) {
    // The asker gives up its disk on this word, so a removal that another
    // leader may still undo is not told.
    return m_appliedReplicas.m_removed.contains(aReplica)
             ? JoinVerdict::Removed
             : JoinVerdict::Accepted;
  }
  const TimePoint now = m_parts.m_clock.Now();
  // The instance has a new disk, so its earlier replica is gone for good. It
  // goes before the new one counts: a voter that is gone beside one that may
  // be lost again could leave too few for any quorum.
  for (const auto* group : { &replicas.m_voters, &replicas.m_learners }) {
    for (const auto& [id, address] : *group) {
      if (id != aReplica && address.m_instance == aAddress.m_instance) {
        Remove(ReplicaId(id), "its instance has a new disk");
        ScheduleProcess();
        return JoinVerdict::Accepted;
      }
    }
  }
  if (replicas.m_learners.contains(aReplica)) {
    m_raft.ProposeVoter(aReplica, now);
  } else if (!replicas.m_voters.contains(aReplica) &&
             m_raft.ProposeLearner(aReplica, aAddress, now)) {
    m_parts.m_log.Write(EventId::ReplicaJoined,
                        "replica=" + aReplica.Value() +
                          " address=" + aAddress.m_address);
  }
  ScheduleProcess();
  return JoinVerdict::Accepted;
}

void ReplicaHost::Remove(const ReplicaId& aReplica, const std::string& aReason)
{
  if (m_raft.ProposeRemoval(aReplica, m_parts.m_clock.Now())) {
    m_parts.m_log.Write(EventId::ReplicaRemoved,
                        "replica=" + aReplica.Value() + " reason=\"" + aReason +
                          "\"");
  }
}

void ReplicaHost::RemoveSilentVoter()
{
  if (m_toleratedLosses == 0 || !m_raft.IsLeader()) {
    return;
  }
  const VoterContact contact =
    m_raft.Contact(kAnsweringAge, m_parts.m_clock.Now());
  const bool isReplaced =
    contact.m_answering >= 2 * static_cast<size_t>(m_toleratedLosses) + 1;
  if (isReplaced && contact.m_longestSilence > kVoterSilence) {
    Remove(contact.m_mostSilent, "it is silent and others took its place");
  }
}

void ReplicaHost::NoteLeaderless()
{
  const TimePoint now = m_parts.m_clock.Now();
  const bool hasLeader = !m_raft.Leader().IsEmpty();
  if (hasLeader || m_leaderlessSince == TimePoint()) {
    m_leaderlessSince = now;
    return;
  }
  const bool isDue = now - m_leaderlessSince > kLeaderlessLimit &&
                     now - m_leaderlessLogged > kLeaderlessLimit;
  if (!isDue) {
    return;
  }
  m_leaderlessLogged = now;
  std::string voters;
  for (const auto& [id, address] : m_raft.Replicas().m_voters) {
    voters += (voters.empty() ? "" : ",") + id.Value();
  }
  m_parts.m_log.Write(
    EventId::ElectionStalled,
    "self=" + m_parts.m_store.Identity().Value() +
      " term=" + std::to_string(m_raft.CurrentTerm().Value()) +
      " voters=" + voters + " granted=" + std::to_string(m_raft.VoteCount()) +
      " needed=" + std::to_string(m_raft.Replicas().Quorum()));
}

void ReplicaHost::ScheduleProcess()
{
  if (m_processTimer == nullptr) {
    m_processTimer = m_parts.m_timers.After(Duration::zero(), [this] {
      m_processTimer.reset();
      Process();
    });
  }
}

void ReplicaHost::Process()
{
  // Storing may commit more on this replica, which gives more work.
  while (!m_isFailed && ProcessOnce()) {
  }
  NoteRole();
}

bool ReplicaHost::ProcessOnce()
{
  const RaftReady ready = m_raft.TakeReady();
  SendAll(ready.m_earlyMessages);
  if (!m_parts.m_store.Store(ready)) {
    m_isFailed = true;
    m_parts.m_log.Write(EventId::StorageFailed,
                        "file=" + m_parts.m_store.LastError().m_file);
    return false;
  }
  if (ready.NeedsSync()) {
    ++m_syncs;
    m_raft.NotePersisted(m_parts.m_clock.Now());
  }
  if (ready.m_snapshot) {
    Restore(*ready.m_snapshot);
    if (m_revisionListener) {
      m_revisionListener();
    }
  }
  SendAll(ready.m_messages);
  ApplyAll(ready.m_committed);
  TakeSnapshot();
  return ready.NeedsSync() || !ready.m_committed.empty();
}

void ReplicaHost::SendAll(const std::vector<RaftMessage>& aMessages)
{
  for (const RaftMessage& message : aMessages) {
    const ReplicaAddress* address = AddressOf(message.m_to);
    if (address != nullptr) {
      m_parts.m_transport.Send(message, *address);
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
      Complete(entry, m_state.Apply(entry.m_payload));
    }
  }
  if (before != m_state.Settings().CurrentRevision() && m_revisionListener) {
    m_revisionListener();
  }
}

void ReplicaHost::Complete(const LogEntry& aEntry, CommandResult aResult)
{
  const auto found = m_pending.find(aEntry.m_index);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  if (pending.m_term == aEntry.m_term) {
    pending.m_done(std::move(aResult));
  } else {
    // Another leader's entry took the place, so ours is not committed here.
    pending.m_done(std::nullopt);
  }
}

void ReplicaHost::DropStalePending()
{
  const TimePoint oldest = m_parts.m_clock.Now() - kPendingLimit;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (it->second.m_since >= oldest) {
      ++it;
      continue;
    }
    const Done done = std::move(it->second.m_done);
    it = m_pending.erase(it);
    done(std::nullopt);
  }
}

void ReplicaHost::TakeSnapshot()
{
  const LogIndex covered = m_raft.Log().SnapshotIndex();
  if (m_isFailed || (m_appliedIndex - covered).Value() < m_snapshotEntries) {
    return;
  }
  Snapshot snapshot{
    m_appliedIndex, m_appliedTerm, m_appliedReplicas, m_state.Save()
  };
  std::vector<LogEntry> rest;
  const RaftLog& log = m_raft.Log();
  for (LogIndex index = m_appliedIndex.Next(); index <= log.LastIndex();
       index = index.Next()) {
    rest.push_back(log.At(index));
  }
  if (!m_parts.m_store.SaveSnapshot(snapshot, rest)) {
    m_isFailed = true;
    m_parts.m_log.Write(EventId::StorageFailed,
                        "file=" + m_parts.m_store.LastError().m_file);
    return;
  }
  m_raft.Compact(std::move(snapshot));
}

void ReplicaHost::NoteRole()
{
  if (m_wasLeader == m_raft.IsLeader()) {
    return;
  }
  m_wasLeader = m_raft.IsLeader();
  m_parts.m_log.Write(m_wasLeader ? EventId::BecameLeader
                                  : EventId::LostLeadership,
                      "term=" + std::to_string(m_raft.CurrentTerm().Value()));
}

} // namespace celeryspread
