#include "retry/retry_policy.h"

namespace celeryspread {

RetryVerdict RetryPolicy::FinalVerdict(const FailedAttempt& aAttempt)
{
  if (!aAttempt.m_mayHaveRun) {
    return RetryVerdict::NotRun;
  }
  return aAttempt.m_isIdempotent ? RetryVerdict::Failed : RetryVerdict::Unknown;
}

RetryVerdict RetryPolicy::Decide(const FailedAttempt& aAttempt)
{
  const RetryVerdict final = FinalVerdict(aAttempt);
  if (aAttempt.m_hasAnswerBegun ||
      aAttempt.m_attemptCount >= aAttempt.m_maxAttempts ||
      aAttempt.m_now >= aAttempt.m_deadline) {
    return final;
  }
  const bool isSafe = aAttempt.m_isIdempotent || !aAttempt.m_mayHaveRun;
  if (!isSafe || !m_budget.TryTake()) {
    return final;
  }
  return RetryVerdict::Retry;
}

} // namespace celeryspread
