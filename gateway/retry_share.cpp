#include "gateway/retry_share.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Until the number of entries is known, as many as a large deployment has.
constexpr uint32_t kUnknownEntryCount = 100;
/// Part of the ratio that is used, because windows slide against each other.
constexpr double kUsedRatio = 0.8;

} // namespace

RetryShare::RetryShare(RetryBounds aBounds)
  : m_bounds(aBounds)
{
}

void RetryShare::SetEntryCount(uint32_t aCount)
{
  if (aCount != 0) {
    m_entryCount = aCount;
  }
}

void RetryShare::Forget(Events& aEvents, TimePoint aNow) const
{
  const TimePoint oldest = aNow - m_bounds.m_window;
  for (auto* events : { &aEvents.m_calls, &aEvents.m_repeats }) {
    while (!events->empty() && events->front() < oldest) {
      events->pop_front();
    }
  }
}

void RetryShare::NoteCall(const PoolId& aPool, TimePoint aNow)
{
  Events& events = m_pools[aPool];
  Forget(events, aNow);
  events.m_calls.push_back(aNow);
}

bool RetryShare::TryTake(const PoolId& aPool, TimePoint aNow)
{
  Events& events = m_pools[aPool];
  Forget(events, aNow);
  const uint32_t entries =
    m_entryCount == 0 ? kUnknownEntryCount : m_entryCount;
  const double allowed =
    kUsedRatio * m_bounds.m_ratio * static_cast<double>(events.m_calls.size()) +
    static_cast<double>(m_bounds.m_slack) / std::max<uint32_t>(1, entries);
  if (static_cast<double>(events.m_repeats.size() + 1) > allowed) {
    return false;
  }
  events.m_repeats.push_back(aNow);
  return true;
}

} // namespace celeryspread
