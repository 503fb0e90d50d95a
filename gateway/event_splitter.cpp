#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace celeryspread {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
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
      return line;
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
    if (end > start && aEvent[start] != ':') {
      return false;
    }
    start = end + 1;
  }
  return true;
}

} // namespace

void EventSplitter::TrackId(std::string_view aEvent)
{
  const std::string_view id = FindId(aEvent);
  if (id.empty()) {
    const bool isComment = IsComment(aEvent);
    m_isOutOfOrder = m_isOutOfOrder || (m_checksNextId && !isComment);
    m_hasEventsAfterId = m_hasEventsAfterId || !isComment;
    return;
  }
  m_hasEventsAfterId = false;
  if (m_checksNextId) {
    const auto previous = ParseNumber(m_lastId);
    const auto current = ParseNumber(id);
    m_isOutOfOrder = !previous || !current || *current != *previous + 1;
    m_checksNextId = false;
  }
  m_lastId = id;
}

std::string_view EventSplitter::Feed(std::string_view aBytes)
{
  // Most reads contain only whole events, which are returned without a copy.
  std::string_view bytes = aBytes;
  if (!m_partial.empty()) {
    m_partial += aBytes;
    m_buffer.swap(m_partial);
    m_partial.clear();
    bytes = m_buffer;
  }
  size_t start = 0;
  for (size_t end = bytes.find(kEventEnd); end != std::string_view::npos;
       end = bytes.find(kEventEnd, start)) {
    TrackId(bytes.substr(start, end - start));
    start = end + kEventEnd.size();
  }
  m_partial = bytes.substr(start);
  return bytes.substr(0, start);
}

void EventSplitter::ExpectResume()
{
  m_partial.clear();
  m_checksNextId = !m_lastId.empty();
}

} // namespace celeryspread
