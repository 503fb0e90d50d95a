#pragma once

#include <string>

#include <event2/util.h>

#include "core/clock.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

struct event;
struct event_base;

namespace celeryspread {

/// Measures for how long the bytes of one connection hold up the loop that
/// serves all others. A turn begins when bytes of a connection were read, and
/// lasts until the next read or until the loop is done with what was ready.
/// @thread loop thread only.
class LoopTurns
{
public:
  /// Watches a loop. @pre all arguments outlive it.
  LoopTurns(event_base* aBase, const Clock& aClock, EventLog& aLog);
  ~LoopTurns();
  LoopTurns(const LoopTurns&) = delete;
  LoopTurns& operator=(const LoopTurns&) = delete;

  /// Begins the turn of a connection whose bytes were read; ends the one
  /// before. @pre aPeerKind is a literal, such as "upstream".
  void Begin(const char* aPeerKind, evutil_socket_t aSocket);
  /// Returns the longest turn of the current and the previous period.
  /// @pre none.
  [[nodiscard]] Duration Longest() const;
  /// Writes the gauge of the longest turn and the counter of long ones.
  /// @pre none.
  void WriteTo(Metrics& aMetrics) const;

private:
  static void OnEnd(int aFd, short aWhat, void* aSelf);
  void End(TimePoint aNow);
  void Record(Duration aLength, TimePoint aNow);

  const Clock& m_clock;
  EventLog& m_log;
  event* m_endEvent;
  bool m_isOpen = false;
  const char* m_peerKind = "";
  evutil_socket_t m_socket = -1;
  TimePoint m_begunAt;
  TimePoint m_periodEnd;
  Duration m_longest{};
  Duration m_longestBefore{};
  TimePoint m_nextLineAt;
  uint64_t m_longTurns = 0;
};

} // namespace celeryspread
