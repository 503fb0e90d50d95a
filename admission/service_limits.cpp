#include "admission/service_limits.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr int64_t kOneCall = 1'000'000;

} // namespace

bool ServiceLimits::TryAdmit(const ServiceId& aService,
                             const ServiceLimit& aLimit,
                             TimePoint aNow)
{
  State& state = m_states[aService];
  const int64_t capacity = aLimit.m_maxPerSecond * kOneCall;
  if (state.m_isNew) {
    state.m_isNew = false;
    state.m_millionths = capacity;
    state.m_filledAt = aNow;
  }
  const Duration elapsed =
    std::min<Duration>(aNow - state.m_filledAt, std::chrono::seconds(1));
  state.m_millionths = std::min(
    capacity, state.m_millionths + elapsed.count() * aLimit.m_maxPerSecond);
  state.m_filledAt = aNow;
  if (state.m_concurrent >= aLimit.m_maxConcurrent) {
    m_lastError = AdmissionError::TooManyConcurrent;
    return false;
  }
  if (state.m_millionths < kOneCall) {
    m_lastError = AdmissionError::TooManyPerSecond;
    return false;
  }
  state.m_millionths -= kOneCall;
  ++state.m_concurrent;
  return true;
}

void ServiceLimits::Release(const ServiceId& aService)
{
  State& state = m_states[aService];
  state.m_concurrent = std::max<int64_t>(0, state.m_concurrent - 1);
}

int64_t ServiceLimits::Concurrent(const ServiceId& aService) const
{
  const auto found = m_states.find(aService);
  return found == m_states.end() ? 0 : found->second.m_concurrent;
}

} // namespace celeryspread
