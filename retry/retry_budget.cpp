#include "retry/retry_budget.h"

#include <algorithm>

namespace celeryspread {

void RetryBudget::RecordFirstAttempt(int64_t aPercent)
{
  m_hundredths = std::min(m_hundredths + aPercent, kMaxHundredths);
}

bool RetryBudget::TryTake()
{
  if (m_hundredths < kHundredthsPerAttempt) {
    return false;
  }
  m_hundredths -= kHundredthsPerAttempt;
  ++m_taken;
  return true;
}

} // namespace celeryspread
