#pragma once

#include <chrono>
#include <cstdint>

namespace celeryspread {

using Duration = std::chrono::microseconds;

/// Clock type of the system's monotonic time points, as std::chrono expects it.
// NOLINTBEGIN(readability-identifier-naming): std::chrono defines these names.
struct MonotonicTag
{
  using rep = int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTag>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)

using TimePoint = MonotonicTag::time_point;

/// Source of monotonic and wall time.
/// @thread implementations are used from the loop thread only.
class Clock
{
public:
  virtual ~Clock() = default;
  /// Returns monotonic time. @pre none. @unit microseconds.
  [[nodiscard]] virtual TimePoint Now() const = 0;
  /// Returns wall time since the Unix epoch. @pre none. @unit microseconds.
  [[nodiscard]] virtual Duration WallTime() const = 0;
};

} // namespace celeryspread
