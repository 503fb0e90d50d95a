#pragma once

#include "core/clock.h"

namespace celeryspread {

/// Clock backed by the operating system.
/// @thread safe from any thread.
class SystemClock : public Clock
{
public:
  /// Reads the monotonic clock. @pre none. @unit microseconds.
  [[nodiscard]] TimePoint Now() const override;
  /// Reads the real-time clock. @pre none. @unit microseconds.
  [[nodiscard]] Duration WallTime() const override;
};

} // namespace celeryspread
