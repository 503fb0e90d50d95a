#include "ctl/request_trace.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace celeryspread {

namespace {

using nlohmann::ordered_json;

std::string StringField(const ordered_json& aLine, const char* aKey)
{
  const auto found = aLine.find(aKey);
  return found != aLine.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

/// Parses a UTC time such as "2026-12-04T07:48:45.123" into milliseconds since
/// the epoch. @error empty when aText is not such a time.
std::optional<int64_t> ParseTimestampMillis(const std::string& aText)
{
  std::tm calendarTime = {};
  std::istringstream text(aText);
  text >> std::get_time(&calendarTime, "%Y-%m-%dT%H:%M:%S");
  if (text.fail()) {
    return std::nullopt;
  }
  constexpr int64_t kMillisPerSecond = 1000;
  double fraction = 0;
  if (text.peek() == '.') {
    text >> fraction;
  }
  return timegm(&calendarTime) * kMillisPerSecond +
         static_cast<int64_t>(fraction * kMillisPerSecond);
}

/// Returns the model and the adapter that a line concerns.
std::pair<std::string, std::string> ModelAndAdapterOf(const ordered_json& aLine)
{
  return { StringField(aLine, "model"), StringField(aLine, "adapter") };
}

/// Returns the engines named in an `attempts` field, which has the form
/// "ENGINE load:... ;ENGINE load:...;".
std::set<std::string> ParseEngines(const std::string& aAttempts)
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

void RequestTrace::AddLog(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    const size_t start = text.find('{');
    ordered_json json =
      start == std::string::npos
        ? ordered_json()
        : ordered_json::parse(text.substr(start), nullptr, false);
    const auto millis = json.is_object()
                          ? ParseTimestampMillis(StringField(json, "time"))
                          : std::nullopt;
    if (!millis) {
      ++m_skippedLines;
      continue;
    }
    m_lines.push_back({ *millis, std::move(json) });
  }
}

bool RequestTrace::BelongsToRequest(const Line& aLine) const
{
  return StringField(aLine.m_json, "request") == m_request;
}

std::vector<ordered_json> RequestTrace::SelectedLines() const
{
  std::set<std::string> engines;
  std::set<std::string> entries;
  std::set<std::pair<std::string, std::string>> modelsAndAdapters;
  std::optional<int64_t> lastMillis;
  for (const Line& line : m_lines) {
    if (!BelongsToRequest(line)) {
      continue;
    }
    entries.insert(StringField(line.m_json, "instance"));
    modelsAndAdapters.insert(ModelAndAdapterOf(line.m_json));
    engines.merge(ParseEngines(StringField(line.m_json, "attempts")));
    lastMillis = std::max(lastMillis.value_or(line.m_millis), line.m_millis);
  }
  std::vector<const Line*> selected;
  for (const Line& line : m_lines) {
    const bool isNear = lastMillis && line.m_millis <= *lastMillis &&
                        line.m_millis >= *lastMillis - kContextMillis;
    const bool isOfOtherRequest = line.m_json.contains("request");
    const bool isContext =
      isNear && !isOfOtherRequest &&
      (engines.contains(StringField(line.m_json, "engine")) ||
       entries.contains(StringField(line.m_json, "instance")) ||
       (line.m_json.contains("engine") &&
        modelsAndAdapters.contains(ModelAndAdapterOf(line.m_json))));
    if (BelongsToRequest(line) || isContext) {
      selected.push_back(&line);
    }
  }
  std::stable_sort(selected.begin(),
                   selected.end(),
                   [](const Line* aLeft, const Line* aRight) {
                     return aLeft->m_millis < aRight->m_millis;
                   });
  std::vector<ordered_json> lines;
  lines.reserve(selected.size());
  for (const Line* line : selected) {
    lines.push_back(line->m_json);
  }
  return lines;
}

} // namespace celeryspread
