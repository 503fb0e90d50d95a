#pragma once

#include <string>
#include <string_view>

#include "http/caller_call.h"

namespace celeryspread {

/// What the caller can conclude about whether its work ran.
enum class CallOutcome
{
  /// The work did not run: it was never sent, or the upstream confirmed that
  /// it did not start.
  NotRun,
  /// The work may have run.
  Unknown,
  /// The work failed and may have run, but it is idempotent.
  Failed
};

/// An error reply to a caller.
struct ErrorReply
{
  int m_status = 500;
  /// OpenAI error type, such as "invalid_request_error".
  std::string m_type;
  /// Machine-readable reason, such as "model_not_found".
  std::string m_code;
  std::string m_message;
  CallOutcome m_outcome = CallOutcome::NotRun;
  /// Value of the Retry-After header; 0 leaves it out. @unit seconds.
  int m_retryAfterSeconds = 0;
};

/// Returns the name of an outcome in X-Outcome and in the error body. @pre
/// none. @thread any.
std::string_view OutcomeName(CallOutcome aOutcome);

/// Returns the JSON body of an error reply. @pre none. @thread any.
std::string ErrorBody(const ErrorReply& aError);

/// Returns the headers of an error reply. @pre none. @thread any.
HttpHeaders ErrorHeaders(const ErrorReply& aError);

} // namespace celeryspread
