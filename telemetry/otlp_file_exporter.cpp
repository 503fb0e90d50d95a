#include "telemetry/otlp_file_exporter.h"

#include <nlohmann/json.hpp>

namespace celeryspread {

namespace {

using nlohmann::json;

std::string NanosecondsText(Duration aTime)
{
  constexpr int64_t kNanosPerMicro = 1000;
  return std::to_string(aTime.count() * kNanosPerMicro);
}

json Attribute(const std::string& aKey, const std::string& aValue)
{
  return { { "key", aKey }, { "value", { { "stringValue", aValue } } } };
}

} // namespace

OtlpFileExporter::OtlpFileExporter(const std::string& aPath,
                                   std::string aServiceName)
  : m_file(aPath, std::ios::app)
  , m_serviceName(std::move(aServiceName))
{
}

void OtlpFileExporter::Export(const Span& aSpan)
{
  constexpr int kSpanKindServer = 2;
  json attributes = json::array();
  for (const SpanAttribute& attribute : aSpan.m_attributes) {
    attributes.push_back(Attribute(attribute.m_key, attribute.m_value));
  }
  json span = { { "traceId", aSpan.m_context.m_traceId },
                { "spanId", aSpan.m_context.m_spanId },
                { "name", aSpan.m_name },
                { "kind", kSpanKindServer },
                { "startTimeUnixNano", NanosecondsText(aSpan.m_start) },
                { "endTimeUnixNano", NanosecondsText(aSpan.m_end) },
                { "attributes", attributes } };
  if (!aSpan.m_parentSpanId.empty()) {
    span["parentSpanId"] = aSpan.m_parentSpanId;
  }
  const json resource = {
    { "attributes", json::array({ Attribute("service.name", m_serviceName) }) }
  };
  const json scope = { { "scope", { { "name", "celeryspread" } } },
                       { "spans", json::array({ span }) } };
  const json line = { { "resourceSpans",
                        json::array(
                          { { { "resource", resource },
                              { "scopeSpans", json::array({ scope }) } } }) } };
  m_file << line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
  m_file.flush();
}

} // namespace celeryspread
