#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"

namespace celeryspread {

/// What the rank and the admission of one call depend on. Rank() is called with
/// the utility and the work; TryAdmit() uses the other fields.
struct AdmissionQuery
{
  /// Utility of the answered call (the settings key is `worth`).
  int64_t m_utility = 1;
  /// Predicted time that the call will occupy a slot.
  Duration m_work{};
  /// Expected wait for a slot if every queued call is served first.
  Duration m_expectedWait{};
  /// Time left until the call's deadline.
  Duration m_timeLeft{};
  /// Calls running and waiting at the chosen upstream.
  uint32_t m_load = 0;
  /// Slots of that upstream.
  uint32_t m_slots = 1;
  /// Calls that may wait at that upstream beyond its slots.
  uint32_t m_maxQueued = 0;
};

/// Why a call was not admitted.
enum class AdmissionGateError
{
  /// It would start after its deadline.
  DeadlineUnreachable,
  /// The queue is longer than a call of its rank may join.
  UtilityTooLow
};

/// Admits calls by deadline and, under overload, by utility density, which is
/// utility per second of predicted work.
///
/// The rank of a call is the share of recent calls whose density is not higher.
/// A call of a higher rank may join a longer queue, and the engine serves its
/// queue by rank. There is no control loop that adjusts a threshold, so stale
/// load reports can't make admission oscillate.
/// @thread loop thread only.
class AdmissionGate
{
public:
  /// Ranks a call among recent ones and adds it to them. @pre aWork > 0.
  /// @return 0 (lowest utility density) to 1.
  double Rank(int64_t aUtility, Duration aWork);
  /// Decides whether a call of this rank is admitted. @pre 0 <= aRank <= 1.
  /// @error false; LastError() returns the reason.
  bool TryAdmit(double aRank, const AdmissionQuery& aQuery);
  /// Returns why the last call was refused. @pre TryAdmit() returned false.
  [[nodiscard]] AdmissionGateError LastError() const { return m_lastError; }

private:
  /// Ring buffer of the utility densities of recent calls.
  std::vector<double> m_recentDensities;
  size_t m_nextIndex = 0;
  AdmissionGateError m_lastError = AdmissionGateError::DeadlineUnreachable;
};

} // namespace celeryspread
