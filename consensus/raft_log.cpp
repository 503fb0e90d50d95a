#include "consensus/raft_log.h"

#include <algorithm>

namespace celeryspread {

RaftLog::RaftLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries)
  : m_snapshot(std::move(aSnapshot))
  , m_entries(std::make_move_iterator(aEntries.begin()),
              std::make_move_iterator(aEntries.end()))
{
  UpdateReplicasIndex();
}

LogIndex RaftLog::LastIndex() const
{
  return m_snapshot.m_index + LogIndex(m_entries.size());
}

Term RaftLog::LastTerm() const
{
  return m_entries.empty() ? m_snapshot.m_term : m_entries.back().m_term;
}

std::optional<Term> RaftLog::TermAt(LogIndex aIndex) const
{
  if (aIndex < m_snapshot.m_index || aIndex > LastIndex()) {
    return std::nullopt;
  }
  if (aIndex == m_snapshot.m_index) {
    return m_snapshot.m_term;
  }
  return At(aIndex).m_term;
}

const LogEntry& RaftLog::At(LogIndex aIndex) const
{
  return m_entries[(aIndex - m_snapshot.m_index).Value() - 1];
}

std::vector<LogEntry> RaftLog::Slice(LogIndex aFirst,
                                     size_t aMaxEntries,
                                     size_t aMaxBytes) const
{
  std::vector<LogEntry> entries;
  size_t bytes = 0;
  for (LogIndex index = aFirst; index <= LastIndex(); index = index.Next()) {
    const LogEntry& entry = At(index);
    const bool isFull = entries.size() >= aMaxEntries ||
                        bytes + entry.m_payload.size() > aMaxBytes;
    // The first entry is always included, however large it is.
    if (isFull && !entries.empty()) {
      break;
    }
    bytes += entry.m_payload.size();
    entries.push_back(entry);
  }
  return entries;
}

void RaftLog::Append(LogEntry aEntry)
{
  if (aEntry.m_kind == EntryKind::ReplicaSet) {
    m_replicasIndex = aEntry.m_index;
  }
  m_entries.push_back(std::move(aEntry));
}

void RaftLog::TruncateFrom(LogIndex aFirst)
{
  m_entries.resize((aFirst - m_snapshot.m_index).Value() - 1);
  UpdateReplicasIndex();
}

void RaftLog::CompactTo(Snapshot aSnapshot)
{
  const size_t coveredCount = (aSnapshot.m_index - m_snapshot.m_index).Value();
  const size_t removedCount = std::min(coveredCount, m_entries.size());
  m_entries.erase(m_entries.begin(),
                  m_entries.begin() + static_cast<ptrdiff_t>(removedCount));
  m_snapshot = std::move(aSnapshot);
  UpdateReplicasIndex();
}

void RaftLog::Reset(Snapshot aSnapshot)
{
  m_entries.clear();
  m_snapshot = std::move(aSnapshot);
  UpdateReplicasIndex();
}

const ReplicaSet& RaftLog::LatestReplicas() const
{
  return m_replicasIndex > m_snapshot.m_index ? At(m_replicasIndex).m_replicas
                                              : m_snapshot.m_replicas;
}

void RaftLog::UpdateReplicasIndex()
{
  m_replicasIndex = m_snapshot.m_index;
  for (const LogEntry& entry : m_entries) {
    if (entry.m_kind == EntryKind::ReplicaSet) {
      m_replicasIndex = entry.m_index;
    }
  }
}

} // namespace celeryspread
