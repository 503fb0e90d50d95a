#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/random_source.h"

namespace celeryspread {

/// Assigns the times at which refused callers of a pool come back, so that no
/// more come back per second than the pool serves.
///
/// Time is divided into bins of 100 ms. A caller gets a random time in the
/// first bin with room.
/// @thread loop thread only.
class ReturnSchedule
{
public:
  /// Callers honour a Retry-After up to this part of the time that they have
  /// left.
  static constexpr int64_t kHonouredDivisor = 3;

  /// When a caller may come back, relative to now.
  struct Range
  {
    Duration m_earliest{};
    Duration m_latest{};
  };

  /// Creates an empty schedule. @pre aRandom outlives it.
  explicit ReturnSchedule(RandomSource& aRandom)
    : m_random(aRandom)
  {
  }

  /// Assigns a time to one caller. Without a known rate, callers are only
  /// spread over the range. @pre aServedPerSecond > 0 if not empty; aNow does
  /// not decrease.
  /// @error empty if the range is empty or has no room; the caller should not
  /// come back.
  std::optional<Duration> Assign(const Range& aRange,
                                 std::optional<double> aServedPerSecond,
                                 TimePoint aNow);

private:
  static constexpr Duration kBin = std::chrono::milliseconds(100);
  /// Later times than this many bins are not counted.
  static constexpr int64_t kBins = 256;
  struct Bin
  {
    /// Number of the bin since the clock's start.
    int64_t m_number = -1;
    int64_t m_callers = 0;
  };

  Bin& At(int64_t aNumber);
  [[nodiscard]] Duration RandomBetween(Duration aFrom, Duration aTo);

  RandomSource& m_random;
  std::array<Bin, kBins> m_bins{};
};

} // namespace celeryspread
