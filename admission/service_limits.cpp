#include "admission/service_limits.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Tokens of the bucket that one call costs. A token is a millionth of a call,
/// so each microsecond refills m_maxPerSecond tokens, a whole number.
constexpr int64_t kTokensPerCall = 1'000'000;

} // namespace

bool ServiceLimits::TryAdmit(const ServiceId& aService,
                             const ServiceLimit& aLimit,
                             TimePoint aNow)
{
  State& state = m_states[aService];
  const int64_t capacity = aLimit.m_maxPerSecond * kTokensPerCall;
  if (state.m_isNew) {
    state.m_isNew = false;
    state.m_tokens = capacity;
    state.m_refilledAt = aNow;
  }
  const Duration elapsed =
    std::min<Duration>(aNow - state.m_refilledAt, std::chrono::seconds(1));
  state.m_tokens = std::min(
    capacity, state.m_tokens + elapsed.count() * aLimit.m_maxPerSecond);
  state.m_refilledAt = aNow;
  if (state.m_concurrent >= aLimit.m_maxConcurrent) {
    m_lastError = AdmissionError::TooManyConcurrent;
    return false;
  }
  if (state.m_tokens < kTokensPerCall) {
    m_lastError = AdmissionError::TooManyPerSecond;
    return false;
  }
  state.m_tokens -= kTokensPerCall;
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
