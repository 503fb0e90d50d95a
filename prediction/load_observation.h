#pragma once

#include <cstdint>

#include "core/clock.h"

namespace celeryspread {

/// What an entry knows of the load of one engine.
struct LoadObservation
{
  /// Whether the engine ever reported its load.
  bool m_hasReport = false;
  /// Calls that ran or waited at the last report.
  uint32_t m_reported = 0;
  /// Calls of this entry that started less those that ended since then.
  int64_t m_ownChanges = 0;
  /// Calls of this entry in progress.
  uint32_t m_outstanding = 0;
  uint32_t m_slots = 1;
  /// Duration of work at the last report. @unit percent of the usual duration.
  uint32_t m_slownessPercent = 100;
  /// Time since the last report.
  Duration m_age{};
  /// How far its reports are believed, from 0 to 1.
  double m_trust = 1;

  /// Returns whether the report contradicts the calls that this entry has there
  /// itself. Some of them may be on their way or have just ended.
  /// @pre m_age is zero. @thread any.
  [[nodiscard]] bool IsContradicted() const
  {
    return 2 * m_reported + 1 < m_outstanding;
  }
};

} // namespace celeryspread
