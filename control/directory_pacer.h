#pragma once

#include <algorithm>

#include "core/clock.h"

namespace celeryspread {

/// Limits how fast whole directories are sent.
///
/// Load pattern: after a mass restart or a change of the leader every entry
/// asks for the whole directory at once. Each answer stays in memory until the
/// entry's link has taken it, so all of them together exceed the memory of a
/// control instance. Answers above the rate wait.
/// @thread loop thread only.
class DirectoryPacer
{
public:
  /// Engine records that may be sent at once, and per second after that.
  static constexpr double kBurst = 12'000;
  static constexpr double kPerSecond = 25'000;

  /// Returns whether a whole directory may be sent now. @pre none.
  [[nodiscard]] bool MaySend(TimePoint aNow) const
  {
    return RecordsLeft(aNow) > 0;
  }
  /// Records that a directory of aEngines is sent. Urgent ones may be sent
  /// above the rate; later ones wait longer then. @pre none.
  void RecordSent(size_t aEngines, TimePoint aNow)
  {
    m_recordsLeft = RecordsLeft(aNow) - static_cast<double>(aEngines);
    m_updatedAt = aNow;
  }

private:
  [[nodiscard]] double RecordsLeft(TimePoint aNow) const
  {
    constexpr double kMicrosPerSecond = 1e6;
    const double elapsed =
      static_cast<double>((aNow - m_updatedAt).count()) / kMicrosPerSecond;
    return std::min(kBurst, m_recordsLeft + elapsed * kPerSecond);
  }

  double m_recordsLeft = kBurst;
  TimePoint m_updatedAt;
};

} // namespace celeryspread
