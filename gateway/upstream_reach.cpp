#include "gateway/upstream_reach.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Distinct upstreams that must be out of reach. Two may end or start anew
/// together.
constexpr size_t kMinFailed = 3;
/// Failures further apart have nothing to do with each other.
constexpr Duration kFailureMemory = std::chrono::seconds(3);

} // namespace

void UpstreamReach::RecordConnected(const PoolId& aPool)
{
  const auto found = m_pools.find(aPool);
  if (found != m_pools.end()) {
    found->second.m_failures.clear();
  }
  m_cutOff.erase(aPool);
}

void UpstreamReach::RecordAnswer(const PoolId& aPool, TimePoint aNow)
{
  m_pools[aPool].m_answeredAt = aNow;
}

size_t UpstreamReach::CountFailures(const Pool& aPool)
{
  TimePoint first = TimePoint::max();
  for (const auto& [upstream, failure] : aPool.m_failures) {
    first = std::min(first, failure.m_at);
  }
  const bool hasAnswer = aPool.m_answeredAt >= first;
  return static_cast<size_t>(std::count_if(
    aPool.m_failures.begin(), aPool.m_failures.end(), [&](const auto& aEntry) {
      return !hasAnswer || aEntry.second.m_source == Source::Probe;
    }));
}

void UpstreamReach::RecordNoConnection(const PoolId& aPool,
                                       const UpstreamId& aUpstream,
                                       Source aSource,
                                       size_t aUpstreams,
                                       TimePoint aNow)
{
  Pool& pool = m_pools[aPool];
  std::erase_if(pool.m_failures, [&](const auto& aEntry) {
    return aEntry.second.m_at + kFailureMemory < aNow;
  });
  pool.m_failures[aUpstream] = { aNow, aSource };
  if (CountFailures(pool) >= std::clamp<size_t>(aUpstreams, 1, kMinFailed)) {
    m_cutOff.insert(aPool);
  }
}

bool UpstreamReach::IsCutOff(const PoolId& aPool) const
{
  return m_cutOff.contains(aPool);
}

bool UpstreamReach::IsSuspect(const PoolId& aPool, TimePoint aNow) const
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return false;
  }
  const auto& failures = found->second.m_failures;
  return std::any_of(failures.begin(), failures.end(), [&](const auto& aEntry) {
    return aNow <= aEntry.second.m_at + kFailureMemory;
  });
}

} // namespace celeryspread
