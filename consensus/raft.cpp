#include "consensus/raft.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr int64_t kWholePercent = 100;

} // namespace

Raft::Raft(RaftOptions aOptions,
           RandomSource& aRandom,
           RaftInitialState aInitial,
           TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
  , m_hard(std::move(aInitial.m_hardState))
  , m_log(std::move(aInitial.m_snapshot), std::move(aInitial.m_entries))
  , m_commit(m_log.SnapshotIndex())
  , m_taken(m_log.SnapshotIndex())
  , m_persisted(m_log.LastIndex())
  , m_firstUnstored(m_log.LastIndex().Next())
  // A restart forgets when a leader was last heard, so it counts as contact:
  // otherwise a vote could be granted inside the lease of a live leader.
  , m_leaderContact(aNow)
{
  ArmElection(aNow);
}

bool Raft::IsVoter() const
{
  return Replicas().m_voters.contains(m_options.m_self);
}

bool Raft::IsCaughtUp(const ReplicaId& aReplica) const
{
  const FollowerProgress* progress = m_progress.Find(aReplica);
  return progress != nullptr && progress->m_match >= m_commit;
}

VoterContact Raft::Contact(Duration aAge, TimePoint aNow) const
{
  VoterContact contact;
  for (const auto& [id, address] : Replicas().m_voters) {
    if (id == m_options.m_self) {
      ++contact.m_answering;
      continue;
    }
    const FollowerProgress* progress = m_progress.Find(id);
    // Nothing was heard before this leadership; silence counts from there.
    const TimePoint heard = std::max(
      m_becameLeaderAt,
      progress == nullptr ? TimePoint() : progress->m_acknowledgedSentAt);
    const Duration silence = aNow - heard;
    const bool hasAnswered =
      progress != nullptr && progress->m_acknowledgedSentAt != TimePoint();
    contact.m_answering += hasAnswered && silence <= aAge ? 1 : 0;
    if (silence > contact.m_longestSilence) {
      contact.m_longestSilence = silence;
      contact.m_mostSilent = id;
    }
  }
  return contact;
}

std::nullopt_t Raft::Fail(ProposeError aError)
{
  m_lastError = aError;
  return std::nullopt;
}

void Raft::ArmElection(TimePoint aNow)
{
  const auto spread =
    static_cast<uint64_t>(m_options.m_electionTimeout.count());
  m_electionDue = aNow + m_options.m_electionTimeout +
                  Duration(static_cast<int64_t>(m_random.Below(spread)));
}

void Raft::Tick(TimePoint aNow)
{
  if (m_role == RaftRole::Leader) {
    const bool isCutOff =
      QuorumContact(aNow) + m_options.m_electionTimeout < aNow &&
      m_becameLeaderAt + m_options.m_electionTimeout < aNow;
    if (isCutOff) {
      BecomeFollower(m_hard.m_term, ReplicaId(), aNow);
      return;
    }
    if (aNow >= m_heartbeatDue) {
      Broadcast(aNow);
    }
    return;
  }
  if (aNow >= m_electionDue) {
    ArmElection(aNow);
    if (IsVoter()) {
      BecomePreCandidate(aNow);
    }
  }
}

void Raft::BecomeFollower(Term aTerm, const ReplicaId& aLeader, TimePoint aNow)
{
  if (aTerm != m_hard.m_term) {
    m_hard = { aTerm, ReplicaId() };
    MarkHardState();
  }
  if (m_role == RaftRole::Leader) {
    // A deposed leader may have a follower's lease running against it.
    m_leaderContact = aNow;
  }
  m_role = RaftRole::Follower;
  m_leader = aLeader;
  m_progress.Clear();
  ArmElection(aNow);
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
  RequestVotes(RaftMessageKind::PreVote, m_hard.m_term.Next());
}

void Raft::BecomeCandidate(TimePoint aNow)
{
  m_role = RaftRole::Candidate;
  m_hard = { m_hard.m_term.Next(), m_options.m_self };
  MarkHardState();
  m_votes = { m_options.m_self };
  ArmElection(aNow);
  if (HasVoteQuorum()) {
    BecomeLeader(aNow);
    return;
  }
  RequestVotes(RaftMessageKind::Vote, m_hard.m_term);
}

void Raft::BecomeLeader(TimePoint aNow)
{
  m_role = RaftRole::Leader;
  m_leader = m_options.m_self;
  m_becameLeaderAt = aNow;
  m_progress.Clear();
  m_progress.Sync(Replicas(), m_log.LastIndex());
  LogEntry start;
  start.m_kind = EntryKind::LeaderStart;
  m_leaderStart = *AppendOwn(std::move(start), aNow);
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
  message.m_term = m_hard.m_term;
  return message;
}

void Raft::Reply(RaftMessage aMessage)
{
  m_messages.push_back(std::move(aMessage));
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
    Reply(std::move(message));
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
         aNow < m_leaderContact + m_options.m_electionTimeout;
}

Raft::Handler Raft::HandlerOf(RaftMessageKind aKind)
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
  const Handler handler = HandlerOf(aMessage.m_kind);
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
                      aMessage.m_term > m_hard.m_term &&
                      IsLogUpToDate(aMessage);
  Reply(std::move(reply));
}

void Raft::HandlePreVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hard.m_term) {
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
  // Inside a leader's lease not even the term is taken from a candidate.
  if (!IsVoter() || HasRecentLeader(aNow)) {
    return;
  }
  if (aMessage.m_term > m_hard.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
  }
  RaftMessage reply = MakeMessage(RaftMessageKind::VoteReply, aMessage.m_from);
  const bool isFree =
    m_hard.m_votedFor.IsEmpty() || m_hard.m_votedFor == aMessage.m_from;
  reply.m_isGranted =
    aMessage.m_term == m_hard.m_term && isFree && IsLogUpToDate(aMessage);
  if (reply.m_isGranted && m_hard.m_votedFor != aMessage.m_from) {
    m_hard.m_votedFor = aMessage.m_from;
    MarkHardState();
    ArmElection(aNow);
  }
  Reply(std::move(reply));
}

void Raft::HandleVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hard.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
    return;
  }
  const bool isCounted = m_role == RaftRole::Candidate &&
                         aMessage.m_isGranted &&
                         aMessage.m_term == m_hard.m_term;
  if (!isCounted) {
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
  if (aMessage.m_term < m_hard.m_term) {
    Reply(std::move(reply));
    return;
  }
  BecomeFollower(aMessage.m_term, aMessage.m_from, aNow);
  m_leaderContact = aNow;
  reply.m_term = m_hard.m_term;
  reply.m_hint = m_log.LastIndex();
  const LogIndex previous = aMessage.m_index;
  if (previous < m_log.SnapshotIndex()) {
    // The snapshot holds committed entries only, so all of it matches.
    reply.m_isGranted = true;
    reply.m_index = m_log.SnapshotIndex();
    Reply(std::move(reply));
    return;
  }
  if (m_log.TermAt(previous) != aMessage.m_indexTerm) {
    if (previous <= m_log.LastIndex()) {
      reply.m_hint = LogIndex(previous.Value() - 1);
    }
    Reply(std::move(reply));
    return;
  }
  AcceptEntries(aMessage);
  const LogIndex last = previous + LogIndex(aMessage.m_entries.size());
  SetCommit(std::min(aMessage.m_commit, last));
  reply.m_isGranted = true;
  reply.m_index = last;
  Reply(std::move(reply));
}

void Raft::AcceptEntries(const RaftMessage& aMessage)
{
  for (const LogEntry& entry : aMessage.m_entries) {
    if (m_log.TermAt(entry.m_index) == entry.m_term) {
      continue;
    }
    if (entry.m_index <= m_log.LastIndex()) {
      m_log.TruncateFrom(entry.m_index);
      m_firstUnstored = std::min(m_firstUnstored, entry.m_index);
      m_persisted = std::min(m_persisted, LogIndex(entry.m_index.Value() - 1));
    }
    m_log.Append(entry);
  }
}

void Raft::HandleInstallSnapshot(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term < m_hard.m_term || !aMessage.m_snapshot) {
    return;
  }
  BecomeFollower(aMessage.m_term, aMessage.m_from, aNow);
  m_leaderContact = aNow;
  RaftMessage reply =
    MakeMessage(RaftMessageKind::AppendReply, aMessage.m_from);
  reply.m_sentAt = aMessage.m_sentAt;
  reply.m_isGranted = true;
  const Snapshot& snapshot = *aMessage.m_snapshot;
  if (snapshot.m_index > m_commit) {
    m_log.Reset(snapshot);
    m_commit = snapshot.m_index;
    m_taken = snapshot.m_index;
    m_persisted = snapshot.m_index;
    m_firstUnstored = snapshot.m_index.Next();
    m_receivedSnapshot = snapshot;
  }
  reply.m_index = m_commit;
  Reply(std::move(reply));
}

void Raft::HandleAppendReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hard.m_term) {
    BecomeFollower(aMessage.m_term, ReplicaId(), aNow);
    return;
  }
  FollowerProgress* known = m_progress.Find(aMessage.m_from);
  if (m_role != RaftRole::Leader || aMessage.m_term < m_hard.m_term ||
      known == nullptr) {
    return;
  }
  FollowerProgress& progress = *known;
  progress.m_acknowledgedSentAt =
    std::max(progress.m_acknowledgedSentAt, aMessage.m_sentAt);
  progress.m_inFlight -= progress.m_inFlight > 0 ? 1 : 0;
  if (!aMessage.m_isGranted) {
    progress.m_next = std::max(
      progress.m_match.Next(),
      std::min(LogIndex(progress.m_next.Value() - 1), aMessage.m_hint.Next()));
    progress.m_inFlight = 0;
    progress.m_isProbing = true;
    SendAppend(aMessage.m_from, progress, aNow);
    return;
  }
  progress.m_isProbing = false;
  progress.m_match = std::max(progress.m_match, aMessage.m_index);
  progress.m_next = std::max(progress.m_next, progress.m_match.Next());
  AdvanceCommit(aNow);
  // Committing may have ended the leadership and with it the progress.
  FollowerProgress* again = m_progress.Find(aMessage.m_from);
  if (again != nullptr && again->m_next <= m_log.LastIndex()) {
    SendAppend(aMessage.m_from, *again, aNow);
  }
}

void Raft::SendSnapshot(const ReplicaId& aTo,
                        FollowerProgress& aProgress,
                        TimePoint aNow)
{
  const bool isUnderWay =
    aNow < aProgress.m_snapshotSentAt + m_options.m_electionTimeout;
  if (isUnderWay) {
    return;
  }
  aProgress.m_snapshotSentAt = aNow;
  RaftMessage message = MakeMessage(RaftMessageKind::InstallSnapshot, aTo);
  message.m_sentAt = aNow;
  message.m_snapshot = m_log.LatestSnapshot();
  m_earlyMessages.push_back(std::move(message));
}

void Raft::SendAppend(const ReplicaId& aTo,
                      FollowerProgress& aProgress,
                      TimePoint aNow)
{
  if (aProgress.m_next <= m_log.SnapshotIndex()) {
    SendSnapshot(aTo, aProgress, aNow);
    return;
  }
  if (aProgress.m_inFlight >= m_options.m_maxInFlight) {
    return;
  }
  RaftMessage message = MakeMessage(RaftMessageKind::Append, aTo);
  message.m_index = LogIndex(aProgress.m_next.Value() - 1);
  message.m_indexTerm = *m_log.TermAt(message.m_index);
  message.m_commit = m_commit;
  message.m_sentAt = aNow;
  const size_t count = aProgress.m_isProbing ? 1 : m_options.m_maxBatchEntries;
  message.m_entries =
    m_log.Slice(aProgress.m_next, count, m_options.m_maxBatchBytes);
  if (!aProgress.m_isProbing) {
    aProgress.m_next = aProgress.m_next + LogIndex(message.m_entries.size());
  }
  ++aProgress.m_inFlight;
  m_earlyMessages.push_back(std::move(message));
}

void Raft::Broadcast(TimePoint aNow)
{
  m_heartbeatDue = aNow + m_options.m_heartbeatPeriod;
  for (auto& [id, progress] : m_progress.All()) {
    if (id == m_options.m_self) {
      continue;
    }
    // A heartbeat goes out even when earlier messages were lost.
    progress.m_inFlight =
      std::min(progress.m_inFlight, m_options.m_maxInFlight - 1);
    SendAppend(id, progress, aNow);
  }
}

std::optional<LogIndex> Raft::AppendOwn(LogEntry aEntry, TimePoint aNow)
{
  aEntry.m_index = m_log.LastIndex().Next();
  aEntry.m_term = m_hard.m_term;
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
    return Fail(ProposeError::NotLeader);
  }
  LogEntry entry;
  entry.m_payload = std::move(aPayload);
  return AppendOwn(std::move(entry), aNow);
}

bool Raft::CanChangeReplicas()
{
  if (m_role != RaftRole::Leader) {
    Fail(ProposeError::NotLeader);
    return false;
  }
  // One change at a time, and only after this term has committed something:
  // otherwise two leaders could count quorums that do not overlap.
  if (m_log.LatestReplicasIndex() > m_commit || m_commit < m_leaderStart) {
    Fail(ProposeError::ConfigurationPending);
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
  return AppendOwn(std::move(entry), aNow);
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
    return Fail(ProposeError::ReplicaWasRemoved);
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
    return Fail(ProposeError::ReplicaNotKnown);
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
    return Fail(ProposeError::ReplicaNotKnown);
  }
  if (next.m_voters.empty()) {
    return Fail(ProposeError::LastVoter);
  }
  next.m_removed.insert(aReplica);
  return ProposeReplicas(std::move(next), aNow);
}

void Raft::AdvanceCommit(TimePoint aNow)
{
  if (m_role != RaftRole::Leader) {
    return;
  }
  const LogIndex agreed =
    m_progress.AgreedIndex(Replicas(), m_options.m_self, m_persisted);
  // Only an entry of the own term commits what stands before it.
  if (agreed <= m_commit || m_log.TermAt(agreed) != m_hard.m_term) {
    return;
  }
  SetCommit(agreed);
  const bool isRemoved = !IsVoter() && m_log.LatestReplicasIndex() <= agreed;
  if (isRemoved) {
    BecomeFollower(m_hard.m_term, ReplicaId(), aNow);
  }
}

void Raft::SetCommit(LogIndex aIndex)
{
  m_commit = std::max(m_commit, std::min(aIndex, m_log.LastIndex()));
}

TimePoint Raft::QuorumContact(TimePoint aNow) const
{
  return m_progress.QuorumContact(Replicas(), m_options.m_self, aNow);
}

bool Raft::HasLease(TimePoint aNow) const
{
  if (m_role != RaftRole::Leader || m_commit < m_leaderStart) {
    return false;
  }
  const Duration length = m_options.m_electionTimeout *
                          (kWholePercent - kClockRateBoundPercent) /
                          kWholePercent;
  return aNow < QuorumContact(aNow) + length;
}

RaftReady Raft::TakeReady()
{
  RaftReady ready;
  if (m_isHardStateDirty) {
    ready.m_hardState = m_hard;
    m_isHardStateDirty = false;
  }
  ready.m_snapshot = std::move(m_receivedSnapshot);
  m_receivedSnapshot.reset();
  for (LogIndex index = m_firstUnstored; index <= m_log.LastIndex();
       index = index.Next()) {
    ready.m_entries.push_back(m_log.At(index));
  }
  m_firstUnstored = m_log.LastIndex().Next();
  for (LogIndex index = m_taken.Next(); index <= m_commit;
       index = index.Next()) {
    ready.m_committed.push_back(m_log.At(index));
  }
  m_taken = m_commit;
  ready.m_messages = std::move(m_messages);
  // Nothing may be sent in a term that a crash could make us forget.
  auto& early = ready.m_hardState ? ready.m_messages : ready.m_earlyMessages;
  std::move(
    m_earlyMessages.begin(), m_earlyMessages.end(), std::back_inserter(early));
  m_earlyMessages.clear();
  m_messages.clear();
  return ready;
}

void Raft::NotePersisted(TimePoint aNow)
{
  m_persisted = LogIndex(m_firstUnstored.Value() - 1);
  AdvanceCommit(aNow);
}

void Raft::Compact(Snapshot aSnapshot)
{
  if (aSnapshot.m_index > m_log.SnapshotIndex() &&
      aSnapshot.m_index <= m_taken) {
    m_log.CompactTo(std::move(aSnapshot));
  }
}

} // namespace celeryspread
