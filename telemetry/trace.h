#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"

namespace celeryspread {

/// Identifies a span in a distributed trace (W3C Trace Context).
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

/// One timed step of a call.
struct Span
{
  TraceContext m_context;
  std::string m_parentSpanId;
  std::string m_name;
  /// Start and end, as wall time since the Unix epoch.
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
  /// Exports a finished span. @pre its context is sampled.
  virtual void Export(const Span& aSpan) = 0;
};

/// Starts spans with random ids and passes finished ones to an exporter.
/// @thread loop thread only.
class Tracer
{
public:
  /// Creates a tracer. @pre all arguments outlive the tracer; aExporter may be
  /// null, which disables export.
  Tracer(const Clock& aClock, RandomSource& aRandom, SpanExporter* aExporter)
    : m_clock(aClock)
    , m_random(aRandom)
    , m_exporter(aExporter)
  {
  }
  /// Starts the first span of a call in this process. Its parent is the
  /// caller's span if the traceparent header is valid. A call that the caller
  /// does not sample is sampled with a probability of aSamplePercent.
  /// @pre aSamplePercent is 0 to 100.
  Span StartRoot(std::string aName,
                 std::optional<std::string_view> aTraceparent,
                 int64_t aSamplePercent);
  /// Starts a child span of aParent. @pre none.
  Span StartChild(std::string aName, const TraceContext& aParent);
  /// Ends a span and exports it if it is sampled. @pre this tracer started it.
  void Finish(Span& aSpan);

private:
  std::string RandomHex(size_t aLength);

  const Clock& m_clock;
  RandomSource& m_random;
  SpanExporter* m_exporter;
};

} // namespace celeryspread
