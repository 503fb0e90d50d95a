#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Identity of one replica of the log: one formatted data folder of one
/// instance. An instance that lost its disk returns as a new replica.
using ReplicaId = StrongId<struct ReplicaTag>;

/// Network address of a replica.
struct ReplicaAddress
{
  InstanceId m_instance;
  std::string m_address;
  uint16_t m_port = 0;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const ReplicaAddress&) const = default;
};

/// Replicas of the log as set by one entry. Learners receive the log, but
/// neither vote nor count towards a quorum.
struct ReplicaSet
{
  std::map<ReplicaId, ReplicaAddress> m_voters;
  std::map<ReplicaId, ReplicaAddress> m_learners;
  /// Replicas that were removed; their identities can't be added again.
  std::set<ReplicaId> m_removed;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const ReplicaSet&) const = default;
  /// Returns the number of voters in a quorum. @pre none. @thread any.
  [[nodiscard]] size_t Quorum() const { return m_voters.size() / 2 + 1; }
};

/// Kind of a log entry.
enum class EntryKind
{
  Command,
  /// Empty entry with which a new leader commits the entries before it.
  LeaderStart,
  ReplicaSet
};

/// One entry of the replicated log.
struct LogEntry
{
  LogIndex m_index;
  Term m_term;
  EntryKind m_kind = EntryKind::Command;
  std::string m_payload;
  /// Set when m_kind is ReplicaSet.
  ReplicaSet m_replicas;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const LogEntry&) const = default;
};

/// Current term and the vote given in it, which must survive a restart.
struct HardState
{
  Term m_term;
  ReplicaId m_votedFor;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const HardState&) const = default;
};

/// State of the state machine after applying every entry up to m_index.
struct Snapshot
{
  LogIndex m_index;
  Term m_term;
  ReplicaSet m_replicas;
  std::string m_state;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const Snapshot&) const = default;
};

/// Kind of a message between replicas.
enum class RaftMessageKind
{
  PreVote,
  PreVoteReply,
  Vote,
  VoteReply,
  Append,
  AppendReply,
  InstallSnapshot
};

/// One message between replicas.
struct RaftMessage
{
  RaftMessageKind m_kind = RaftMessageKind::Append;
  ReplicaId m_from;
  ReplicaId m_to;
  Term m_term;
  /// Vote and PreVote: index of the candidate's last entry. Append: index of
  /// the entry before the first one sent. AppendReply: last index known to
  /// match the leader's log.
  LogIndex m_index;
  /// Term of the entry at m_index; not set in replies.
  Term m_indexTerm;
  /// Append: the leader's commit index.
  LogIndex m_commit;
  std::vector<LogEntry> m_entries;
  /// Vote replies: the vote was granted. AppendReply: the entries or the
  /// snapshot were accepted.
  bool m_isGranted = false;
  /// Rejected AppendReply: highest index up to which the follower's log may
  /// match the leader's.
  LogIndex m_rejectHint;
  /// Leader's clock when it sent an Append or InstallSnapshot; the reply
  /// returns it unchanged.
  TimePoint m_sentAt;
  std::optional<Snapshot> m_snapshot;
};

/// A leader's contact with the voters.
struct VoterContact
{
  /// Voters that acknowledged a recent message, the leader included.
  size_t m_reachableVoters = 0;
  /// Voter with the longest silence; empty when no other voter was silent.
  ReplicaId m_longestSilentVoter;
  /// Time since the latest message that this voter acknowledged was sent, but
  /// at most the time since the leader was elected.
  Duration m_longestSilence{};
};

/// Role of a replica.
enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// Why a proposal was rejected.
enum class ProposeError
{
  NotLeader,
  /// Another replica set change, or the first entry of the term, is not
  /// committed yet.
  ConfigurationPending,
  /// The replica was removed before, or is a voter already.
  ReplicaWasRemoved,
  /// There is no such replica, or no such learner that is caught up.
  ReplicaNotKnown,
  /// The removal would leave no voter.
  LastVoter
};

/// Work that a replica returns to its host: what to store, send and apply.
struct RaftReady
{
  std::optional<HardState> m_hardState;
  /// Entries to store; they replace all stored entries from the first one's
  /// index on.
  std::vector<LogEntry> m_entries;
  /// Received snapshot; it replaces the state and the stored log.
  std::optional<Snapshot> m_snapshot;
  /// Messages that may be sent before the sync.
  std::vector<RaftMessage> m_messagesBeforeSync;
  /// Messages that may be sent only after the hard state, the entries and the
  /// snapshot are synced.
  std::vector<RaftMessage> m_messagesAfterSync;
  /// Committed entries to apply, in order, after the sync.
  std::vector<LogEntry> m_committed;

  /// Tells whether anything must be synced. @pre none. @thread loop.
  [[nodiscard]] bool NeedsSync() const
  {
    return m_hardState.has_value() || !m_entries.empty() ||
           m_snapshot.has_value();
  }
};

} // namespace celeryspread
