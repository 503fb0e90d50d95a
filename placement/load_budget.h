#pragma once

#include <cstdint>

#include "core/clock.h"

namespace celeryspread {

/// Limits on the loads that the owner orders.
struct LoadLimits
{
  /// Model loads per second that may start reading from the weight store.
  int64_t m_weightLoadsPerSecond = 1;
  /// Model loads in progress at one time.
  int64_t m_maxWeightLoads = 1;
  /// Adapter loads in progress at one time.
  int64_t m_maxAdapterLoads = 1;
};

/// Limits the rate at which model loads start reading from the weight store,
/// and the number of model and adapter loads in progress.
/// @thread loop thread only.
class LoadBudget
{
public:
  /// Sets the limits. @pre none.
  void SetLimits(LoadLimits aLimits) { m_limits = aLimits; }
  /// Spends one load. @pre aInFlight is the number of loads of the same kind in
  /// progress. @error false when the load must wait.
  bool TryTake(bool aIsAdapter, int64_t aInFlight, TimePoint aNow);

private:
  LoadLimits m_limits;
  /// The earliest time of the next model load.
  TimePoint m_nextWeightLoadAt;
};

} // namespace celeryspread
