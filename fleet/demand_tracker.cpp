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

void DemandTracker::Note(const Key& aKey, uint32_t aCalls, Duration aWork)
{
  State& state = m_states[aKey];
  state.m_calls += aCalls;
  state.m_work += aWork;
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
  m_modelCalls.clear();
  for (auto it = m_states.begin(); it != m_states.end();) {
    State& state = it->second;
    const double rate = state.m_calls / elapsed;
    const double running =
      static_cast<double>(state.m_work.count()) / kMicrosPerSecond / elapsed;
    state.m_rate = keep * state.m_rate + (1 - keep) * rate;
    state.m_running = keep * state.m_running + (1 - keep) * running;
    state.m_calls = 0;
    state.m_work = Duration::zero();
    if (state.m_rate < kForgottenRate) {
      it = m_states.erase(it);
      continue;
    }
    m_modelCalls[{ it->first.m_pool, it->first.m_target.m_model }] +=
      state.m_running;
    ++it;
  }
}

double DemandTracker::Rate(const Key& aKey) const
{
  const auto found = m_states.find(aKey);
  return found == m_states.end() ? 0 : found->second.m_rate;
}

double DemandTracker::Calls(const Key& aKey) const
{
  const auto found = m_states.find(aKey);
  return found == m_states.end() ? 0 : found->second.m_running;
}

double DemandTracker::ModelCalls(const PoolId& aPool,
                                 const std::string& aModel) const
{
  const auto found = m_modelCalls.find({ aPool, aModel });
  return found == m_modelCalls.end() ? 0 : found->second;
}

void DemandTracker::Clear()
{
  m_states.clear();
  m_modelCalls.clear();
  m_lastTick = TimePoint();
}

} // namespace celeryspread
