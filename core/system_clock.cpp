#include "core/system_clock.h"

namespace celeryspread {

TimePoint SystemClock::Now() const
{
  const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(elapsed));
}

Duration SystemClock::WallTime() const
{
  const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(elapsed);
}

} // namespace celeryspread
