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

/// Identity of one replica of the log: one formatted disk of one instance.
/// An instance whose disk was lost comes back as another replica.
using ReplicaId = StrongId<struct ReplicaTag>;

/// Where a replica is reached.
struct ReplicaAddress
{
  InstanceId m_instance;
  std::string m_address;
  uint16_t m_port = 0;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const ReplicaAddress&) const = default;
};

/// Replicas of the log at one configuration entry.
struct ReplicaSet
{
  std::map<ReplicaId, ReplicaAddress> m_voters;
  std::map<ReplicaId, ReplicaAddress> m_learners;
  /// Replicas removed before; their identity is never used again.
  std::set<ReplicaId> m_removed;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const ReplicaSet&) const = default;
  /// Returns how many voters make a quorum. @pre none. @thread any.
  [[nodiscard]] size_t Quorum() const { return m_voters.size() / 2 + 1; }
};

/// What an entry of the log holds.
enum class EntryKind
{
  Command,
  /// Written by a new leader to commit what came before.
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

/// What a replica must never forget besides its log.
struct HardState
{
  Term m_term;
  ReplicaId m_votedFor;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const HardState&) const = default;
};

/// State machine contents up to one entry.
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
  /// Vote kinds: the candidate's last entry. Append: the entry before the
  /// first one sent. AppendReply: last entry known to match.
  LogIndex m_index;
  Term m_indexTerm;
  LogIndex m_commit;
  std::vector<LogEntry> m_entries;
  bool m_isGranted = false;
  /// AppendReply refused: the follower's last entry.
  LogIndex m_hint;
  /// Sender's clock when an Append left; echoed by its reply.
  TimePoint m_sentAt;
  std::optional<Snapshot> m_snapshot;
};

/// Which voters answer a leader.
struct VoterContact
{
  /// Voters that acknowledged something lately, the leader included.
  size_t m_answering = 0;
  ReplicaId m_mostSilent;
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

/// Why a proposal was not taken.
enum class ProposeError
{
  NotLeader,
  ConfigurationPending,
  ReplicaWasRemoved,
  ReplicaNotKnown,
  LastVoter
};

/// Work that a replica hands to its host after each step.
struct RaftReady
{
  std::optional<HardState> m_hardState;
  /// Entries to store; they replace any stored entry from their first index.
  std::vector<LogEntry> m_entries;
  /// Received snapshot that replaces the state and the stored log.
  std::optional<Snapshot> m_snapshot;
  /// Messages that may go out before the entries are synced.
  std::vector<RaftMessage> m_earlyMessages;
  /// Messages that must wait until everything above is synced.
  std::vector<RaftMessage> m_messages;
  /// Entries to apply, in order, after the sync.
  std::vector<LogEntry> m_committed;

  /// Tells whether something must be synced. @pre none. @thread loop.
  [[nodiscard]] bool NeedsSync() const
  {
    return m_hardState.has_value() || !m_entries.empty() ||
           m_snapshot.has_value();
  }
};

} // namespace celeryspread
