#include "core/json_array_text.h"

#include "core/json_text.h"

namespace celeryspread {

namespace {

constexpr size_t kMaxElementBytes = 262'144;
/// Attempts to read something that failed; each may scan kMaxElementBytes.
constexpr size_t kMaxFailures = 256;

size_t SkipSpace(std::string_view aText, size_t aFrom)
{
  const size_t at = aText.find_first_not_of(" \t\r\n", aFrom);
  return at == std::string_view::npos ? aText.size() : at;
}

/// Returns the position behind the list's opening bracket.
std::optional<size_t> FindArray(std::string_view aText, std::string_view aKey)
{
  const std::string quoted = '"' + std::string(aKey) + '"';
  const size_t key = aText.find(quoted);
  if (key == std::string_view::npos) {
    return std::nullopt;
  }
  size_t at = SkipSpace(aText, key + quoted.size());
  if (at >= aText.size() || aText[at] != ':') {
    return std::nullopt;
  }
  at = SkipSpace(aText, at + 1);
  return at < aText.size() && aText[at] == '[' ? std::optional<size_t>(at + 1)
                                               : std::nullopt;
}

/// Returns the text of the object that begins at aStart; empty if its brackets
/// don't close.
std::string_view ObjectAt(std::string_view aText, size_t aStart)
{
  const std::string_view text = aText.substr(aStart, kMaxElementBytes);
  size_t depth = 0;
  bool isInString = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (isInString) {
      i += c == '\\' ? 1 : 0;
      isInString = c != '"';
    } else if (c == '"') {
      isInString = true;
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if ((c == '}' || c == ']') && --depth == 0) {
      return text.substr(0, i + 1);
    }
  }
  return {};
}

/// Returns where the next element may begin: at an object behind a comma.
size_t NextElement(std::string_view aText, size_t aFrom)
{
  for (size_t comma = aText.find(',', aFrom); comma != std::string_view::npos;
       comma = aText.find(',', comma + 1)) {
    const size_t at = SkipSpace(aText, comma + 1);
    if (at < aText.size() && aText[at] == '{') {
      return at;
    }
  }
  return aText.size();
}

/// Returns the next place where a list that is a field of an object may end;
/// the text's size if there is none.
size_t NextArrayEnd(std::string_view aText, size_t aFrom)
{
  for (size_t end = aText.find(']', aFrom); end != std::string_view::npos;
       end = aText.find(']', end + 1)) {
    size_t next = SkipSpace(aText, end + 1);
    if (next < aText.size() && aText[next] == '}') {
      return end;
    }
    if (next < aText.size() && aText[next] == ',') {
      next = SkipSpace(aText, next + 1);
      if (next < aText.size() && aText[next] == '"') {
        return end;
      }
    }
  }
  return aText.size();
}

} // namespace

std::optional<JsonArrayText> ReadJsonArrayText(std::string_view aText,
                                               std::string_view aKey)
{
  const auto begin = FindArray(aText, aKey);
  if (!begin) {
    return std::nullopt;
  }
  JsonReader reader(JsonLimits{});
  JsonArrayText result;
  size_t at = *begin;
  for (size_t failures = 0; failures < kMaxFailures;) {
    at = SkipSpace(aText, at);
    if (at >= aText.size()) {
      return std::nullopt;
    }
    if (aText[at] == ',') {
      ++at;
      continue;
    }
    if (aText[at] == '{') {
      const std::string_view object = ObjectAt(aText, at);
      auto element = object.empty() ? std::nullopt : reader.Parse(object);
      if (element) {
        result.m_elements.push_back(std::move(*element));
        at += object.size();
        continue;
      }
    }
    if (aText[at] == ']') {
      std::string rest(aText.substr(0, *begin));
      rest += aText.substr(at);
      if (auto document = reader.Parse(rest)) {
        result.m_rest = std::move(*document);
        return result;
      }
    }
    // Either an element that can't be read, or what is left of one.
    ++failures;
    ++result.m_unreadable;
    at = std::min(NextElement(aText, at + 1), NextArrayEnd(aText, at + 1));
  }
  return std::nullopt;
}

} // namespace celeryspread
