#pragma once

#include "core/clock.h"

namespace celeryspread {

/// Clock backed by the operating system.
/// @thread safe from any thread.
class SystemClock : public Clock
{
public:
  /// Returns the time since boot, suspended time included. @pre none. @unit
  /// microseconds.
  [[nodiscard]] TimePoint Now() const override;
  /// Returns wall time since the Unix epoch. @pre none. @unit microseconds.
  [[nodiscard]] Duration WallTime() const override;
};

} // namespace celeryspread
