#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "settings/declarations.h"

namespace celeryspread {

/// What one entry instance knows of one upstream.
struct UpstreamState
{
  UpstreamId m_id;
  UpstreamDeclaration m_declaration;
  TimePoint m_reportedAt;
  uint32_t m_reportedLoad = 0;
  /// Calls of this entry in progress there.
  uint32_t m_outstanding = 0;
  /// Calls of this entry started since the last report was taken.
  uint32_t m_startedSinceReport = 0;
  /// Calls of this entry ended since the last report was taken.
  uint32_t m_endedSinceReport = 0;
  /// Smoothed time of a call from start to end.
  Duration m_serviceTime{};
  uint32_t m_consecutiveFailures = 0;
  TimePoint m_ejectedUntil;
  bool m_reportsLeaving = false;
  bool m_platformSaysLeaving = false;
  std::set<std::string> m_resident;

  /// Estimates the load now: the report, corrected by what this entry started
  /// and saw end since it was taken. @pre none. @thread loop.
  [[nodiscard]] uint32_t EstimatedLoad() const
  {
    const uint32_t risen = m_reportedLoad + m_startedSinceReport;
    const uint32_t corrected =
      risen > m_endedSinceReport ? risen - m_endedSinceReport : 0;
    return corrected > m_outstanding ? corrected : m_outstanding;
  }

  /// Leaving wins: one of three sources is enough. @pre none. @thread loop.
  [[nodiscard]] bool IsLeaving() const
  {
    return m_declaration.m_isLeaving || m_reportsLeaving ||
           m_platformSaysLeaving;
  }
};

} // namespace celeryspread
