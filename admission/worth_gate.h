#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace celeryspread {

/// What the gate looks at for one call.
struct GateQuery
{
  int64_t m_worth = 1;
  /// Predicted time that the call holds a slot.
  Duration m_work{};
  /// Expected wait for a slot behind everything that is queued.
  Duration m_wait{};
  /// Time left until the call's deadline.
  Duration m_timeLeft{};
  /// Calls running and waiting at the chosen upstream, and its slots.
  uint32_t m_load = 0;
  uint32_t m_slots = 1;
  /// Calls that may wait there beyond the slots.
  uint32_t m_maxQueued = 0;
};

/// Why the gate did not admit a call.
enum class GateError
{
  /// It would begin after its deadline.
  TooLate,
  /// Under overload other calls are worth more for the same work.
  WorthTooLow
};

/// Admits by deadline and, under overload, by worth for the work it takes.
///
/// A call's rank is the share of recent calls that are worth no more for their
/// work. The higher it ranks, the deeper the queue it may still join, and the
/// engine serves the queue by rank. There is nothing to steer, so load reports
/// that are old can't make it oscillate.
/// @thread loop thread only.
class WorthGate
{
public:
  /// Ranks a call among recent ones and remembers it. @pre aWork > 0.
  /// @return 0 (least worth for its work) to 1.
  double Rank(int64_t aWorth, Duration aWork);
  /// Decides about one call of a rank. @pre 0 <= aRank <= 1.
  /// @error false; LastError() tells why.
  bool TryAdmit(double aRank, const GateQuery& aQuery);
  /// Returns why the last call was not admitted. @pre it was not.
  [[nodiscard]] GateError LastError() const { return m_lastError; }

private:
  /// Ring of the worth per second of work of recent calls.
  std::vector<double> m_recent;
  size_t m_next = 0;
  GateError m_lastError = GateError::TooLate;
};

} // namespace celeryspread
