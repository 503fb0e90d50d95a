#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace celeryspread {

/// Receives the whole events of a server-sent event stream.
class EventVisitor
{
public:
  virtual ~EventVisitor() = default;
  /// Handles one event, without the blank line that ends it.
  /// @return false to stop: the event and what follows it are dropped.
  virtual bool OnEvent(std::string_view aEvent) = 0;
};

/// Collects a server-sent event stream that arrives in pieces and splits it at
/// the ends of its events. Each byte is searched and copied a bounded number of
/// times however small the pieces are, as an upstream in trouble may send an
/// event without end.
/// @thread loop thread only.
class EventBuffer
{
public:
  /// Adds bytes; returns the whole events in the bytes added and buffered so
  /// far, of which aVisitor was told one by one. The view is valid until the
  /// next call and while aBytes is. @pre none.
  std::string_view Feed(std::string_view aBytes, EventVisitor& aVisitor);
  /// Discards the incomplete event. @pre none.
  void Clear();
  /// Returns how many bytes of an incomplete event are buffered. @pre none.
  [[nodiscard]] size_t PartialBytes() const { return m_partial.size(); }
  /// Returns how many bytes were searched and copied so far. @pre none.
  [[nodiscard]] uint64_t WorkBytes() const { return m_workBytes; }

private:
  /// Finds the whole events of aBytes, the first of which can't end within the
  /// first aSearched bytes. @return their size.
  size_t FindEvents(std::string_view aBytes,
                    size_t aSearched,
                    EventVisitor& aVisitor);

  /// The incomplete event, with no end in it.
  std::string m_partial;
  /// Holds the bytes of the view that Feed() returned, if they came in several
  /// calls.
  std::string m_returned;
  uint64_t m_workBytes = 0;
};

} // namespace celeryspread
