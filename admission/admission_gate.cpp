#include "admission/admission_gate.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr size_t kMaxRecentCalls = 256;
constexpr double kMicrosPerSecond = 1e6;
/// Queue length that calls of any rank may join, as a share of the slots. It
/// keeps an engine busy between two load reports.
constexpr double kUnrankedQueueShare = 0.5;

} // namespace

double AdmissionGate::Rank(int64_t aUtility, Duration aWork)
{
  const double seconds = static_cast<double>(aWork.count()) / kMicrosPerSecond;
  const double density = static_cast<double>(aUtility) / seconds;
  const auto notAboveCount =
    std::count_if(m_recentDensities.begin(),
                  m_recentDensities.end(),
                  [&](double aOther) { return aOther <= density; });
  // When all recent calls have the same density, each gets rank 1: there is no
  // difference to choose by, and the whole queue is open to them.
  const double rank = m_recentDensities.empty()
                        ? 1
                        : static_cast<double>(notAboveCount) /
                            static_cast<double>(m_recentDensities.size());
  if (m_recentDensities.size() < kMaxRecentCalls) {
    m_recentDensities.push_back(density);
  } else {
    m_recentDensities[m_nextIndex] = density;
    m_nextIndex = (m_nextIndex + 1) % kMaxRecentCalls;
  }
  return rank;
}

bool AdmissionGate::TryAdmit(double aRank, const AdmissionQuery& aQuery)
{
  const double rankedDepth =
    kUnrankedQueueShare * aQuery.m_slots + aRank * aRank * aQuery.m_maxQueued;
  const double depth = std::min<double>(rankedDepth, aQuery.m_maxQueued);
  if (aQuery.m_load >= aQuery.m_slots + depth) {
    m_lastError = AdmissionGateError::UtilityTooLow;
    return false;
  }
  // The engine serves its queue by rank, so a call waits only for calls of a
  // higher rank. Their share of the queue is taken as 1 - rank.
  const double shareAhead = 1 - aRank;
  const Duration wait(static_cast<int64_t>(
    static_cast<double>(aQuery.m_expectedWait.count()) * shareAhead));
  if (wait > aQuery.m_timeLeft) {
    m_lastError = AdmissionGateError::DeadlineUnreachable;
    return false;
  }
  return true;
}

} // namespace celeryspread
