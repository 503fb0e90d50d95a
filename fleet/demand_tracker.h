#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// Demand for each target, smoothed: calls a second, and calls in progress.
/// Calls in progress grow with what a call costs and with the queue before it,
/// so they show which models need more engines.
/// @thread loop thread only.
class DemandTracker
{
public:
  /// A target of a pool.
  struct Key
  {
    PoolId m_pool;
    ModelTarget m_target;
    /// Orders by fields. @pre none. @thread any.
    auto operator<=>(const Key&) const = default;
  };

  /// Notes calls that an entry counted since its last report, and the time
  /// that calls spent at engines meanwhile. @pre none.
  void Note(const Key& aKey, uint32_t aCalls, Duration aWork);
  /// Folds what was noted into the rates. @pre called about once a second.
  void Tick(TimePoint aNow);
  /// Returns the calls a second for a target. @pre none.
  [[nodiscard]] double Rate(const Key& aKey) const;
  /// Returns the calls in progress for a target. @pre none.
  [[nodiscard]] double Calls(const Key& aKey) const;
  /// Returns the calls in progress for a model with its adapters. @pre none.
  [[nodiscard]] double ModelCalls(const PoolId& aPool,
                                  const std::string& aModel) const;
  /// Forgets everything. @pre none.
  void Clear();

private:
  struct State
  {
    uint32_t m_calls = 0;
    Duration m_work{};
    double m_rate = 0;
    double m_running = 0;
  };

  std::map<Key, State> m_states;
  std::map<std::pair<PoolId, std::string>, double> m_modelCalls;
  TimePoint m_lastTick;
};

} // namespace celeryspread
