#include "fleet/demand_tracker.h"

#include <cmath>

namespace celeryspread {

namespace {

/// Demand moves within seconds; a shorter memory would follow single bursts.
constexpr double kSmoothingSeconds = 1.5;
constexpr double kMicrosPerSecond = 1e6;
/// Below this rate a target that nobody asks for is forgotten.
constexpr double kForgottenRate = 0.001;

} // namespace

void DemandTracker::Note(const Key& aKey,
                         uint32_t aCalls,
                         uint32_t aMisses,
                         TimePoint aNow)
{
  State& state = m_states[aKey];
  state.m_calls += aCalls;
  state.m_demand.m_misses += aMisses;
  state.m_demand.m_lastCall = aNow;
}

void DemandTracker::Tick(TimePoint aNow)
{
  if (m_lastTick == TimePoint()) {
    m_lastTick = aNow;
    return;
  }
  const double elapsed =
    static_cast<double>((aNow - m_lastTick).count()) / kMicrosPerSecond;
  if (elapsed <= 0) {
    return;
  }
  m_lastTick = aNow;
  const double keep = std::exp(-elapsed / kSmoothingSeconds);
  m_modelRates.clear();
  for (auto it = m_states.begin(); it != m_states.end();) {
    State& state = it->second;
    const double rate = static_cast<double>(state.m_calls) / elapsed;
    state.m_calls = 0;
    state.m_demand.m_rate = keep * state.m_demand.m_rate + (1 - keep) * rate;
    if (state.m_demand.m_rate < kForgottenRate &&
        state.m_demand.m_misses == 0) {
      it = m_states.erase(it);
      continue;
    }
    m_modelRates[{ it->first.m_pool, it->first.m_target.m_model }] +=
      state.m_demand.m_rate;
    ++it;
  }
}

DemandTracker::Demand DemandTracker::Of(const Key& aKey) const
{
  const auto found = m_states.find(aKey);
  return found == m_states.end() ? Demand{} : found->second.m_demand;
}

double DemandTracker::ModelRate(const PoolId& aPool,
                                const std::string& aModel) const
{
  const auto found = m_modelRates.find({ aPool, aModel });
  return found == m_modelRates.end() ? 0 : found->second;
}

void DemandTracker::TakeMisses(const Key& aKey)
{
  const auto found = m_states.find(aKey);
  if (found != m_states.end()) {
    found->second.m_demand.m_misses = 0;
  }
}

void DemandTracker::Clear()
{
  m_states.clear();
  m_modelRates.clear();
  m_lastTick = TimePoint();
}

} // namespace celeryspread
