#include "quarantine/suspect_part.h"

#include <algorithm>
#include <array>

#include "quarantine/request_namer.h"

namespace celeryspread {

namespace {

constexpr Duration kInitialHoldTime = std::chrono::seconds(15);
constexpr Duration kMaxHoldTime = std::chrono::hours(1);
/// How long a request is held back before its first, second and each later
/// trial. The same request may be sent for as long as its caller likes, so that
/// the number of trials has to stay small.
constexpr std::array kRequestHoldTimes = { Duration(std::chrono::seconds(15)),
                                           Duration(std::chrono::minutes(1)),
                                           Duration(std::chrono::hours(24)) };

Duration RequestHoldTime(uint32_t aTrials)
{
  return kRequestHoldTimes[std::min<size_t>(aTrials,
                                            kRequestHoldTimes.size() - 1)];
}

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
  const TimePoint since =
    std::max(m_lastCrashAt, m_trialAt.value_or(m_lastCrashAt));
  return since + (RequestNamer::IsRequest(m_part) ? RequestHoldTime(m_trials)
                                                  : holdTime);
}

} // namespace celeryspread
