#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"

namespace celeryspread {

/// Place of a span in a distributed trace (W3C Trace Context).
struct TraceContext
{
  std::string m_traceId;
  std::string m_spanId;
  bool m_isSampled = false;

  /// Parses a traceparent header. @pre none. @thread any.
  /// @error empty when it is not well-formed.
  static std::optional<TraceContext> Parse(std::string_view aHeader);
  /// Formats as a traceparent header. @pre ids are set. @thread any.
  [[nodiscard]] std::string Header() const;
};

/// One attribute of a span.
struct SpanAttribute
{
  std::string m_key;
  std::string m_value;
};

/// One timed hop of a call.
struct Span
{
  TraceContext m_context;
  std::string m_parentSpanId;
  std::string m_name;
  /// Wall time since the Unix epoch.
  Duration m_start{};
  Duration m_end{};
  std::vector<SpanAttribute> m_attributes;
};

/// Receives finished spans.
/// @thread loop thread only.
class SpanExporter
{
public:
  virtual ~SpanExporter() = default;
  /// Takes a finished span. @pre its context is sampled.
  virtual void Export(const Span& aSpan) = 0;
};

/// Starts spans with random ids.
/// @thread loop thread only.
class Tracer
{
public:
  /// Uses the given sources. @pre all outlive the tracer; aExporter may be
  /// null, which turns export off.
  Tracer(const Clock& aClock, RandomSource& aRandom, SpanExporter* aExporter)
    : m_clock(aClock)
    , m_random(aRandom)
    , m_exporter(aExporter)
  {
  }
  /// Starts the first span here, below the caller's when it sent one; an
  /// unsampled call is sampled at aSamplePercent. @pre 0 to 100 percent.
  Span StartRoot(std::string aName,
                 std::optional<std::string_view> aTraceparent,
                 int64_t aSamplePercent);
  /// Starts a span below aParent. @pre none.
  Span StartChild(std::string aName, const TraceContext& aParent);
  /// Ends a span and exports it when sampled. @pre started here.
  void Finish(Span& aSpan);

private:
  std::string RandomHex(size_t aChars);

  const Clock& m_clock;
  RandomSource& m_random;
  SpanExporter* m_exporter;
};

} // namespace celeryspread
