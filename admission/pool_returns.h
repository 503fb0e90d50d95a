#pragma once

#include "admission/return_schedule.h"
#include "admission/served_rate.h"

namespace celeryspread {

/// Decides when the refused callers of one pool come back.
/// @thread loop thread only.
class PoolReturns
{
public:
  /// A call that is refused.
  struct RefusedCall
  {
    /// Time before which it would be refused again.
    Duration m_earliest{};
    /// Time until its deadline.
    Duration m_timeLeft{};
    /// Time from its admission to the end of its answer on an idle engine.
    Duration m_needed{};
  };

  /// Creates the decision for one pool. @pre aRandom outlives it.
  explicit PoolReturns(RandomSource& aRandom)
    : m_schedule(aRandom)
  {
  }

  /// Records a call that the pool served. @pre aNow does not decrease.
  void RecordServed(TimePoint aNow) { m_served.Record(1, aNow); }
  /// Returns when a caller should come back. An earliest time that is beyond
  /// what callers honour is shortened to that, unless it is beyond the
  /// deadline. @pre aNow does not decrease.
  /// @error empty if the call should be refused finally.
  std::optional<Duration> RetryAfter(const RefusedCall& aCall, TimePoint aNow);
  /// Returns the calls served per second, empty if none lately. @pre none.
  [[nodiscard]] std::optional<double> ServedPerSecond(TimePoint aNow) const
  {
    return m_served.PerSecond(aNow);
  }

private:
  ServedRate m_served;
  ReturnSchedule m_schedule;
};

} // namespace celeryspread
