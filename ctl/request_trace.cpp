#include "ctl/request_trace.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace celeryspread {

namespace {

using nlohmann::ordered_json;

std::string TextAt(const ordered_json& aLine, const char* aKey)
{
  const auto found = aLine.find(aKey);
  return found != aLine.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

/// Reads "2026-12-04T07:48:45.123". @error empty when it is no such time.
std::optional<int64_t> MillisOf(const std::string& aText)
{
  std::tm parts = {};
  std::istringstream text(aText);
  text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (text.fail()) {
    return std::nullopt;
  }
  constexpr int64_t kMillisPerSecond = 1000;
  double fraction = 0;
  if (text.peek() == '.') {
    text >> fraction;
  }
  return timegm(&parts) * kMillisPerSecond +
         static_cast<int64_t>(fraction * kMillisPerSecond);
}

/// Model and adapter that a line is about.
std::pair<std::string, std::string> TargetOf(const ordered_json& aLine)
{
  return { TextAt(aLine, "model"), TextAt(aLine, "adapter") };
}

/// Engines of an attempts text, "ENGINE load:... ;ENGINE load:...;".
std::set<std::string> EnginesOf(const std::string& aAttempts)
{
  std::set<std::string> engines;
  std::istringstream attempts(aAttempts);
  std::string attempt;
  while (std::getline(attempts, attempt, ';')) {
    std::istringstream words(attempt);
    std::string engine;
    if (words >> engine) {
      engines.insert(engine);
    }
  }
  return engines;
}

} // namespace

RequestTrace::RequestTrace(std::string aRequest)
  : m_request(std::move(aRequest))
{
}

void RequestTrace::Read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    const size_t start = text.find('{');
    ordered_json json =
      start == std::string::npos
        ? ordered_json()
        : ordered_json::parse(text.substr(start), nullptr, false);
    const auto millis =
      json.is_object() ? MillisOf(TextAt(json, "time")) : std::nullopt;
    if (!millis) {
      ++m_skipped;
      continue;
    }
    m_lines.push_back({ *millis, std::move(json) });
  }
}

bool RequestTrace::IsOwn(const Line& aLine) const
{
  return TextAt(aLine.m_json, "request") == m_request;
}

std::vector<ordered_json> RequestTrace::Lines() const
{
  std::set<std::string> engines;
  std::set<std::string> entries;
  std::set<std::pair<std::string, std::string>> targets;
  std::optional<int64_t> last;
  for (const Line& line : m_lines) {
    if (!IsOwn(line)) {
      continue;
    }
    entries.insert(TextAt(line.m_json, "instance"));
    targets.insert(TargetOf(line.m_json));
    engines.merge(EnginesOf(TextAt(line.m_json, "attempts")));
    last = std::max(last.value_or(line.m_millis), line.m_millis);
  }
  std::vector<const Line*> chosen;
  for (const Line& line : m_lines) {
    const bool isNear =
      last && line.m_millis <= *last && line.m_millis >= *last - kContextMillis;
    const bool isOfOtherRequest = line.m_json.contains("request");
    const bool isContext = isNear && !isOfOtherRequest &&
                           (engines.contains(TextAt(line.m_json, "engine")) ||
                            entries.contains(TextAt(line.m_json, "instance")) ||
                            (line.m_json.contains("engine") &&
                             targets.contains(TargetOf(line.m_json))));
    if (IsOwn(line) || isContext) {
      chosen.push_back(&line);
    }
  }
  std::stable_sort(
    chosen.begin(), chosen.end(), [](const Line* aLeft, const Line* aRight) {
      return aLeft->m_millis < aRight->m_millis;
    });
  std::vector<ordered_json> lines;
  lines.reserve(chosen.size());
  for (const Line* line : chosen) {
    lines.push_back(line->m_json);
  }
  return lines;
}

} // namespace celeryspread
