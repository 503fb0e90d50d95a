#include "gateway/answer_relay.h"

#include <strings.h>

namespace celeryspread {

namespace {

/// Bytes buffered for a slow caller above which the upstream is paused.
constexpr size_t kMaxPendingBytes = 65'536;
/// A longer answer that is no stream is given up. It is held in memory until it
/// is complete, and an upstream in trouble may send bytes without end.
constexpr size_t kMaxAnswerBytes = 8'388'608;
/// A rejection with a longer body is not waited for.
constexpr size_t kMaxRejectionBytes = 65'536;

std::string HeaderValue(const HttpHeaders& aHeaders, const char* aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (strcasecmp(header.m_name.c_str(), aName) == 0) {
      return header.m_value;
    }
  }
  return {};
}

/// Whether the answer says itself where it ends. Another one ends with its
/// connection, so it looks complete when it was broken off.
bool IsFramed(const HttpHeaders& aHeaders)
{
  return !HeaderValue(aHeaders, "Content-Length").empty() ||
         !HeaderValue(aHeaders, "Transfer-Encoding").empty();
}

} // namespace

AnswerRelay::AnswerRelay(GatewayContext& aContext, const RoutedCall& aCall)
  : m_context(aContext)
  , m_call(aCall)
  , m_heldBody(aContext.m_client.HeldBytes())
{
}

void AnswerRelay::ClearBody()
{
  // A new string, as clear() keeps the memory.
  m_body = std::string();
  m_bodyBytes = 0;
  m_heldBody.Set(0);
}

bool AnswerRelay::StartStream(int aStatus)
{
  const std::string type = HeaderValue(m_headers, "Content-Type");
  if (m_isStreaming) {
    return type == m_streamType;
  }
  m_isStreaming = true;
  m_streamType = type;
  m_call.m_caller->StartStream(aStatus,
                               m_context.m_codec.AnswerHeaders(m_headers));
  return true;
}

AnswerRelay::StreamBytes AnswerRelay::AddStreamBytes(std::string_view aBytes)
{
  const std::string_view events = m_events.Feed(aBytes);
  const bool isWithinBudget = m_heldBody.Set(m_events.PartialBytes());
  if (m_events.IsOversized() || !isWithinBudget) {
    return { BodyError::Endless, {} };
  }
  if (m_events.IsOutOfOrder()) {
    return { BodyError::OutOfOrder, {} };
  }
  return { BodyError::None, events };
}

bool AnswerRelay::Send(std::string_view aEvents)
{
  m_call.m_caller->SendChunk(aEvents);
  return m_call.m_caller->PendingBytes() > kMaxPendingBytes;
}

AnswerRelay::BodyError AnswerRelay::AppendBody(std::string_view aBytes,
                                               bool aIsRejected)
{
  // The body of a rejection is never passed on, only bounded.
  m_bodyBytes += aBytes.size();
  const size_t limit = aIsRejected ? kMaxRejectionBytes : kMaxAnswerBytes;
  const bool isWithinBudget =
    aIsRejected || m_heldBody.Set(m_body.size() + aBytes.size());
  if (m_bodyBytes > limit || !isWithinBudget) {
    ClearBody();
    return BodyError::Endless;
  }
  if (!aIsRejected) {
    m_body += aBytes;
  }
  return BodyError::None;
}

void AnswerRelay::Deliver(int aStatus)
{
  m_call.m_caller->Reply(
    aStatus, m_context.m_codec.AnswerHeaders(m_headers), m_body);
}

bool AnswerRelay::MayBeEmpty() const
{
  return !m_events.LastId().empty() && IsFramed(m_headers);
}

} // namespace celeryspread
