#include "quarantine/suspect_part.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr Duration kInitialHoldTime = std::chrono::seconds(15);
constexpr Duration kMaxHoldTime = std::chrono::hours(1);

} // namespace

TimePoint SuspectPart::HeldUntil() const
{
  constexpr uint32_t kFirstDoubling = 2;
  constexpr uint32_t kMaxDoublings = 8;
  const uint32_t doublings =
    m_crashes <= kFirstDoubling
      ? 0
      : std::min(m_crashes - kFirstDoubling, kMaxDoublings);
  const Duration holdTime =
    std::min(kMaxHoldTime, kInitialHoldTime * (int64_t{ 1 } << doublings));
  return std::max(m_lastCrashAt, m_trialAt.value_or(m_lastCrashAt)) + holdTime;
}

} // namespace celeryspread
