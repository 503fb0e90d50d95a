#include "fleet/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// Time constant of the smoothing. Demand shifts within seconds; a shorter time
/// constant would follow single bursts.
constexpr double kSmoothingSeconds = 1.5;
constexpr double kMicrosPerSecond = 1e6;
/// Calls per second and calls in progress below which a target is dropped.
constexpr double kMinTracked = 0.001;
/// Use of its prompt reader at which an engine counts as full. At a higher use
/// prompts meet often, and each that is read meanwhile pauses all streams.
constexpr double kFullPrefillUse = 0.5;

} // namespace

void DemandTracker::Record(const Key& aKey, const CallDemand& aDemand)
{
  m_states[aKey].m_new += aDemand;
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
  const auto smooth = [&](double& aValue, double aNew) {
    aValue = keep * aValue + (1 - keep) * aNew / elapsed;
  };
  const auto seconds = [](Duration aDuration) {
    return static_cast<double>(aDuration.count()) / kMicrosPerSecond;
  };
  m_models.clear();
  for (auto it = m_states.begin(); it != m_states.end();) {
    State& state = it->second;
    smooth(state.m_rate, state.m_new.m_calls);
    smooth(state.m_callsInProgress, seconds(state.m_new.m_work));
    smooth(state.m_prefillUse, seconds(state.m_new.m_prefill));
    state.m_new = CallDemand();
    if (state.m_rate < kMinTracked && state.m_callsInProgress < kMinTracked) {
      it = m_states.erase(it);
      continue;
    }
    ModelUse& use = m_models[{ it->first.m_pool, it->first.m_target.m_model }];
    use.m_callsInProgress += state.m_callsInProgress;
    use.m_prefillUse += state.m_prefillUse;
    ++it;
  }
}

double DemandTracker::TotalCallRate(const PoolId& aPool) const
{
  double rate = 0;
  for (const auto& [key, state] : m_states) {
    rate += key.m_pool == aPool ? state.m_rate : 0;
  }
  return rate;
}

double DemandTracker::CallRate(const Key& aKey) const
{
  const auto found = m_states.find(aKey);
  return found == m_states.end() ? 0 : found->second.m_rate;
}

double DemandTracker::CallsInProgress(const Key& aKey) const
{
  const auto found = m_states.find(aKey);
  return found == m_states.end() ? 0 : found->second.m_callsInProgress;
}

double DemandTracker::EngineLoad(const PoolId& aPool,
                                 const std::string& aModel,
                                 uint32_t aSlots) const
{
  const auto found = m_models.find({ aPool, aModel });
  if (found == m_models.end()) {
    return 0;
  }
  return std::max(found->second.m_callsInProgress / aSlots,
                  found->second.m_prefillUse / kFullPrefillUse);
}

void DemandTracker::Clear()
{
  m_states.clear();
  m_models.clear();
  m_lastTick = TimePoint();
}

} // namespace celeryspread
