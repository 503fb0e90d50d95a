#include "consensus/raft.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr int64_t kPercentBase = 100;

} // namespace

Raft::Raft(RaftOptions aOptions,
           RandomSource& aRandom,
           RaftInitialState aInitial,
           TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
  , m_hardState(std::move(aInitial.m_hardState))
  , m_log(std::move(aInitial.m_snapshot), std::move(aInitial.m_entries))
  , m_commit(m_log.SnapshotIndex())
  , m_lastDelivered(m_log.SnapshotIndex())
  , m_persisted(m_log.LastIndex())
  , m_nextToStore(m_log.LastIndex().Next())
  // The time of the last leader contact is not stored, so a restart counts as
  // contact. Otherwise a vote could be granted within a live leader's lease.
  , m_lastLeaderContact(aNow)
{
  ResetElectionTimer(aNow);
}

bool Raft::IsVoter() const
{
  return Replicas().m_voters.contains(m_options.m_self);
}

bool Raft::IsCaughtUp(const ReplicaId& aReplica) const
{
  const FollowerProgress* progress = m_progress.Find(aReplica);
  return progress != nullptr && progress->m_matchIndex >= m_commit;
}

VoterContact Raft::CheckVoterContact(Duration aAge, TimePoint aNow) const
{
  VoterContact contact;
  for (const auto& [id, address] : Replicas().m_voters) {
    if (id == m_options.m_self) {
      ++contact.m_reachableVoters;
      continue;
    }
    const FollowerProgress* progress = m_progress.Find(id);
    // Acknowledgements are tracked only while leading, so silence is counted
    // from the start of this leadership at the earliest.
    const TimePoint lastContact = std::max(
      m_leaderSince,
      progress == nullptr ? TimePoint() : progress->m_lastAcknowledgedSendTime);
    const Duration silence = aNow - lastContact;
    const bool hasAcknowledged =
      progress != nullptr &&
      progress->m_lastAcknowledgedSendTime != TimePoint();
    contact.m_reachableVoters += hasAcknowledged && silence <= aAge ? 1 : 0;
    if (silence > contact.m_longestSilence) {
      contact.m_longestSilence = silence;
      contact.m_longestSilentVoter = id;
    }
  }
  return contact;
}

std::nullopt_t Raft::RejectProposal(ProposeError aError)
{
  m_lastError = aError;
  return std::nullopt;
}

void Raft::ResetElectionTimer(TimePoint aNow)
{
  const auto spread =
    static_cast<uint64_t>(m_options.m_electionTimeout.count());
  m_electionDue = aNow + m_options.m_electionTimeout +
                  Duration(static_cast<int64_t>(m_random.Below(spread)));
}

void Raft::Tick(TimePoint aNow)
{
  if (m_role == RaftRole::Leader) {
    const bool hasLostQuorum =
      LastQuorumContact(aNow) + m_options.m_electionTimeout < aNow &&
      m_leaderSince + m_options.m_electionTimeout < aNow;
    if (hasLostQuorum) {
      BecomeFollower(m_hardState.m_term, ReplicaId(), aNow);
      return;
    }
    if (aNow >= m_heartbeatDue) {
      Broadcast(aNow);
    }
    return;
  }
  if (aNow >= m_electionDue) {
    ResetElectionTimer(aNow);
    if (IsVoter()) {
      BecomePreCandidate(aNow);
    }
  }
}

void Raft::Resign(TimePoint aNow)
{
  if (m_role == RaftRole::Leader) {
    BecomeFollower(m_hardState.m_term, ReplicaId(), aNow);
  }
}

void Raft::BecomeFollower(Term aTerm, const ReplicaId& aLeader, TimePoint aNow)
{
  if (aTerm != m_hardState.m_term) {
    m_hardState = { aTerm, ReplicaId() };
    MarkHardStateDirty();
  }
  if (m_role == RaftRole::Leader) {
    // Until now this replica counted itself towards its own lease, so it must
    // not grant a vote for one more election timeout.
    m_lastLeaderContact = aNow;
  }
  m_role = RaftRole::Follower;
  m_leader = aLeader;
  m_progress.Clear();
  ResetElectionTimer(aNow);
}

void Raft::BecomePreCandidate(TimePoint aNow)
{
  m_role = RaftRole::PreCandidate;
  m_leader = ReplicaId();
  m_votes = { m_options.m_self };
  if (HasVoteQuorum()) {
    BecomeCandidate(aNow);
    return;
  }
  RequestVotes(RaftMessageKind::PreVote, m_hardState.m_term.Next());
}

void Raft::BecomeCandidate(TimePoint aNow)
{
  m_role = RaftRole::Candidate;
  m_hardState = { m_hardState.m_term.Next(), m_options.m_self };
  MarkHardStateDirty();
  m_votes = { m_options.m_self };
  ResetElectionTimer(aNow);
  if (HasVoteQuorum()) {
    BecomeLeader(aNow);
    return;
  }
  RequestVotes(RaftMessageKind::Vote, m_hardState.m_term);
}

void Raft::BecomeLeader(TimePoint aNow)
{
  m_role = RaftRole::Leader;
  m_leader = m_options.m_self;
  m_leaderSince = aNow;
  m_progress.Clear();
  m_progress.Sync(Replicas(), m_log.LastIndex());
  LogEntry start;
  start.m_kind = EntryKind::LeaderStart;
  m_leaderStartIndex = *AppendAsLeader(std::move(start), aNow);
  Broadcast(aNow);
}

bool Raft::HasVoteQuorum() const
{
  const auto& voters = Replicas().m_voters;
  const auto count =
    std::count_if(m_votes.begin(), m_votes.end(), [&](const ReplicaId& aVoter) {
      return voters.contains(aVoter);
    });
  return static_cast<size_t>(count) >= Replicas().Quorum();
}

RaftMessage Raft::MakeMessage(RaftMessageKind aKind, const ReplicaId& aTo) const
{
  RaftMessage message;
  message.m_kind = aKind;
  message.m_from = m_options.m_self;
  message.m_to = aTo;
  message.m_term = m_hardState.m_term;
  return message;
}

void Raft::SendAfterSync(RaftMessage aMessage)
{
  m_messagesAfterSync.push_back(std::move(aMessage));
}

void Raft::RequestVotes(RaftMessageKind aKind, Term aTerm)
{
  for (const auto& [id, address] : Replicas().m_voters) {
    if (id == m_options.m_self) {
      continue;
    }
    RaftMessage message = MakeMessage(aKind, id);
    message.m_term = aTerm;
    message.m_index = m_log.LastIndex();
    message.m_indexTerm = m_log.LastTerm();
    SendAfterSync(std::move(message));
  }
}

bool Raft::IsLogUpToDate(const RaftMessage& aMessage) const
{
  if (aMessage.m_indexTerm != m_log.LastTerm()) {
    return aMessage.m_indexTerm > m_log.LastTerm();
  }
  return aMessage.m_index >= m_log.LastIndex();
}

bool Raft::HasRecentLeader(TimePoint aNow) const
{
  return m_role == RaftRole::Leader ||
         aNow < m_lastLeaderContact + m_options.m_electionTimeout;
}

Raft::Handler Raft::HandlerFor(RaftMessageKind aKind)
{
  switch (aKind) {
    case RaftMessageKind::PreVote:
      return &Raft::HandlePreVote;
    case RaftMessageKind::PreVoteReply:
      return &Raft::HandlePreVoteReply;
    case RaftMessageKind::Vote:
      return &Raft::HandleVote;
    case RaftMessageKind::VoteReply:
      return &Raft::HandleVoteReply;
    case RaftMessageKind::Append:
      return &Raft::HandleAppend;
    case RaftMessageKind::AppendReply:
      return &Raft::HandleAppendReply;
    case RaftMessageKind::InstallSnapshot:
      return &Raft::HandleInstallSnapshot;
  }
  return nullptr;
}

void Raft::Step(const RaftMessage& aMessage, TimePoint aNow)
{
  const Handler handler = HandlerFor(aMessage.m_kind);
  if (handler == nullptr || aMessage.m_to != m_options.m_self) {
    return;
  }
  (this->*handler)(aMessage, aNow);
}

void Raft::HandlePreVote(const RaftMessage& aMessage, TimePoint aNow)
{
  RaftMessage reply =
    MakeMessage(RaftMessageKind::PreVoteReply, aMessage.m_from);
  reply.m_isGranted = IsVoter() && !HasRecentLeader(aNow) &&
                      aMessage.m_term > m_hardState.m_term &&
                      IsLogUpToDate(aMessage);
  SendAfterSync(std::move(reply));
}

void Raft::HandlePreVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
    return;
  }
  if (m_role != RaftRole::PreCandidate || !aMessage.m_isGranted) {
    return;
  }
  m_votes.insert(aMessage.m_from);
  if (HasVoteQuorum()) {
    BecomeCandidate(aNow);
  }
}

void Raft::HandleVote(const RaftMessage& aMessage, TimePoint aNow)
{
  // Within a possible leader lease a candidate's term is not adopted either:
  // this replica would then reject the leader's appends.
  if (!IsVoter() || HasRecentLeader(aNow)) {
    return;
  }
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
  }
  RaftMessage reply = MakeMessage(RaftMessageKind::VoteReply, aMessage.m_from);
  const bool hasFreeVote = m_hardState.m_votedFor.IsEmpty() ||
                           m_hardState.m_votedFor == aMessage.m_from;
  reply.m_isGranted = aMessage.m_term == m_hardState.m_term && hasFreeVote &&
                      IsLogUpToDate(aMessage);
  if (reply.m_isGranted && m_hardState.m_votedFor != aMessage.m_from) {
    m_hardState.m_votedFor = aMessage.m_from;
    MarkHardStateDirty();
    ResetElectionTimer(aNow);
  }
  SendAfterSync(std::move(reply));
}

void Raft::HandleVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
    return;
  }
  const bool isValidGrant = m_role == RaftRole::Candidate &&
                            aMessage.m_isGranted &&
                            aMessage.m_term == m_hardState.m_term;
  if (!isValidGrant) {
    return;
  }
  m_votes.insert(aMessage.m_from);
  if (HasVoteQuorum()) {
    BecomeLeader(aNow);
  }
}

void Raft::HandleAppend(const RaftMessage& aMessage, TimePoint aNow)
{
  RaftMessage reply =
    MakeMessage(RaftMessageKind::AppendReply, aMessage.m_from);
  reply.m_sentAt = aMessage.m_sentAt;
  if (aMessage.m_term < m_hardState.m_term) {
    SendAfterSync(std::move(reply));
    return;
  }
  BecomeFollower(aMessage.m_term, aMessage.m_from, aNow);
  m_lastLeaderContact = aNow;
  reply.m_term = m_hardState.m_term;
  reply.m_rejectHint = m_log.LastIndex();
  const LogIndex previous = aMessage.m_index;
  if (previous < m_log.SnapshotIndex()) {
    // The snapshot holds committed entries only, so it matches the leader's log
    // up to its index.
    reply.m_isGranted = true;
    reply.m_index = m_log.SnapshotIndex();
    SendAfterSync(std::move(reply));
    return;
  }
  if (m_log.TermAt(previous) != aMessage.m_indexTerm) {
    if (previous <= m_log.LastIndex()) {
      reply.m_rejectHint = LogIndex(previous.Value() - 1);
    }
    SendAfterSync(std::move(reply));
    return;
  }
  AcceptEntries(aMessage);
  const LogIndex last = previous + LogIndex(aMessage.m_entries.size());
  SetCommit(std::min(aMessage.m_commit, last));
  reply.m_isGranted = true;
  reply.m_index = last;
  SendAfterSync(std::move(reply));
}

void Raft::AcceptEntries(const RaftMessage& aMessage)
{
  for (const LogEntry& entry : aMessage.m_entries) {
    if (m_log.TermAt(entry.m_index) == entry.m_term) {
      continue;
    }
    if (entry.m_index <= m_log.LastIndex()) {
      m_log.TruncateFrom(entry.m_index);
      m_nextToStore = std::min(m_nextToStore, entry.m_index);
      m_persisted = std::min(m_persisted, LogIndex(entry.m_index.Value() - 1));
    }
    m_log.Append(entry);
  }
}

void Raft::HandleInstallSnapshot(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term < m_hardState.m_term || !aMessage.m_snapshot) {
    return;
  }
  BecomeFollower(aMessage.m_term, aMessage.m_from, aNow);
  m_lastLeaderContact = aNow;
  RaftMessage reply =
    MakeMessage(RaftMessageKind::AppendReply, aMessage.m_from);
  reply.m_sentAt = aMessage.m_sentAt;
  reply.m_isGranted = true;
  const Snapshot& snapshot = *aMessage.m_snapshot;
  if (snapshot.m_index > m_commit) {
    m_log.Reset(snapshot);
    m_commit = snapshot.m_index;
    m_lastDelivered = snapshot.m_index;
    m_persisted = snapshot.m_index;
    m_nextToStore = snapshot.m_index.Next();
    m_receivedSnapshot = snapshot;
  }
  reply.m_index = m_commit;
  SendAfterSync(std::move(reply));
}

void Raft::HandleAppendReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
    return;
  }
  FollowerProgress* found = m_progress.Find(aMessage.m_from);
  if (m_role != RaftRole::Leader || aMessage.m_term < m_hardState.m_term ||
      found == nullptr) {
    return;
  }
  FollowerProgress& progress = *found;
  progress.m_lastAcknowledgedSendTime =
    std::max(progress.m_lastAcknowledgedSendTime, aMessage.m_sentAt);
  progress.m_inFlight -= progress.m_inFlight > 0 ? 1 : 0;
  if (!aMessage.m_isGranted) {
    progress.m_nextIndex =
      std::max(progress.m_matchIndex.Next(),
               std::min(LogIndex(progress.m_nextIndex.Value() - 1),
                        aMessage.m_rejectHint.Next()));
    progress.m_inFlight = 0;
    progress.m_isProbing = true;
    SendAppend(aMessage.m_from, progress, aNow);
    return;
  }
  progress.m_isProbing = false;
  progress.m_matchIndex = std::max(progress.m_matchIndex, aMessage.m_index);
  progress.m_nextIndex =
    std::max(progress.m_nextIndex, progress.m_matchIndex.Next());
  AdvanceCommit(aNow);
  // Committing this replica's own removal ends its leadership and clears the
  // progress, so the pointer is looked up again.
  FollowerProgress* remaining = m_progress.Find(aMessage.m_from);
  if (remaining != nullptr && remaining->m_nextIndex <= m_log.LastIndex()) {
    SendAppend(aMessage.m_from, *remaining, aNow);
  }
}

void Raft::SendSnapshot(const ReplicaId& aTo,
                        FollowerProgress& aProgress,
                        TimePoint aNow)
{
  const bool wasSentRecently =
    aNow < aProgress.m_lastSnapshotSendTime + m_options.m_electionTimeout;
  if (wasSentRecently) {
    return;
  }
  aProgress.m_lastSnapshotSendTime = aNow;
  RaftMessage message = MakeMessage(RaftMessageKind::InstallSnapshot, aTo);
  message.m_sentAt = aNow;
  message.m_snapshot = m_log.LatestSnapshot();
  m_messagesBeforeSync.push_back(std::move(message));
}

void Raft::SendAppend(const ReplicaId& aTo,
                      FollowerProgress& aProgress,
                      TimePoint aNow)
{
  if (aProgress.m_nextIndex <= m_log.SnapshotIndex()) {
    SendSnapshot(aTo, aProgress, aNow);
    return;
  }
  if (aProgress.m_inFlight >= m_options.m_maxInFlight) {
    return;
  }
  RaftMessage message = MakeMessage(RaftMessageKind::Append, aTo);
  message.m_index = LogIndex(aProgress.m_nextIndex.Value() - 1);
  message.m_indexTerm = *m_log.TermAt(message.m_index);
  message.m_commit = m_commit;
  message.m_sentAt = aNow;
  const size_t count = aProgress.m_isProbing ? 1 : m_options.m_maxBatchEntries;
  message.m_entries =
    m_log.Slice(aProgress.m_nextIndex, count, m_options.m_maxBatchBytes);
  if (!aProgress.m_isProbing) {
    aProgress.m_nextIndex =
      aProgress.m_nextIndex + LogIndex(message.m_entries.size());
  }
  ++aProgress.m_inFlight;
  m_messagesBeforeSync.push_back(std::move(message));
}

void Raft::Broadcast(TimePoint aNow)
{
  m_heartbeatDue = aNow + m_options.m_heartbeatPeriod;
  for (auto& [id, progress] : m_progress.All()) {
    if (id == m_options.m_self) {
      continue;
    }
    // A lost message stays counted as in flight. The count is kept below the
    // limit here, so that the heartbeat is sent nevertheless.
    progress.m_inFlight =
      std::min(progress.m_inFlight, m_options.m_maxInFlight - 1);
    SendAppend(id, progress, aNow);
  }
}

std::optional<LogIndex> Raft::AppendAsLeader(LogEntry aEntry, TimePoint aNow)
{
  aEntry.m_index = m_log.LastIndex().Next();
  aEntry.m_term = m_hardState.m_term;
  const LogIndex index = aEntry.m_index;
  const bool isReplicaSet = aEntry.m_kind == EntryKind::ReplicaSet;
  m_log.Append(std::move(aEntry));
  if (isReplicaSet) {
    m_progress.Sync(Replicas(), m_log.LastIndex());
  }
  for (auto& [id, progress] : m_progress.All()) {
    if (id != m_options.m_self && !progress.m_isProbing) {
      SendAppend(id, progress, aNow);
    }
  }
  return index;
}

std::optional<LogIndex> Raft::Propose(std::string aPayload, TimePoint aNow)
{
  if (m_role != RaftRole::Leader) {
    return RejectProposal(ProposeError::NotLeader);
  }
  LogEntry entry;
  entry.m_payload = std::move(aPayload);
  return AppendAsLeader(std::move(entry), aNow);
}

bool Raft::CanChangeReplicas()
{
  if (m_role != RaftRole::Leader) {
    RejectProposal(ProposeError::NotLeader);
    return false;
  }
  // Only one change may be pending, and only after an entry of this term was
  // committed. Otherwise two leaders could count quorums that do not overlap.
  if (HasPendingReplicaChange() || m_commit < m_leaderStartIndex) {
    RejectProposal(ProposeError::ConfigurationPending);
    return false;
  }
  return true;
}

std::optional<LogIndex> Raft::ProposeReplicas(ReplicaSet aReplicas,
                                              TimePoint aNow)
{
  LogEntry entry;
  entry.m_kind = EntryKind::ReplicaSet;
  entry.m_replicas = std::move(aReplicas);
  return AppendAsLeader(std::move(entry), aNow);
}

std::optional<LogIndex> Raft::ProposeLearner(const ReplicaId& aReplica,
                                             const ReplicaAddress& aAddress,
                                             TimePoint aNow)
{
  if (!CanChangeReplicas()) {
    return std::nullopt;
  }
  ReplicaSet next = Replicas();
  if (next.m_removed.contains(aReplica) || next.m_voters.contains(aReplica)) {
    return RejectProposal(ProposeError::ReplicaWasRemoved);
  }
  next.m_learners[aReplica] = aAddress;
  return ProposeReplicas(std::move(next), aNow);
}

std::optional<LogIndex> Raft::ProposeVoter(const ReplicaId& aReplica,
                                           TimePoint aNow)
{
  if (!CanChangeReplicas()) {
    return std::nullopt;
  }
  ReplicaSet next = Replicas();
  const auto learner = next.m_learners.find(aReplica);
  if (learner == next.m_learners.end() || !IsCaughtUp(aReplica)) {
    return RejectProposal(ProposeError::ReplicaNotKnown);
  }
  next.m_voters[aReplica] = learner->second;
  next.m_learners.erase(learner);
  return ProposeReplicas(std::move(next), aNow);
}

std::optional<LogIndex> Raft::ProposeRemoval(const ReplicaId& aReplica,
                                             TimePoint aNow)
{
  if (!CanChangeReplicas()) {
    return std::nullopt;
  }
  ReplicaSet next = Replicas();
  const bool isVoter = next.m_voters.erase(aReplica) != 0;
  const bool isLearner = next.m_learners.erase(aReplica) != 0;
  if (!isVoter && !isLearner) {
    return RejectProposal(ProposeError::ReplicaNotKnown);
  }
  if (next.m_voters.empty()) {
    return RejectProposal(ProposeError::LastVoter);
  }
  next.m_removed.insert(aReplica);
  return ProposeReplicas(std::move(next), aNow);
}

void Raft::AdvanceCommit(TimePoint aNow)
{
  if (m_role != RaftRole::Leader) {
    return;
  }
  const LogIndex quorumIndex =
    m_progress.QuorumIndex(Replicas(), m_options.m_self, m_persisted);
  // A quorum commits entries of the current term only; earlier entries are
  // committed along with them.
  if (quorumIndex <= m_commit ||
      m_log.TermAt(quorumIndex) != m_hardState.m_term) {
    return;
  }
  SetCommit(quorumIndex);
  const bool isRemoved =
    !IsVoter() && m_log.LatestReplicasIndex() <= quorumIndex;
  if (isRemoved) {
    BecomeFollower(m_hardState.m_term, ReplicaId(), aNow);
  }
}

void Raft::SetCommit(LogIndex aIndex)
{
  m_commit = std::max(m_commit, std::min(aIndex, m_log.LastIndex()));
}

TimePoint Raft::LastQuorumContact(TimePoint aNow) const
{
  return m_progress.LastQuorumContact(Replicas(), m_options.m_self, aNow);
}

bool Raft::HasLease(TimePoint aNow) const
{
  if (m_role != RaftRole::Leader || m_commit < m_leaderStartIndex) {
    return false;
  }
  const Duration length = m_options.m_electionTimeout *
                          (kPercentBase - kClockRateBoundPercent) /
                          kPercentBase;
  return aNow < LastQuorumContact(aNow) + length;
}

RaftReady Raft::TakeReady()
{
  RaftReady ready;
  if (m_isHardStateDirty) {
    ready.m_hardState = m_hardState;
    m_isHardStateDirty = false;
  }
  ready.m_snapshot = std::move(m_receivedSnapshot);
  m_receivedSnapshot.reset();
  for (LogIndex index = m_nextToStore; index <= m_log.LastIndex();
       index = index.Next()) {
    ready.m_entries.push_back(m_log.At(index));
  }
  m_nextToStore = m_log.LastIndex().Next();
  for (LogIndex index = m_lastDelivered.Next(); index <= m_commit;
       index = index.Next()) {
    ready.m_committed.push_back(m_log.At(index));
  }
  m_lastDelivered = m_commit;
  ready.m_messagesAfterSync = std::move(m_messagesAfterSync);
  // A new term or vote must be on disk before any message reveals it, because
  // a crash could lose it.
  auto& early =
    ready.m_hardState ? ready.m_messagesAfterSync : ready.m_messagesBeforeSync;
  std::move(m_messagesBeforeSync.begin(),
            m_messagesBeforeSync.end(),
            std::back_inserter(early));
  m_messagesBeforeSync.clear();
  m_messagesAfterSync.clear();
  return ready;
}

void Raft::MarkPersisted(TimePoint aNow)
{
  m_persisted = LogIndex(m_nextToStore.Value() - 1);
  AdvanceCommit(aNow);
}

void Raft::Compact(Snapshot aSnapshot)
{
  if (aSnapshot.m_index > m_log.SnapshotIndex() &&
      aSnapshot.m_index <= m_lastDelivered) {
    m_log.CompactTo(std::move(aSnapshot));
  }
}

} // namespace celeryspread
