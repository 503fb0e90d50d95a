#pragma once

#include <cstdint>

#include "core/clock.h"
#include "retry/retry_budget.h"

namespace celeryspread {

/// What is known when one attempt of a call has failed.
struct FailedAttempt
{
  /// Attempts made so far, this one included.
  int64_t m_attempts = 1;
  int64_t m_maxAttempts = 1;
  bool m_mayRepeat = false;
  /// Whether the upstream may have begun the work.
  bool m_mayHaveRun = true;
  /// Whether any part of the answer went to the caller.
  bool m_hasAnswerBegun = false;
  TimePoint m_now;
  TimePoint m_deadline;
};

/// What to do after a failed attempt.
enum class RetryVerdict
{
  Retry,
  /// Tell the caller that the work has not run.
  NotRun,
  /// Tell the caller that the work may have run.
  Unknown,
  /// Tell the caller that idempotent work failed.
  Failed
};

/// Decides about further attempts of a call.
/// @thread loop thread only.
class RetryPolicy
{
public:
  /// Shares a budget. @pre aBudget outlives the policy.
  explicit RetryPolicy(RetryBudget& aBudget)
    : m_budget(aBudget)
  {
  }
  /// Decides after a failure; takes from the budget for a retry. @pre none.
  RetryVerdict Decide(const FailedAttempt& aAttempt);
  /// Returns the verdict when no further attempt is made. @pre none.
  [[nodiscard]] static RetryVerdict FinalVerdict(const FailedAttempt& aAttempt);

private:
  RetryBudget& m_budget;
};

} // namespace celeryspread
