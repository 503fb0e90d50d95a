#include "entry/refusal.h"

#include <nlohmann/json.hpp>

namespace celeryspread {

std::string_view OutcomeWord(CallOutcome aOutcome)
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

std::string ErrorBody(const Refusal& aRefusal)
{
  const nlohmann::json body = {
    { "error",
      { { "message", aRefusal.m_message },
        { "type", aRefusal.m_type },
        { "code", aRefusal.m_code },
        { "param", nullptr },
        { "outcome", OutcomeWord(aRefusal.m_outcome) } } }
  };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpHeaders ErrorHeaders(const Refusal& aRefusal)
{
  HttpHeaders headers = { { "Content-Type", "application/json" },
                          { "X-Outcome",
                            std::string(OutcomeWord(aRefusal.m_outcome)) } };
  if (aRefusal.m_retryAfterSeconds > 0) {
    headers.push_back(
      { "Retry-After", std::to_string(aRefusal.m_retryAfterSeconds) });
  }
  return headers;
}

} // namespace celeryspread
