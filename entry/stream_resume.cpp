#include "entry/stream_resume.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr size_t kMaxTextBytes = 65'536;
constexpr std::string_view kChatText = "\"content\":\"";
constexpr std::string_view kPlainText = "\"text\":\"";
constexpr std::string_view kFinish = "\"finish_reason\":\"";

/// Returns the escaped JSON string that starts at aText.
std::string_view EscapedString(std::string_view aText)
{
  size_t at = 0;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return aText.substr(0, std::min(at, aText.size()));
}

bool IsSingleText(const json& aBody)
{
  for (const char* field : { "tools", "functions", "logprobs", "best_of" }) {
    if (aBody.contains(field) && !aBody[field].is_null()) {
      return false;
    }
  }
  return !aBody.contains("n") || aBody["n"] == 1;
}

void ReduceLimit(json& aBody, const char* aField, size_t aTokens)
{
  if (!aBody.contains(aField) || !aBody[aField].is_number_unsigned()) {
    return;
  }
  const auto limit = aBody[aField].get<size_t>();
  aBody[aField] = limit > aTokens ? limit - aTokens : 1;
}

} // namespace

void StreamResume::Note(std::string_view aEvents)
{
  size_t start = 0;
  while (start < aEvents.size()) {
    size_t end = aEvents.find('\n', start);
    end = end == std::string_view::npos ? aEvents.size() : end;
    NoteEvent(aEvents.substr(start, end - start));
    start = end + 1;
  }
}

void StreamResume::NoteEvent(std::string_view aEvent)
{
  if (aEvent.find(kFinish) != std::string_view::npos) {
    m_isAnswerWhole = true;
  }
  size_t at = aEvent.find(kChatText);
  size_t skip = kChatText.size();
  if (at == std::string_view::npos) {
    at = aEvent.find(kPlainText);
    skip = kPlainText.size();
  }
  if (at == std::string_view::npos || m_isLost) {
    return;
  }
  m_escapedText += EscapedString(aEvent.substr(at + skip));
  ++m_tokens;
  if (m_escapedText.size() > kMaxTextBytes) {
    m_isLost = true;
    m_escapedText = std::string();
  }
}

std::optional<std::string> StreamResume::BuildBody(const std::string& aBody,
                                                   std::string_view aPath) const
{
  const json text = json::parse("\"" + m_escapedText + "\"", nullptr, false);
  json body = json::parse(aBody, nullptr, false);
  if (m_isLost || text.is_discarded() || !body.is_object() ||
      !IsSingleText(body)) {
    return std::nullopt;
  }
  if (aPath == "/v1/chat/completions") {
    // The engine goes on with its own last message instead of a new one.
    body["messages"].push_back(
      { { "role", "assistant" }, { "content", text } });
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
  } else if (body["prompt"].is_string()) {
    body["prompt"] =
      body["prompt"].get<std::string>() + text.get<std::string>();
  } else {
    return std::nullopt;
  }
  ReduceLimit(body, "max_tokens", m_tokens);
  ReduceLimit(body, "max_completion_tokens", m_tokens);
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace celeryspread
