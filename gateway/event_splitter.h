#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/event_buffer.h"

namespace celeryspread {

/// Splits a server-sent event stream into whole events and tracks their ids, so
/// that another upstream can resume the stream after the last event that was
/// passed on.
/// @thread loop thread only.
class EventSplitter : private EventVisitor
{
public:
  /// Adds bytes; returns the whole events in the bytes added and buffered so
  /// far. The view is valid until the next call and while aBytes is.
  /// @pre none.
  std::string_view Feed(std::string_view aBytes);
  /// Discards an incomplete event and expects the event after LastId() next.
  /// @pre none.
  void ExpectResume();
  /// Returns the id of the last whole event; empty before the first one.
  /// @pre none.
  [[nodiscard]] const std::string& LastId() const { return m_lastId; }
  /// Returns whether a stream that goes on after LastId() brings each event
  /// once. Events without an id after it would come again. @pre none.
  [[nodiscard]] bool MayResume() const { return !m_hasEventsAfterId; }
  /// Returns whether a resumed stream began with another event than expected,
  /// or with text that is no event of the stream. @pre none.
  [[nodiscard]] bool IsOutOfOrder() const { return m_isOutOfOrder; }
  /// Returns whether an incomplete event is longer than any event may be; more
  /// bytes must not be added. @pre none.
  [[nodiscard]] bool IsOversized() const
  {
    return m_events.PartialBytes() > kMaxEventBytes;
  }
  /// Returns whether bytes of an incomplete event are buffered. @pre none.
  [[nodiscard]] bool HasPartialEvent() const { return PartialBytes() > 0; }
  /// Returns how many bytes of an incomplete event are buffered. @pre none.
  [[nodiscard]] size_t PartialBytes() const { return m_events.PartialBytes(); }
  /// Returns how many bytes were searched and copied so far. @pre none.
  [[nodiscard]] uint64_t WorkBytes() const { return m_events.WorkBytes(); }

private:
  static constexpr size_t kMaxEventBytes = 262'144;

  bool OnEvent(std::string_view aEvent) override;

  EventBuffer m_events;
  std::string m_lastId;
  /// Whether events without an id, other than comments, followed the last id.
  bool m_hasEventsAfterId = false;
  bool m_checksNextId = false;
  bool m_isOutOfOrder = false;
};

} // namespace celeryspread
