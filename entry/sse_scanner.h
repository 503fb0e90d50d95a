#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace celeryspread {

/// Splits a server-sent event stream into whole events.
///
/// Only whole events are handed on, so that a stream that breaks never leaves
/// half an event or half a character with the caller.
/// @thread loop thread only.
class SseScanner
{
public:
  /// Takes bytes and returns the whole events among them and those kept
  /// before. The view is valid until the next call. @pre none.
  /// @error IsBroken() turns true when the bytes are no event stream.
  std::string_view Feed(std::string_view aBytes);
  /// Tells whether "data: [DONE]" has passed. @pre none.
  [[nodiscard]] bool IsDone() const { return m_isDone; }
  /// Tells whether the bytes are no event stream. @pre none.
  [[nodiscard]] bool IsBroken() const { return m_isBroken; }
  /// Returns the events handed on. @pre none.
  [[nodiscard]] size_t EventCount() const { return m_events; }

private:
  size_t WholeEvents(std::string_view aBytes);
  void CheckEvent(std::string_view aEvent);

  std::string m_rest;
  std::string m_joined;
  size_t m_events = 0;
  bool m_isDone = false;
  bool m_isBroken = false;
};

} // namespace celeryspread
