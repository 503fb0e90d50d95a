#include "consensus/replica_progress.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace celeryspread {

namespace {

/// Returns the value that a quorum reaches, for one value of each voter.
template<typename Value>
Value QuorumValue(std::vector<Value> aValues, size_t aQuorum)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  return aValues[aQuorum - 1];
}

} // namespace

void ReplicaProgress::Sync(const ReplicaSet& aReplicas, LogIndex aLastIndex)
{
  std::erase_if(m_followers, [&](const auto& aEntry) {
    return !aReplicas.m_voters.contains(aEntry.first) &&
           !aReplicas.m_learners.contains(aEntry.first);
  });
  for (const auto* group : { &aReplicas.m_voters, &aReplicas.m_learners }) {
    for (const auto& [id, address] : *group) {
      FollowerProgress fresh;
      fresh.m_next = aLastIndex.Next();
      m_followers.emplace(id, fresh);
    }
  }
}

FollowerProgress* ReplicaProgress::Find(const ReplicaId& aId)
{
  const auto found = m_followers.find(aId);
  return found == m_followers.end() ? nullptr : &found->second;
}

const FollowerProgress* ReplicaProgress::Find(const ReplicaId& aId) const
{
  const auto found = m_followers.find(aId);
  return found == m_followers.end() ? nullptr : &found->second;
}

LogIndex ReplicaProgress::AgreedIndex(const ReplicaSet& aReplicas,
                                      const ReplicaId& aSelf,
                                      LogIndex aOwnIndex) const
{
  std::vector<LogIndex> matches;
  for (const auto& [id, address] : aReplicas.m_voters) {
    const FollowerProgress* progress = Find(id);
    const LogIndex known = progress == nullptr ? LogIndex() : progress->m_match;
    matches.push_back(id == aSelf ? aOwnIndex : known);
  }
  return QuorumValue(std::move(matches), aReplicas.Quorum());
}

TimePoint ReplicaProgress::QuorumContact(const ReplicaSet& aReplicas,
                                         const ReplicaId& aSelf,
                                         TimePoint aNow) const
{
  std::vector<TimePoint> contacts;
  for (const auto& [id, address] : aReplicas.m_voters) {
    const FollowerProgress* progress = Find(id);
    const TimePoint known =
      progress == nullptr ? TimePoint() : progress->m_acknowledgedSentAt;
    contacts.push_back(id == aSelf ? aNow : known);
  }
  return QuorumValue(std::move(contacts), aReplicas.Quorum());
}

} // namespace celeryspread
