#include "telemetry/trace.h"

#include <algorithm>

namespace celeryspread {

namespace {

// Layout of a traceparent header, "00-TRACEID-SPANID-FLAGS", in characters.
constexpr size_t kTraceIdLength = 32;
constexpr size_t kSpanIdLength = 16;
constexpr size_t kHeaderLength = 55;
constexpr size_t kTraceIdOffset = 3;
constexpr size_t kSpanIdOffset = 36;
constexpr size_t kFlagsOffset = 53;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsHex(std::string_view aText)
{
  return aText.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool IsAllZero(std::string_view aText)
{
  return aText.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view aHeader)
{
  if (aHeader.size() != kHeaderLength || aHeader.substr(0, 3) != "00-" ||
      aHeader[kSpanIdOffset - 1] != '-' || aHeader[kFlagsOffset - 1] != '-') {
    return std::nullopt;
  }
  const std::string_view traceId =
    aHeader.substr(kTraceIdOffset, kTraceIdLength);
  const std::string_view spanId = aHeader.substr(kSpanIdOffset, kSpanIdLength);
  const std::string_view flags = aHeader.substr(kFlagsOffset);
  const bool isValid = IsHex(traceId) && IsHex(spanId) && IsHex(flags) &&
                       !IsAllZero(traceId) && !IsAllZero(spanId);
  if (!isValid) {
    return std::nullopt;
  }
  const bool isSampled = (kHexDigits.find(flags[1]) & 1U) != 0;
  return TraceContext{ std::string(traceId), std::string(spanId), isSampled };
}

std::string TraceContext::Header() const
{
  return "00-" + m_traceId + "-" + m_spanId + (m_isSampled ? "-01" : "-00");
}

std::string Tracer::RandomHex(size_t aLength)
{
  std::string id(aLength, '0');
  for (char& c : id) {
    c = kHexDigits[m_random.Below(kHexDigits.size())];
  }
  // An all-zero id is invalid in a traceparent header.
  id.back() = kHexDigits[1 + m_random.Below(kHexDigits.size() - 1)];
  return id;
}

Span Tracer::StartRoot(std::string aName,
                       std::optional<std::string_view> aTraceparent,
                       int64_t aSamplePercent)
{
  constexpr uint64_t kHundredPercent = 100;
  Span span;
  span.m_name = std::move(aName);
  span.m_start = m_clock.WallTime();
  const std::optional<TraceContext> parent =
    aTraceparent ? TraceContext::Parse(*aTraceparent) : std::nullopt;
  if (parent) {
    span.m_context.m_traceId = parent->m_traceId;
    span.m_parentSpanId = parent->m_spanId;
    span.m_context.m_isSampled = parent->m_isSampled;
  } else {
    span.m_context.m_traceId = RandomHex(kTraceIdLength);
  }
  if (!span.m_context.m_isSampled) {
    span.m_context.m_isSampled =
      m_random.Below(kHundredPercent) < static_cast<uint64_t>(aSamplePercent);
  }
  span.m_context.m_spanId = RandomHex(kSpanIdLength);
  return span;
}

Span Tracer::StartChild(std::string aName, const TraceContext& aParent)
{
  Span span;
  span.m_name = std::move(aName);
  span.m_start = m_clock.WallTime();
  span.m_context = aParent;
  span.m_parentSpanId = aParent.m_spanId;
  span.m_context.m_spanId = RandomHex(kSpanIdLength);
  return span;
}

void Tracer::Finish(Span& aSpan)
{
  aSpan.m_end = m_clock.WallTime();
  if (m_exporter != nullptr && aSpan.m_context.m_isSampled) {
    m_exporter->Export(aSpan);
  }
}

} // namespace celeryspread
