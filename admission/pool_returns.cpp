#include "admission/pool_returns.h"

#include <algorithm>

namespace celeryspread {

std::optional<Duration> PoolReturns::RetryAfter(const RefusedCall& aCall,
                                                TimePoint aNow)
{
  // A caller that repeats at once after each refusal would cost more than a
  // later answer is worth.
  constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
  // Leaves a part of the honoured time to spread the callers over.
  constexpr int64_t kClippedPercent = 80;
  constexpr int64_t kPercentBase = 100;
  if (aCall.m_earliest >= aCall.m_timeLeft) {
    return std::nullopt;
  }
  const Duration latest =
    std::min(aCall.m_timeLeft / ReturnSchedule::kHonouredDivisor,
             aCall.m_timeLeft - aCall.m_needed);
  const Duration earliest = std::max(
    kMinRetryAfter,
    std::min(aCall.m_earliest, latest * kClippedPercent / kPercentBase));
  return m_schedule.Assign({ earliest, latest }, ServedPerSecond(aNow), aNow);
}

} // namespace celeryspread
