#pragma once

#include "admission/admission_gate.h"
#include "entry/error_reply.h"
#include "ledger/claim_service.h"
#include "retry/retry_policy.h"
#include "routing/router.h"

namespace celeryspread {

/// Makes an error reply of type "server_error"; with NotRun it asks the caller
/// for a retry. @pre none. @thread any.
ErrorReply MakeCallError(int aStatus,
                         std::string aCode,
                         std::string aMessage,
                         CallOutcome aOutcome);

/// Returns the outcome to report for the verdict after the last attempt.
/// @pre none. @thread any.
CallOutcome OutcomeOf(RetryVerdict aVerdict);

/// Returns the error reply for a routing error. @pre none. @thread any.
ErrorReply ErrorForRoute(RouteError aError, CallOutcome aOutcome);

/// Returns the error reply for a claim that was not granted.
/// @pre aVerdict is neither Granted nor Answered. @thread any.
ErrorReply ErrorForClaim(ClaimVerdict aVerdict);

/// Returns the error reply for a call that the gate did not admit.
/// @pre none. @thread any.
ErrorReply ErrorForAdmission(AdmissionGateError aError);

} // namespace celeryspread
