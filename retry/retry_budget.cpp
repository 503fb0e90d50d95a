#include "retry/retry_budget.h"

#include <algorithm>

namespace celeryspread {

void RetryBudget::NoteFirstAttempt(int64_t aPercent)
{
  m_hundredths = std::min(m_hundredths + aPercent, kMaximumHundredths);
}

bool RetryBudget::TryTake()
{
  if (m_hundredths < kWhole) {
    return false;
  }
  m_hundredths -= kWhole;
  ++m_taken;
  return true;
}

} // namespace celeryspread
