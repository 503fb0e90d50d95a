#include "admission/worth_gate.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr size_t kRecentCalls = 256;
constexpr double kMicrosPerSecond = 1e6;
/// Queue that a call of any rank may join, as a share of the slots: it keeps
/// an engine busy between two reports.
constexpr double kOpenShare = 0.5;

} // namespace

double WorthGate::Rank(int64_t aWorth, Duration aWork)
{
  const double seconds = static_cast<double>(aWork.count()) / kMicrosPerSecond;
  const double density = static_cast<double>(aWorth) / seconds;
  const auto notAbove =
    std::count_if(m_recent.begin(), m_recent.end(), [&](double aOther) {
      return aOther <= density;
    });
  // Calls that are all alike rank highest together: then there is nothing to
  // choose, and the queue is open to all.
  const double rank = m_recent.empty() ? 1
                                       : static_cast<double>(notAbove) /
                                           static_cast<double>(m_recent.size());
  if (m_recent.size() < kRecentCalls) {
    m_recent.push_back(density);
  } else {
    m_recent[m_next] = density;
    m_next = (m_next + 1) % kRecentCalls;
  }
  return rank;
}

bool WorthGate::TryAdmit(double aRank, const GateQuery& aQuery)
{
  const double wanted =
    kOpenShare * aQuery.m_slots + aRank * aRank * aQuery.m_maxQueued;
  const double depth = std::min<double>(wanted, aQuery.m_maxQueued);
  if (aQuery.m_load >= aQuery.m_slots + depth) {
    m_lastError = GateError::WorthTooLow;
    return false;
  }
  // A call waits behind those of a higher rank only.
  const double ahead = 1 - aRank;
  const Duration wait(
    static_cast<int64_t>(static_cast<double>(aQuery.m_wait.count()) * ahead));
  if (wait > aQuery.m_timeLeft) {
    m_lastError = GateError::TooLate;
    return false;
  }
  return true;
}

} // namespace celeryspread
