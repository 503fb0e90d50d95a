#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "settings/declarations.h"

namespace celeryspread {

/// One own call that started or ended.
struct LoadChange
{
  TimePoint m_at;
  int m_delta = 0;
};

/// What one entry instance knows of one upstream.
struct UpstreamState
{
  UpstreamId m_id;
  UpstreamDeclaration m_declaration;
  TimePoint m_reportedAt;
  uint32_t m_reportedLoad = 0;
  /// Calls of this entry in progress there.
  uint32_t m_outstanding = 0;
  /// Starts and ends of own calls since the last report was taken, which the
  /// report can't know.
  std::deque<LoadChange> m_changes;
  int64_t m_changesSum = 0;
  /// Smoothed time of a call from start to end.
  Duration m_serviceTime{};
  /// Smoothed time to the first token, and starts of calls that wait for it.
  Duration m_firstTokenTime{};
  std::multiset<TimePoint> m_awaitingFirst;
  uint32_t m_consecutiveFailures = 0;
  TimePoint m_ejectedUntil;
  bool m_reportsLeaving = false;
  bool m_platformSaysLeaving = false;
  std::set<std::string> m_resident;

  /// Notes that an own call started (+1) or ended (-1). @pre none.
  /// @thread loop.
  void NoteChange(TimePoint aAt, int aDelta)
  {
    m_changes.push_back({ aAt, aDelta });
    m_changesSum += aDelta;
  }

  /// Forgets the changes that a report taken at aAt knows. @pre none.
  /// @thread loop.
  void DropChangesUpTo(TimePoint aAt)
  {
    while (!m_changes.empty() && m_changes.front().m_at <= aAt) {
      m_changesSum -= m_changes.front().m_delta;
      m_changes.pop_front();
    }
  }

  /// Estimates the load now: the report, corrected by what this entry started
  /// and saw end since it was taken. @pre none. @thread loop.
  [[nodiscard]] uint32_t EstimatedLoad() const
  {
    const int64_t corrected = m_reportedLoad + m_changesSum;
    return static_cast<uint32_t>(std::max<int64_t>(corrected, m_outstanding));
  }

  /// Leaving wins: one of three sources is enough. @pre none. @thread loop.
  [[nodiscard]] bool IsLeaving() const
  {
    return m_declaration.m_isLeaving || m_reportsLeaving ||
           m_platformSaysLeaving;
  }
};

} // namespace celeryspread
