#include "core/event_buffer.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Bytes of a line end and a blank line that may be split between two pieces.
constexpr size_t kMaxSplitEndBytes = 2;

/// Returns the length of the blank line that follows the line feed at aAt, 0 if
/// none follows. Lines may end in LF or CRLF.
size_t BlankLineLength(std::string_view aBytes, size_t aAt)
{
  const std::string_view next = aBytes.substr(aAt + 1, 2);
  if (next.starts_with('\n')) {
    return 1;
  }
  return next == "\r\n" ? 2 : 0;
}

} // namespace

size_t EventBuffer::FindEvents(std::string_view aBytes,
                               size_t aSearched,
                               EventVisitor& aVisitor)
{
  m_workBytes += aBytes.size() - aSearched;
  size_t start = 0;
  size_t newline = aBytes.find('\n', aSearched);
  while (newline != std::string_view::npos) {
    const size_t blankLine = BlankLineLength(aBytes, newline);
    if (blankLine == 0) {
      newline = aBytes.find('\n', newline + 1);
      continue;
    }
    if (!aVisitor.OnEvent(aBytes.substr(start, newline - start))) {
      break;
    }
    start = newline + 1 + blankLine;
    newline = aBytes.find('\n', start);
  }
  return start;
}

std::string_view EventBuffer::Feed(std::string_view aBytes,
                                   EventVisitor& aVisitor)
{
  if (m_partial.empty()) {
    // Most reads contain only whole events, which are returned without a copy.
    const size_t whole = FindEvents(aBytes, 0, aVisitor);
    m_partial.assign(aBytes.substr(whole));
    m_workBytes += m_partial.size();
    return aBytes.substr(0, whole);
  }
  const size_t searched =
    m_partial.size() - std::min(m_partial.size(), kMaxSplitEndBytes);
  m_partial += aBytes;
  m_workBytes += aBytes.size();
  const size_t whole = FindEvents(m_partial, searched, aVisitor);
  if (whole == 0) {
    return {};
  }
  m_returned.swap(m_partial);
  // What is left is no longer than what was added.
  m_partial.assign(m_returned, whole);
  m_workBytes += m_partial.size();
  return std::string_view(m_returned).substr(0, whole);
}

void EventBuffer::Clear()
{
  m_partial.clear();
}

} // namespace celeryspread
