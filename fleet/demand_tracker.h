#pragma once

#include <map>

#include "core/clock.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// Calls a second for each target, smoothed, and the calls that found no
/// engine holding it.
/// @thread loop thread only.
class DemandTracker
{
public:
  /// Demand for one target.
  struct Demand
  {
    /// Smoothed calls a second.
    double m_rate = 0;
    /// Calls refused for want of the target since the last TakeMisses().
    uint32_t m_misses = 0;
    TimePoint m_lastCall;
  };
  /// A target of a pool.
  struct Key
  {
    PoolId m_pool;
    ModelTarget m_target;
    /// Orders by fields. @pre none. @thread any.
    auto operator<=>(const Key&) const = default;
  };

  /// Notes calls that an entry counted since its last report. @pre none.
  void Note(const Key& aKey, uint32_t aCalls, uint32_t aMisses, TimePoint aNow);
  /// Folds what was noted into the rates. @pre called about once a second.
  void Tick(TimePoint aNow);
  /// Returns the demand for a target; zero when none is known. @pre none.
  [[nodiscard]] Demand Of(const Key& aKey) const;
  /// Returns the calls a second for a model, adapters included. @pre none.
  [[nodiscard]] double ModelRate(const PoolId& aPool,
                                 const std::string& aModel) const;
  /// Forgets the misses of a target. @pre none.
  void TakeMisses(const Key& aKey);
  /// Forgets everything. @pre none.
  void Clear();

private:
  struct State
  {
    Demand m_demand;
    uint32_t m_calls = 0;
  };

  std::map<Key, State> m_states;
  std::map<std::pair<PoolId, std::string>, double> m_modelRates;
  TimePoint m_lastTick;
};

} // namespace celeryspread
