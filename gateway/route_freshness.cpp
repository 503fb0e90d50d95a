#include "gateway/route_freshness.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr size_t kMaxMissing = 32;
constexpr size_t kMaxHeard = 32;

} // namespace

void RouteFreshness::RecordInForce(Revision aVersion,
                                   const std::string& aControl,
                                   TimePoint aNow)
{
  if (aVersion <= m_version) {
    return;
  }
  m_version = aVersion;
  m_source = aControl;
  m_inForceSince = aNow;
  m_newest = std::max(m_newest, aVersion);
  m_missing.erase(m_missing.begin(), m_missing.upper_bound(aVersion));
  if (m_missing.empty() && m_newest > m_version) {
    m_missing.emplace(m_newest, aNow);
  }
}

void RouteFreshness::RecordStatement(const RouteStatement& aStatement,
                                     TimePoint aNow)
{
  m_newest = std::max({ m_newest, aStatement.m_offered, aStatement.m_proven });
  if (m_newest > m_version && m_missing.size() < kMaxMissing) {
    m_missing.emplace(m_newest, aNow);
  }
  const bool isNews = m_heard.empty() || m_newest > m_heard.back().first;
  if (isNews && m_heard.size() < kMaxHeard) {
    m_heard.emplace_back(m_newest, aNow);
  }
  while (m_heard.size() > 1 && m_heard[1].second + kMaxLag <= aNow) {
    m_heard.pop_front();
  }
  if (aStatement.m_provenAt) {
    m_lastProofAt = std::max(m_lastProofAt.value_or(*aStatement.m_provenAt),
                             *aStatement.m_provenAt);
  }
}

std::optional<Duration> RouteFreshness::TimeInForce(TimePoint aNow) const
{
  return m_inForceSince ? std::optional(aNow - *m_inForceSince) : std::nullopt;
}

Duration RouteFreshness::Lag(TimePoint aNow) const
{
  return m_missing.empty() ? Duration::zero()
                           : aNow - m_missing.begin()->second;
}

bool RouteFreshness::IsInstanceOutdated(const RouteStatement& aStatement,
                                        TimePoint aNow) const
{
  const auto isRecent = [&](TimePoint aProvenAt) {
    return aNow <= aProvenAt + kMaxProofAge;
  };
  const bool hasRecentProof =
    aStatement.m_provenAt && isRecent(*aStatement.m_provenAt);
  if (m_lastProofAt && !isRecent(*m_lastProofAt) && !hasRecentProof) {
    return true;
  }
  const bool canTell = aStatement.m_offered != Revision();
  const bool isOverdue =
    !m_heard.empty() && m_heard.front().second + kMaxLag <= aNow;
  return canTell && isOverdue && aStatement.m_offered < m_heard.front().first;
}

} // namespace celeryspread
