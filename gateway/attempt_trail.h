#pragma once

#include <optional>
#include <string>

#include "gateway/engine_table.h"

namespace celeryspread {

/// Writes down the attempts of one call for its line in the log: the engine,
/// its estimated load, the age of the reading that the estimate rests on, the
/// time to a stream's first event and its longest pause, the outcome and how
/// long it took.
/// @thread loop thread only.
class AttemptTrail
{
public:
  /// Notes that an attempt starts. @pre the one before has ended.
  void Begin(const EngineState& aState, TimePoint aNow);
  /// Notes that whole events of a stream came. @pre Begin() came before.
  void NoteEvents(TimePoint aNow);
  /// Notes how the attempt ended. @pre Begin() came before.
  void End(AttemptEnd aEnd, TimePoint aNow);
  /// Returns the attempts as one text. @pre none.
  [[nodiscard]] const std::string& Text() const { return m_text; }

private:
  std::string m_text;
  TimePoint m_begunAt;
  std::optional<TimePoint> m_firstEventAt;
  TimePoint m_lastEventAt;
  Duration m_longestPause{};
};

} // namespace celeryspread
