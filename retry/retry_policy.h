#pragma once

#include <cstdint>

#include "core/clock.h"
#include "retry/retry_budget.h"

namespace celeryspread {

/// What is known about a call when one of its attempts has failed.
struct FailedAttempt
{
  /// Attempts made so far, this one included.
  int64_t m_attemptCount = 1;
  int64_t m_maxAttempts = 1;
  /// Whether the call is idempotent, so that it may run more than once.
  bool m_isIdempotent = false;
  /// Whether the upstream may have started to execute the call.
  bool m_mayHaveRun = true;
  /// Whether any part of the answer was sent to the caller.
  bool m_hasAnswerBegun = false;
  TimePoint m_now;
  TimePoint m_deadline;
};

/// What to do after a failed attempt.
enum class RetryVerdict
{
  Retry,
  /// Tell the caller that the call has not run.
  NotRun,
  /// Tell the caller that the call may have run.
  Unknown,
  /// Tell the caller that the idempotent call failed.
  Failed
};

/// Decides whether a failed call is retried.
/// @thread loop thread only.
class RetryPolicy
{
public:
  /// Creates a policy that spends from aBudget, which may be shared.
  /// @pre aBudget outlives the policy.
  explicit RetryPolicy(RetryBudget& aBudget)
    : m_budget(aBudget)
  {
  }
  /// Decides after a failed attempt; a retry is spent from the budget.
  /// @pre none.
  RetryVerdict Decide(const FailedAttempt& aAttempt);
  /// Returns the verdict when the call is not retried. @pre none.
  [[nodiscard]] static RetryVerdict FinalVerdict(const FailedAttempt& aAttempt);

private:
  RetryBudget& m_budget;
};

} // namespace celeryspread
