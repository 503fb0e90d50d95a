#pragma once

#include <fstream>
#include <string>

#include "telemetry/trace.h"

namespace celeryspread {

/// Writes each span as one line of OTLP/JSON (ExportTraceServiceRequest).
/// @thread loop thread only.
class OtlpFileExporter : public SpanExporter
{
public:
  /// Opens aPath for appending. @pre none. @error IsOpen() is false afterwards.
  OtlpFileExporter(const std::string& aPath, std::string aServiceName);
  /// Tells whether the file could be opened. @pre none.
  [[nodiscard]] bool IsOpen() const { return m_file.is_open(); }
  void Export(const Span& aSpan) override;

private:
  std::ofstream m_file;
  std::string m_serviceName;
};

} // namespace celeryspread
