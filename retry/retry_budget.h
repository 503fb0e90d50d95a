#pragma once

#include <cstdint>

namespace celeryspread {

/// One budget for retries and hedges: each first attempt earns a share of a
/// further attempt, so that a total outage can't multiply the load.
/// @thread loop thread only.
class RetryBudget
{
public:
  /// Notes a first attempt. @pre 0 <= aPercent <= 100.
  void NoteFirstAttempt(int64_t aPercent);
  /// Takes one further attempt. @pre none. @error false when none is left.
  bool TryTake();
  /// Returns further attempts taken so far. @pre none.
  [[nodiscard]] uint64_t Taken() const { return m_taken; }

private:
  /// Hundredths of an attempt; starts with a few for quiet times.
  int64_t m_hundredths = kInitialHundredths;
  uint64_t m_taken = 0;

  static constexpr int64_t kWhole = 100;
  static constexpr int64_t kInitialHundredths = 10 * kWhole;
  static constexpr int64_t kMaximumHundredths = 100 * kWhole;
};

} // namespace celeryspread
