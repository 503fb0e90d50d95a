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

/// Start or end of a call that this entry instance sent.
struct LoadChange
{
  TimePoint m_at;
  /// +1 for a start, -1 for an end.
  int m_delta = 0;
};

/// What one entry instance knows about one upstream.
struct UpstreamState
{
  UpstreamId m_id;
  UpstreamDeclaration m_declaration;
  /// Time of the latest load report.
  TimePoint m_reportedAt;
  /// Calls running and waiting according to that report.
  uint32_t m_reportedLoad = 0;
  /// Calls of this entry instance in progress there.
  uint32_t m_outstanding = 0;
  /// Starts and ends of this entry's calls after the time of the latest report,
  /// which therefore doesn't include them.
  std::deque<LoadChange> m_unreportedChanges;
  int64_t m_unreportedChangeSum = 0;
  /// Moving average of the time from the start of an answered call to its end;
  /// zero before the first one.
  Duration m_serviceTime{};
  /// Moving average of the time to the first token, or to the end of a streamed
  /// attempt that gave none; zero before the first one.
  Duration m_firstTokenTime{};
  /// Start times of the calls that wait for their first token.
  std::multiset<TimePoint> m_awaitingFirstToken;
  uint32_t m_consecutiveFailures = 0;
  /// Until then the upstream is used only when no other one is available.
  TimePoint m_ejectedUntil;
  /// The engine's latest load report says that it is leaving.
  bool m_isReportedLeaving = false;
  /// The platform's list has named it as leaving.
  bool m_isListedLeaving = false;
  /// Engine names of the models and adapters that it can serve now.
  std::set<std::string> m_resident;

  /// Records that a call of this entry started (+1) or ended (-1). @pre none.
  /// @thread loop.
  void RecordLoadChange(TimePoint aAt, int aDelta)
  {
    m_unreportedChanges.push_back({ aAt, aDelta });
    m_unreportedChangeSum += aDelta;
  }

  /// Discards the changes that a report of time aAt includes. @pre none.
  /// @thread loop.
  void DiscardChangesUpTo(TimePoint aAt)
  {
    while (!m_unreportedChanges.empty() &&
           m_unreportedChanges.front().m_at <= aAt) {
      m_unreportedChangeSum -= m_unreportedChanges.front().m_delta;
      m_unreportedChanges.pop_front();
    }
  }

  /// Estimates the current load: the reported load plus the calls that this
  /// entry has started since, minus those that have ended since; at least the
  /// entry's own calls in progress. @pre none. @thread loop.
  [[nodiscard]] uint32_t EstimatedLoad() const
  {
    const int64_t corrected = m_reportedLoad + m_unreportedChangeSum;
    return static_cast<uint32_t>(std::max<int64_t>(corrected, m_outstanding));
  }

  /// Returns true when the settings, the load report or the platform's list
  /// says that the upstream is leaving; one of them is enough. @pre none.
  /// @thread loop.
  [[nodiscard]] bool IsLeaving() const
  {
    return m_declaration.m_isLeaving || m_isReportedLeaving ||
           m_isListedLeaving;
  }
};

} // namespace celeryspread
