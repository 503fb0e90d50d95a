#pragma once

#include <optional>
#include <string>

#include "gateway/engine_table.h"

namespace celeryspread {

/// Collects the attempts of one call for its line in the log. For each attempt:
/// the upstream, its estimated load, the age of the load reading behind the
/// estimate, whether the connection had carried other calls, the time until a
/// stream's answer began and to its first event, its longest pause between
/// events, the outcome and the duration.
/// @thread loop thread only.
class AttemptLog
{
public:
  /// Adds an attempt that starts now. @pre the previous attempt was closed.
  void OpenAttempt(const EngineState& aState, TimePoint aNow);
  /// Adds an attempt that is forwarded to another entry. @pre the previous
  /// attempt was closed.
  void OpenForwarded(const InstanceId& aPeer, TimePoint aNow);
  /// Adds whether the attempt's connection had carried another call.
  /// @pre OpenAttempt() was called.
  void AddConnection(bool aIsReused);
  /// Records that a stream's answer began. @pre OpenAttempt() was called.
  void RecordBegin(TimePoint aNow) { m_begunAt = aNow; }
  /// Records that whole events of a stream arrived. @pre OpenAttempt() was
  /// called.
  void AddEvents(TimePoint aNow);
  /// Adds the outcome of the attempt. @pre OpenAttempt() was called.
  void CloseAttempt(AttemptOutcome aOutcome, TimePoint aNow);
  /// Returns the text for the log line. @pre none.
  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  /// Begins the text of an attempt at aTarget.
  void Begin(const std::string& aTarget, TimePoint aNow);

  std::string m_text;
  TimePoint m_startedAt;
  std::optional<TimePoint> m_begunAt;
  std::optional<TimePoint> m_firstEventAt;
  TimePoint m_lastEventAt;
  Duration m_longestPause{};
};

} // namespace celeryspread
