#include "consensus/replica_progress.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace celeryspread {

namespace {

/// Returns the largest value that at least aQuorum of the voters' values
/// reach. @pre aQuorum lies between 1 and the number of values.
template<typename Value>
Value ValueReachedByQuorum(std::vector<Value> aValues, size_t aQuorum)
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
      FollowerProgress initial;
      initial.m_nextIndex = aLastIndex.Next();
      m_followers.emplace(id, initial);
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

LogIndex ReplicaProgress::QuorumIndex(const ReplicaSet& aReplicas,
                                      const ReplicaId& aSelf,
                                      LogIndex aOwnIndex) const
{
  std::vector<LogIndex> matches;
  for (const auto& [id, address] : aReplicas.m_voters) {
    const FollowerProgress* progress = Find(id);
    const LogIndex match =
      progress == nullptr ? LogIndex() : progress->m_matchIndex;
    matches.push_back(id == aSelf ? aOwnIndex : match);
  }
  return ValueReachedByQuorum(std::move(matches), aReplicas.Quorum());
}

TimePoint ReplicaProgress::LastQuorumContact(const ReplicaSet& aReplicas,
                                             const ReplicaId& aSelf,
                                             TimePoint aNow) const
{
  std::vector<TimePoint> contacts;
  for (const auto& [id, address] : aReplicas.m_voters) {
    const FollowerProgress* progress = Find(id);
    const TimePoint contact =
      progress == nullptr ? TimePoint() : progress->m_lastAcknowledgedSendTime;
    contacts.push_back(id == aSelf ? aNow : contact);
  }
  return ValueReachedByQuorum(std::move(contacts), aReplicas.Quorum());
}

} // namespace celeryspread
