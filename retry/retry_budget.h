#pragma once

#include <cstdint>

namespace celeryspread {

/// Retry budget, shared by retries and by moves of slow calls: each first
/// attempt earns a share of a retry, so that retries can't multiply the load
/// during a total outage.
/// @thread loop thread only.
class RetryBudget
{
public:
  /// Records a first attempt, which earns aPercent of a retry.
  /// @pre 0 <= aPercent <= 100.
  void RecordFirstAttempt(int64_t aPercent);
  /// Spends one retry. @pre none. @error false when none is left.
  bool TryTake();
  /// Returns the number of retries spent so far. @pre none.
  [[nodiscard]] uint64_t Taken() const { return m_taken; }

private:
  /// Retries left, in hundredths. The initial amount allows retries while there
  /// have been few first attempts.
  int64_t m_hundredths = kInitialHundredths;
  uint64_t m_taken = 0;

  static constexpr int64_t kHundredthsPerAttempt = 100;
  static constexpr int64_t kInitialHundredths = 10 * kHundredthsPerAttempt;
  static constexpr int64_t kMaxHundredths = 100 * kHundredthsPerAttempt;
};

} // namespace celeryspread
