#include "entry/call_refusals.h"

#include "http/http_status.h"

namespace celeryspread {

namespace {

constexpr int kRetryAfterSeconds = 1;

} // namespace

Refusal ServerRefusal(int aStatus,
                      std::string aCode,
                      std::string aMessage,
                      CallOutcome aOutcome)
{
  Refusal refusal;
  refusal.m_status = aStatus;
  refusal.m_type = "server_error";
  refusal.m_code = std::move(aCode);
  refusal.m_message = std::move(aMessage);
  refusal.m_outcome = aOutcome;
  if (aOutcome == CallOutcome::NotRun) {
    refusal.m_retryAfterSeconds = kRetryAfterSeconds;
  }
  return refusal;
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

Refusal RefusalForRoute(RouteError aError, CallOutcome aOutcome)
{
  switch (aError) {
    case RouteError::NotResident:
      return ServerRefusal(HttpStatus::kUnavailable,
                           "not_resident",
                           "no upstream can serve this now",
                           aOutcome);
    case RouteError::AllLeaving:
      return ServerRefusal(HttpStatus::kUnavailable,
                           "upstreams_leaving",
                           "every upstream for this is leaving",
                           aOutcome);
    case RouteError::AllTried:
      return ServerRefusal(HttpStatus::kBadGateway,
                           "upstreams_failed",
                           "every upstream for this has failed",
                           aOutcome);
    case RouteError::AllBusy:
      break;
  }
  return ServerRefusal(HttpStatus::kUnavailable,
                       "overloaded",
                       "every upstream for this is busy",
                       aOutcome);
}

Refusal RefusalForClaim(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Unknown:
      return ServerRefusal(HttpStatus::kConflict,
                           "outcome_unknown",
                           "a call with this Idempotency-Key is in progress "
                           "or its outcome is unknown; it is not run again",
                           CallOutcome::Unknown);
    case ClaimVerdict::Conflict:
      return ServerRefusal(HttpStatus::kUnprocessable,
                           "idempotency_key_reused",
                           "the Idempotency-Key was used with another request",
                           CallOutcome::NotRun);
    case ClaimVerdict::Expired:
      return ServerRefusal(HttpStatus::kConflict,
                           "idempotency_key_expired",
                           "the Idempotency-Key is past its retention",
                           CallOutcome::Unknown);
    case ClaimVerdict::Granted:
    case ClaimVerdict::Answered:
    case ClaimVerdict::Unavailable:
      break;
  }
  return ServerRefusal(HttpStatus::kUnavailable,
                       "claims_unavailable",
                       "no quorum is reachable to claim this work; nothing "
                       "was sent",
                       CallOutcome::NotRun);
}

Refusal RefusalForGate(GateError aError)
{
  const bool isLate = aError == GateError::TooLate;
  return ServerRefusal(HttpStatus::kUnavailable,
                       isLate ? "deadline_unreachable" : "overloaded",
                       isLate ? "the answer would begin after the deadline"
                              : "under overload other calls go first",
                       CallOutcome::NotRun);
}

} // namespace celeryspread
