#pragma once

#include <cstddef>
#include <string_view>

#include "core/event_buffer.h"

namespace celeryspread {

/// Cuts a server-sent event stream at the boundaries of its events.
///
/// Only complete events are returned, so that a stream that breaks never leaves
/// the caller with a partial event or a partial character.
/// @thread loop thread only.
class SseScanner : private EventVisitor
{
public:
  /// Appends bytes to the unfinished event kept from earlier calls and returns
  /// all events that are now complete. The view is valid until the next call,
  /// and no longer than aBytes. @pre none.
  /// @error IsMalformed() returns true after bytes that are not an event
  /// stream.
  std::string_view Feed(std::string_view aBytes);
  /// Returns whether "data: [DONE]" was found. @pre none.
  [[nodiscard]] bool IsDone() const { return m_isDone; }
  /// Returns whether the bytes are not an event stream, have events after
  /// "data: [DONE]", or have an unfinished event above the size limit.
  /// @pre none.
  [[nodiscard]] bool IsMalformed() const { return m_isMalformed; }
  /// Returns the number of complete events so far. @pre none.
  [[nodiscard]] size_t EventCount() const { return m_eventCount; }
  /// Returns how many bytes were searched and copied so far. @pre none.
  [[nodiscard]] uint64_t WorkBytes() const { return m_events.WorkBytes(); }

private:
  bool OnEvent(std::string_view aEvent) override;

  EventBuffer m_events;
  size_t m_eventCount = 0;
  bool m_isDone = false;
  bool m_isMalformed = false;
};

} // namespace celeryspread
