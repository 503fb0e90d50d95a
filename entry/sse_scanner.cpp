#include "entry/sse_scanner.h"

namespace celeryspread {

namespace {

constexpr std::string_view kDoneLine = "data: [DONE]";
/// Limit for an unfinished event; token events of engines are far smaller.
constexpr size_t kMaxEventBytes = 262'144;

bool IsFieldLine(std::string_view aLine)
{
  return aLine.starts_with("data:") || aLine.starts_with(":") ||
         aLine.starts_with("event:") || aLine.starts_with("id:") ||
         aLine.starts_with("retry:");
}

std::string_view FirstLine(std::string_view aEvent)
{
  const std::string_view line = aEvent.substr(0, aEvent.find('\n'));
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

bool SseScanner::OnEvent(std::string_view aEvent)
{
  if (m_isDone || !IsFieldLine(aEvent)) {
    m_isMalformed = true;
    return false;
  }
  ++m_eventCount;
  if (FirstLine(aEvent) == kDoneLine) {
    m_isDone = true;
  }
  return true;
}

std::string_view SseScanner::Feed(std::string_view aBytes)
{
  if (m_isMalformed) {
    return {};
  }
  const std::string_view events = m_events.Feed(aBytes, *this);
  m_isMalformed = m_isMalformed || m_events.PartialBytes() > kMaxEventBytes;
  return events;
}

} // namespace celeryspread
