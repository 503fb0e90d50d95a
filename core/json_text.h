#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace celeryspread {

/// Limits on JSON text from outside the process.
struct JsonLimits
{
  size_t m_maxDepth = 32;
  bool m_refuseDuplicateKeys = true;
};

/// Writes a value as JSON text. Bytes that are no UTF-8 are replaced, as text
/// from outside the process may hold any. @pre none. @thread any.
std::string FormatJson(const nlohmann::json& aValue);

/// Parses JSON text within limits and keeps the reason of the last failure.
/// @thread one thread at a time.
class JsonReader
{
public:
  /// Sets the limits. @pre none.
  explicit JsonReader(JsonLimits aLimits)
    : m_limits(aLimits)
  {
  }
  /// Parses aText. @pre none. @error empty result, see LastReason().
  std::optional<nlohmann::json> Parse(std::string_view aText);
  /// Returns why the last Parse() failed; it may hold bytes of the text that
  /// are no UTF-8. @pre a Parse() failed.
  [[nodiscard]] const std::string& LastReason() const { return m_lastReason; }

private:
  /// Scans the text before it is parsed, as the parser has no depth limit.
  [[nodiscard]] bool IsTooDeep(std::string_view aText) const;

  JsonLimits m_limits;
  std::string m_lastReason;
};

} // namespace celeryspread
