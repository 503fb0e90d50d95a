#include "core/system_clock.h"

#include <ctime>

namespace celeryspread {

TimePoint SystemClock::Now() const
{
  // CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes the time that the machine
  // is suspended: a leader that resumes must find its lease expired.
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

Duration SystemClock::WallTime() const
{
  const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(elapsed);
}

} // namespace celeryspread
