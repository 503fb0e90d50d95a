#include "entry/sse_scanner.h"

namespace celeryspread {

namespace {

constexpr std::string_view kDone = "data: [DONE]";
/// An event larger than this is no token event of an engine.
constexpr size_t kMaxEventBytes = 262'144;

bool IsFieldLine(std::string_view aLine)
{
  return aLine.starts_with("data:") || aLine.starts_with(":") ||
         aLine.starts_with("event:") || aLine.starts_with("id:") ||
         aLine.starts_with("retry:");
}

/// Finds the end of the event that starts at aFrom, blank line included;
/// lines may end in LF or CRLF.
size_t FindEventEnd(std::string_view aBytes, size_t aFrom)
{
  size_t newline = aBytes.find('\n', aFrom);
  while (newline != std::string_view::npos) {
    const std::string_view next = aBytes.substr(newline + 1, 2);
    if (next.starts_with('\n')) {
      return newline + 2;
    }
    if (next == "\r\n") {
      return newline + 3;
    }
    newline = aBytes.find('\n', newline + 1);
  }
  return std::string_view::npos;
}

std::string_view FirstLine(std::string_view aEvent)
{
  const std::string_view line = aEvent.substr(0, aEvent.find('\n'));
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

void SseScanner::CheckEvent(std::string_view aEvent)
{
  if (m_isDone || !IsFieldLine(aEvent)) {
    m_isBroken = true;
    return;
  }
  ++m_events;
  if (FirstLine(aEvent) == kDone) {
    m_isDone = true;
  }
}

size_t SseScanner::WholeEvents(std::string_view aBytes)
{
  size_t whole = 0;
  while (!m_isBroken) {
    const size_t end = FindEventEnd(aBytes, whole);
    if (end == std::string_view::npos) {
      break;
    }
    CheckEvent(aBytes.substr(whole, end - whole));
    if (m_isBroken) {
      break;
    }
    whole = end;
  }
  return whole;
}

std::string_view SseScanner::Feed(std::string_view aBytes)
{
  if (m_isBroken) {
    return {};
  }
  if (m_rest.empty()) {
    const size_t whole = WholeEvents(aBytes);
    m_rest.assign(aBytes.substr(whole));
    m_isBroken = m_isBroken || m_rest.size() > kMaxEventBytes;
    return aBytes.substr(0, whole);
  }
  m_joined = std::move(m_rest);
  m_joined += aBytes;
  const size_t whole = WholeEvents(m_joined);
  m_rest = m_joined.substr(whole);
  m_isBroken = m_isBroken || m_rest.size() > kMaxEventBytes;
  return std::string_view(m_joined).substr(0, whole);
}

} // namespace celeryspread
