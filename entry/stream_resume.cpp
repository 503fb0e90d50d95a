#include "entry/stream_resume.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace celeryspread {

namespace {

using nlohmann::json;

/// Limit for the escaped text; longer streams are not resumed.
constexpr size_t kMaxTextBytes = 65'536;
constexpr std::string_view kChatTextField = "\"content\":\"";
constexpr std::string_view kCompletionTextField = "\"text\":\"";
constexpr std::string_view kFinishReasonField = "\"finish_reason\":\"";

/// Returns the text up to the closing quote of a JSON string, still escaped.
/// aText starts after the opening quote.
std::string_view ReadEscapedString(std::string_view aText)
{
  size_t at = 0;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return aText.substr(0, std::min(at, aText.size()));
}

/// Returns whether the answer is a single text. Tools, functions, best_of, log
/// probabilities and several choices cannot be resumed from text alone.
bool IsResumable(const json& aBody)
{
  for (const char* field : { "tools", "functions", "logprobs", "best_of" }) {
    if (aBody.contains(field) && !aBody[field].is_null()) {
      return false;
    }
  }
  return !aBody.contains("n") || aBody["n"] == 1;
}

void ReduceTokenLimit(json& aBody, const char* aField, size_t aTokens)
{
  if (!aBody.contains(aField) || !aBody[aField].is_number_unsigned()) {
    return;
  }
  const auto limit = aBody[aField].get<size_t>();
  aBody[aField] = limit > aTokens ? limit - aTokens : 1;
}

} // namespace

void StreamResume::Record(std::string_view aEvents)
{
  size_t start = 0;
  while (start < aEvents.size()) {
    size_t end = aEvents.find('\n', start);
    end = end == std::string_view::npos ? aEvents.size() : end;
    RecordLine(aEvents.substr(start, end - start));
    start = end + 1;
  }
}

void StreamResume::RecordLine(std::string_view aLine)
{
  if (aLine.find(kFinishReasonField) != std::string_view::npos) {
    m_isAnswerComplete = true;
  }
  size_t at = aLine.find(kChatTextField);
  size_t skip = kChatTextField.size();
  if (at == std::string_view::npos) {
    at = aLine.find(kCompletionTextField);
    skip = kCompletionTextField.size();
  }
  if (at == std::string_view::npos || m_isTooLong) {
    return;
  }
  m_escapedText += ReadEscapedString(aLine.substr(at + skip));
  ++m_tokens;
  if (m_escapedText.size() > kMaxTextBytes) {
    m_isTooLong = true;
    m_escapedText = std::string();
  }
}

std::optional<std::string> StreamResume::BuildBody(const std::string& aBody,
                                                   std::string_view aPath) const
{
  const json text = json::parse("\"" + m_escapedText + "\"", nullptr, false);
  json body = json::parse(aBody, nullptr, false);
  if (m_isTooLong || text.is_discarded() || !body.is_object() ||
      !IsResumable(body)) {
    return std::nullopt;
  }
  if (aPath == "/v1/chat/completions") {
    // Makes the engine continue the last message instead of starting a new one.
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
  ReduceTokenLimit(body, "max_tokens", m_tokens);
  ReduceTokenLimit(body, "max_completion_tokens", m_tokens);
  return FormatJson(body);
}

} // namespace celeryspread
