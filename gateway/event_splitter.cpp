#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace celeryspread {

namespace {

constexpr std::string_view kIdField = "id:";

std::optional<uint64_t> ParseNumber(std::string_view aText)
{
  uint64_t value = 0;
  const auto result =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isWhole =
    result.ec == std::errc() && result.ptr == aText.data() + aText.size();
  return isWhole ? std::optional<uint64_t>(value) : std::nullopt;
}

std::string_view WithoutReturn(std::string_view aLine)
{
  return aLine.ends_with('\r') ? aLine.substr(0, aLine.size() - 1) : aLine;
}

std::string_view FindId(std::string_view aEvent)
{
  size_t start = 0;
  while (start < aEvent.size()) {
    size_t end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      return WithoutReturn(line);
    }
    start = end + 1;
  }
  return {};
}

/// Returns whether an event holds nothing but comments, which only keep the
/// connection open.
bool IsComment(std::string_view aEvent)
{
  size_t start = 0;
  while (start < aEvent.size()) {
    const size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    const std::string_view line =
      WithoutReturn(aEvent.substr(start, end - start));
    if (!line.empty() && line.front() != ':') {
      return false;
    }
    start = end + 1;
  }
  return true;
}

} // namespace

bool EventSplitter::OnEvent(std::string_view aEvent)
{
  const std::string_view id = FindId(aEvent);
  if (id.empty()) {
    const bool isComment = IsComment(aEvent);
    m_isOutOfOrder = m_isOutOfOrder || (m_checksNextId && !isComment);
    m_hasEventsAfterId = m_hasEventsAfterId || !isComment;
    return true;
  }
  m_hasEventsAfterId = false;
  if (m_checksNextId) {
    const auto previous = ParseNumber(m_lastId);
    const auto current = ParseNumber(id);
    m_isOutOfOrder = !previous || !current || *current != *previous + 1;
    m_checksNextId = false;
  }
  m_lastId = id;
  return true;
}

std::string_view EventSplitter::Feed(std::string_view aBytes)
{
  return m_events.Feed(aBytes, *this);
}

void EventSplitter::ExpectResume()
{
  m_events.Clear();
  m_checksNextId = !m_lastId.empty();
}

} // namespace celeryspread
