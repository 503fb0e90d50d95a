#include "control/join_policy.h"

#include <set>
#include <utility>

namespace celeryspread {

namespace {

/// A replica that has known no leader for this long asks whether it was
/// removed. It must vote again before the next loss, which may follow four
/// seconds after its return.
constexpr Duration kMaxLeaderlessTime = std::chrono::seconds(1);

} // namespace

JoinPolicy::JoinPolicy(InstanceId aSelf, ReplicaId aReplica, TimePoint aNow)
  : m_self(std::move(aSelf))
  , m_replica(std::move(aReplica))
  , m_leaderSeenAt(aNow)
{
}

bool JoinPolicy::IsSoleVoterOfInstance(const Raft& aRaft) const
{
  const ReplicaSet& replicas = aRaft.Replicas();
  size_t ownVoters = 0;
  for (const auto& [id, address] : replicas.m_voters) {
    ownVoters += address.m_instance == m_self ? 1 : 0;
  }
  return ownVoters == 1 && replicas.m_voters.contains(m_replica);
}

std::vector<ReplicaAddress> JoinPolicy::InstancesToAsk(
  const Raft& aRaft,
  const std::vector<ReplicaAddress>& aSeeds,
  TimePoint aNow)
{
  if (!aRaft.Leader().IsEmpty()) {
    m_leaderSeenAt = aNow;
  }
  // A replica that was removed while it was down or disconnected gets no
  // messages from the leader, so it knows of none.
  const bool isLeaderless = m_leaderSeenAt + kMaxLeaderlessTime < aNow;
  if (IsSoleVoterOfInstance(aRaft) && !isLeaderless) {
    return {};
  }
  std::vector<ReplicaAddress> instances;
  std::set<InstanceId> known{ m_self };
  for (const ReplicaAddress& seed : aSeeds) {
    if (known.insert(seed.m_instance).second) {
      instances.push_back(seed);
    }
  }
  // The seeds may all have been replaced since the settings were written.
  for (const auto& [id, address] : aRaft.Replicas().m_voters) {
    if (known.insert(address.m_instance).second) {
      instances.push_back(address);
    }
  }
  return instances;
}

std::string JoinAnswers::TakeText()
{
  const JoinAnswers taken = std::exchange(*this, JoinAnswers());
  if (taken.m_asked == 0 && taken.m_unreachable == 0) {
    return {};
  }
  return "asked=" + std::to_string(taken.m_asked) +
         " unreachable=" + std::to_string(taken.m_unreachable) +
         " accepted=" + std::to_string(taken.m_accepted) +
         " not_leader=" + std::to_string(taken.m_notLeader);
}

} // namespace celeryspread
