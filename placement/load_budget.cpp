#include "placement/load_budget.h"

#include <algorithm>

namespace celeryspread {

bool LoadBudget::TryTake(bool aIsAdapter, int64_t aInFlight, TimePoint aNow)
{
  if (aIsAdapter) {
    return aInFlight < m_limits.m_maxAdapterLoads;
  }
  if (aInFlight >= m_limits.m_maxWeightLoads || aNow < m_nextWeightLoadAt) {
    return false;
  }
  const Duration spacing =
    Duration(std::chrono::seconds(1)) / m_limits.m_weightLoadsPerSecond;
  m_nextWeightLoadAt = std::max(aNow, m_nextWeightLoadAt) + spacing;
  return true;
}

} // namespace celeryspread
