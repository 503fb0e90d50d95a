#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace celeryspread {

/// Measures how much a pool serves per second, from completed calls.
///
/// While load is low, fewer calls complete than the pool could serve. So the
/// result is that of the best second of the last four.
/// @thread loop thread only.
class ServedRate
{
public:
  /// Records completed work. @pre aNow does not decrease.
  void Record(double aAmount, TimePoint aNow);
  /// Returns the amount per second, empty if nothing completed lately.
  /// @pre none. @unit that of Record() per second.
  [[nodiscard]] std::optional<double> PerSecond(TimePoint aNow) const;

private:
  static constexpr Duration kBin = std::chrono::milliseconds(100);
  static constexpr int64_t kBinsPerSecond = 10;
  static constexpr int64_t kBins = 40;
  struct Bin
  {
    /// Number of the bin since the clock's start.
    int64_t m_number = -1;
    double m_amount = 0;
  };

  std::array<Bin, kBins> m_bins{};
};

} // namespace celeryspread
