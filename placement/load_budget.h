#pragma once

#include <cstdint>

#include "core/clock.h"

namespace celeryspread {

/// Limits on loads that begin.
struct LoadLimits
{
  int64_t m_weightLoadsPerSecond = 1;
  int64_t m_maxWeightLoads = 1;
  int64_t m_maxAdapterLoads = 1;
};

/// Keeps model loads within the weight store's rate and both kinds of load
/// within what may be in flight.
/// @thread loop thread only.
class LoadBudget
{
public:
  /// Sets the limits. @pre none.
  void SetLimits(LoadLimits aLimits) { m_limits = aLimits; }
  /// Takes one load. @pre aInFlight counts loads of the same kind.
  /// @error false when it must wait.
  bool TryTake(bool aIsAdapter, int64_t aInFlight, TimePoint aNow);

private:
  LoadLimits m_limits;
  TimePoint m_nextWeightLoad;
};

} // namespace celeryspread
