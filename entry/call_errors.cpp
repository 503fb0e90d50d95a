#include "entry/call_errors.h"

#include "http/http_status.h"

namespace celeryspread {

namespace {

constexpr int kRetryAfterSeconds = 1;

} // namespace

ErrorReply MakeCallError(int aStatus,
                         std::string aCode,
                         std::string aMessage,
                         CallOutcome aOutcome)
{
  ErrorReply error;
  error.m_status = aStatus;
  error.m_type = "server_error";
  error.m_code = std::move(aCode);
  error.m_message = std::move(aMessage);
  error.m_outcome = aOutcome;
  if (aOutcome == CallOutcome::NotRun) {
    error.m_retryAfterSeconds = kRetryAfterSeconds;
  }
  return error;
}

CallOutcome OutcomeOf(RetryVerdict aVerdict)
{
  switch (aVerdict) {
    case RetryVerdict::NotRun:
      return CallOutcome::NotRun;
    case RetryVerdict::Failed:
      return CallOutcome::Failed;
    case RetryVerdict::Retry:
    case RetryVerdict::Unknown:
      break;
  }
  return CallOutcome::Unknown;
}

ErrorReply ErrorForRoute(RouteError aError, CallOutcome aOutcome)
{
  switch (aError) {
    case RouteError::NotResident:
      return MakeCallError(HttpStatus::kUnavailable,
                           "not_resident",
                           "no upstream can serve this now",
                           aOutcome);
    case RouteError::AllLeaving:
      return MakeCallError(HttpStatus::kUnavailable,
                           "upstreams_leaving",
                           "every upstream for this is leaving",
                           aOutcome);
    case RouteError::AllTried:
      return MakeCallError(HttpStatus::kBadGateway,
                           "upstreams_failed",
                           "every upstream for this has failed",
                           aOutcome);
    case RouteError::AllBusy:
      break;
  }
  return MakeCallError(HttpStatus::kUnavailable,
                       "overloaded",
                       "every upstream for this is busy",
                       aOutcome);
}

ErrorReply ErrorForClaim(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Unknown:
      return MakeCallError(HttpStatus::kConflict,
                           "outcome_unknown",
                           "a call with this Idempotency-Key is in progress "
                           "or its outcome is unknown; it is not run again",
                           CallOutcome::Unknown);
    case ClaimVerdict::Conflict:
      return MakeCallError(HttpStatus::kUnprocessable,
                           "idempotency_key_reused",
                           "the Idempotency-Key was used with another request",
                           CallOutcome::NotRun);
    case ClaimVerdict::Expired:
      return MakeCallError(HttpStatus::kConflict,
                           "idempotency_key_expired",
                           "the Idempotency-Key is past its retention",
                           CallOutcome::Unknown);
    case ClaimVerdict::Granted:
    case ClaimVerdict::Answered:
    case ClaimVerdict::Unavailable:
      break;
  }
  return MakeCallError(HttpStatus::kUnavailable,
                       "claims_unavailable",
                       "no quorum is reachable to claim this work; nothing "
                       "was sent",
                       CallOutcome::NotRun);
}

ErrorReply ErrorForAdmission(AdmissionGateError aError)
{
  const bool isLate = aError == AdmissionGateError::DeadlineUnreachable;
  return MakeCallError(HttpStatus::kUnavailable,
                       isLate ? "deadline_unreachable" : "overloaded",
                       isLate ? "the answer would begin after the deadline"
                              : "under overload other calls go first",
                       CallOutcome::NotRun);
}

} // namespace celeryspread
