#pragma once

#include <cstdint>
#include <optional>

#include "quarantine/crash_record.h"

namespace celeryspread {

/// What is known about a prompt part, or a request, under which engines ended.
struct SuspectPart
{
  PromptPartId m_part;
  /// Engines that ended under the part since its last sound answer.
  uint32_t m_crashes = 0;
  TimePoint m_lastCrashAt;
  /// When the last answer began that was sound and whose prompt has the part.
  std::optional<TimePoint> m_soundAt;
  /// When the last trial call with the part was permitted.
  std::optional<TimePoint> m_trialAt;
  /// Whether calls with the part are held back.
  bool m_isHeld = false;
  /// Trial calls that were permitted since the part was held back.
  uint32_t m_trials = 0;

  /// Returns when the next trial call may be sent. Each crash doubles the time
  /// that a part is held back, so that an innocent part is soon free again and
  /// a poisonous one costs few engines. The time of a request grows with its
  /// trials instead. @pre none. @thread any.
  [[nodiscard]] TimePoint HeldUntil() const;
  /// Returns whether entries would treat both alike: to them it matters that
  /// there was a sound answer, not when. @pre none. @thread any.
  [[nodiscard]] bool IsSameForEntries(const SuspectPart& aOther) const
  {
    return m_crashes == aOther.m_crashes && m_isHeld == aOther.m_isHeld &&
           m_lastCrashAt == aOther.m_lastCrashAt &&
           m_trialAt == aOther.m_trialAt &&
           m_soundAt.has_value() == aOther.m_soundAt.has_value();
  }
};

} // namespace celeryspread
