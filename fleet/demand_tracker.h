#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "routes/call_demand.h"

namespace celeryspread {

/// Smoothed demand for each target: calls per second, calls in progress, and
/// the use of prompt readers.
///
/// Which of the engines' resources is used up first depends on the engines and
/// on the calls. With few slots these bind: calls in progress grow with the
/// cost of a call and with the time that it is queued. With many slots and long
/// prompts the prompt reader binds, while most of the slots are still free.
/// @thread loop thread only.
class DemandTracker
{
public:
  using Key = DemandKey;

  /// Adds the demand that an entry counted since its last report. @pre none.
  void Record(const Key& aKey, const CallDemand& aDemand);
  /// Updates the smoothed values from what was recorded since the last tick.
  /// @pre called periodically, a few times per time constant of the smoothing.
  void Tick(TimePoint aNow);
  /// Returns the calls per second for a target. @pre none.
  [[nodiscard]] double CallRate(const Key& aKey) const;
  /// Returns the calls per second for all targets of a pool. @pre none.
  [[nodiscard]] double TotalCallRate(const PoolId& aPool) const;
  /// Returns the calls in progress for a target, smoothed. @pre none.
  [[nodiscard]] double CallsInProgress(const Key& aKey) const;
  /// Returns how many engines a model and its adapters keep busy: the use of
  /// slots or of the prompt reader, whichever is larger. @pre aSlots > 0.
  [[nodiscard]] double EngineLoad(const PoolId& aPool,
                                  const std::string& aModel,
                                  uint32_t aSlots) const;
  /// Discards all recorded demand. @pre none.
  void Clear();

private:
  struct State
  {
    /// Recorded since the last tick.
    CallDemand m_new;
    /// Smoothed calls per second, calls in progress, and prompt readers that
    /// are busy all the time.
    double m_rate = 0;
    double m_callsInProgress = 0;
    double m_prefillUse = 0;
  };
  struct ModelUse
  {
    double m_callsInProgress = 0;
    double m_prefillUse = 0;
  };

  std::map<Key, State> m_states;
  std::map<std::pair<PoolId, std::string>, ModelUse> m_models;
  TimePoint m_lastTick;
};

} // namespace celeryspread
