#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Splits a server-sent event stream into whole events and follows their ids,
/// so that a stream can go on elsewhere behind the last event passed on.
/// @thread loop thread only.
class EventSplitter
{
public:
  /// Takes bytes; returns the whole events among them and those kept before.
  /// The view is valid until the next call. @pre none.
  std::string_view Feed(std::string_view aBytes);
  /// Drops an incomplete event and expects the one after LastId() next.
  /// @pre none.
  void BeginResumed();
  /// Returns the id of the last whole event; empty before the first one.
  /// @pre none.
  [[nodiscard]] const std::string& LastId() const { return m_lastId; }
  /// Tells whether a resumed stream began at another event than expected.
  /// @pre none.
  [[nodiscard]] bool IsOutOfOrder() const { return m_isOutOfOrder; }
  /// Tells whether bytes of an incomplete event are held. @pre none.
  [[nodiscard]] bool HasRest() const { return !m_rest.empty(); }

private:
  void NoteEvent(std::string_view aEvent);

  std::string m_rest;
  std::string m_whole;
  std::string m_lastId;
  bool m_checksNext = false;
  bool m_isOutOfOrder = false;
};

} // namespace celeryspread
