#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "routes/route_config.h"

namespace celeryspread {

/// Sets the priority of a call at an engine.
///
/// Under overload engines can't start all calls within the latency objective.
/// Calls that can still meet it go first. Calls that have missed it, or are
/// expected to, get the remaining capacity. So a queue delays a few calls
/// instead of all of them.
/// @thread any; no state.
class CallPriority
{
public:
  /// Timing of a call when it is dispatched.
  struct Timing
  {
    /// Time since the caller first sent the call, as far as it is known.
    Duration m_age{};
    /// Expected time to the first event.
    Duration m_expectedWait{};
  };

  /// Returns the priority of a call at the engine, from 0 (first) to 9 (last);
  /// empty selects the engine's default. All calls that can meet the objective
  /// have the same priority, because a higher one would preempt other calls in
  /// the middle of their streams. @pre none.
  static std::optional<uint32_t> EnginePriority(const Route& aRoute,
                                                const Timing& aTiming)
  {
    constexpr uint32_t kLatePriority = 8;
    const bool isLate =
      aTiming.m_age + aTiming.m_expectedWait > aRoute.m_objective;
    return isLate ? std::optional<uint32_t>(kLatePriority) : std::nullopt;
  }

  /// Returns whether the caller is expected to give up before the first event.
  /// @pre none.
  static bool WaitExceedsTimeout(const Route& aRoute, const Timing& aTiming)
  {
    return aTiming.m_expectedWait > FirstEventTimeout(aRoute);
  }

  /// Returns how long a caller is assumed to wait for the first event of a
  /// stream: the longest of two seconds, four times the route's objective and
  /// eight times its longest gap, less 20 % because the expected wait is an
  /// estimate.
  /// @pre none.
  static Duration FirstEventTimeout(const Route& aRoute)
  {
    constexpr Duration kMinTimeout = std::chrono::seconds(2);
    constexpr int64_t kObjectiveMultiple = 4;
    constexpr int64_t kEventGapMultiple = 8;
    constexpr int64_t kRetainedTimeoutPercent = 80;
    constexpr int64_t kPercentBase = 100;
    const Duration longest =
      std::max({ kMinTimeout,
                 kObjectiveMultiple * aRoute.m_objective,
                 kEventGapMultiple * aRoute.m_maxEventGap });
    return longest * kRetainedTimeoutPercent / kPercentBase;
  }
};

} // namespace celeryspread
