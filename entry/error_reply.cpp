#include "entry/error_reply.h"

#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace celeryspread {

std::string_view OutcomeName(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::NotRun:
      return "not_run";
    case CallOutcome::Unknown:
      return "unknown";
    case CallOutcome::Failed:
      break;
  }
  return "failed";
}

std::string ErrorBody(const ErrorReply& aError)
{
  const nlohmann::json body = {
    { "error",
      { { "message", aError.m_message },
        { "type", aError.m_type },
        { "code", aError.m_code },
        { "param", nullptr },
        { "outcome", OutcomeName(aError.m_outcome) } } }
  };
  return FormatJson(body);
}

HttpHeaders ErrorHeaders(const ErrorReply& aError)
{
  HttpHeaders headers = { { "Content-Type", "application/json" },
                          { "X-Outcome",
                            std::string(OutcomeName(aError.m_outcome)) } };
  if (aError.m_retryAfterSeconds > 0) {
    headers.push_back(
      { "Retry-After", std::to_string(aError.m_retryAfterSeconds) });
  }
  return headers;
}

} // namespace celeryspread
