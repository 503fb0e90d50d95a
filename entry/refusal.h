#pragma once

#include <string>
#include <string_view>

#include "http/caller_call.h"

namespace celeryspread {

/// What the caller may conclude about its work.
enum class CallOutcome
{
  /// The work has not run: it never left, or the upstream proved it.
  NotRun,
  /// The work may have run.
  Unknown,
  /// Idempotent work failed.
  Failed
};

/// An error answer to a caller.
struct Refusal
{
  int m_status = 500;
  /// OpenAI error type, such as "invalid_request_error".
  std::string m_type;
  /// Machine-readable reason, such as "model_not_found".
  std::string m_code;
  std::string m_message;
  CallOutcome m_outcome = CallOutcome::NotRun;
  /// Seconds until a retry makes sense; 0 leaves the header out.
  int m_retryAfterSeconds = 0;
};

/// Returns the outcome word of the wire format. @pre none. @thread any.
std::string_view OutcomeWord(CallOutcome aOutcome);

/// Returns the JSON error object. @pre none. @thread any.
std::string ErrorBody(const Refusal& aRefusal);

/// Returns the headers of an error answer. @pre none. @thread any.
HttpHeaders ErrorHeaders(const Refusal& aRefusal);

} // namespace celeryspread
