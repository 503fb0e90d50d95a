#include "core/json_text.h"

#include <set>
#include <vector>

namespace celeryspread {

std::string FormatJson(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool JsonReader::IsTooDeep(std::string_view aText) const
{
  size_t depth = 0;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
      continue;
    }
    if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      if (++depth > m_limits.m_maxDepth) {
        return true;
      }
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

std::optional<nlohmann::json> JsonReader::Parse(std::string_view aText)
{
  using nlohmann::json;
  if (IsTooDeep(aText)) {
    m_lastReason = "JSON nested deeper than " +
                   std::to_string(m_limits.m_maxDepth) + " levels";
    return std::nullopt;
  }
  std::string duplicateKey;
  std::vector<std::set<std::string>> keysOfOpenObjects;
  const auto callback =
    [&](int /*aDepth*/, json::parse_event_t aEvent, json& aValue) {
      if (aEvent == json::parse_event_t::object_start) {
        keysOfOpenObjects.emplace_back();
      } else if (aEvent == json::parse_event_t::object_end) {
        keysOfOpenObjects.pop_back();
      } else if (aEvent == json::parse_event_t::key) {
        const auto& key = aValue.get_ref<const std::string&>();
        if (!keysOfOpenObjects.back().insert(key).second) {
          duplicateKey = key;
        }
      }
      return true;
    };
  try {
    json parsed = m_limits.m_refuseDuplicateKeys ? json::parse(aText, callback)
                                                 : json::parse(aText);
    if (!duplicateKey.empty()) {
      m_lastReason = "JSON key \"" + duplicateKey + "\" stands twice";
      return std::nullopt;
    }
    return parsed;
  } catch (const json::exception& error) {
    // The rest of the message repeats text of the document, which may be
    // secret.
    const std::string_view message = error.what();
    m_lastReason = message.substr(0, message.find("; last read"));
    return std::nullopt;
  }
}

} // namespace celeryspread
