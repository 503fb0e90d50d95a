#pragma once

#include "admission/worth_gate.h"
#include "entry/refusal.h"
#include "ledger/claim_service.h"
#include "retry/retry_policy.h"
#include "routing/router.h"

namespace celeryspread {

/// Makes an error answer of type "server_error"; one that says not_run asks
/// for a retry. @pre none. @thread any.
Refusal ServerRefusal(int aStatus,
                      std::string aCode,
                      std::string aMessage,
                      CallOutcome aOutcome);

/// Turns the verdict after the last attempt into an outcome word.
/// @pre none. @thread any.
CallOutcome OutcomeOf(RetryVerdict aVerdict);

/// Turns a routing failure into an error answer. @pre none. @thread any.
Refusal RefusalForRoute(RouteError aError, CallOutcome aOutcome);

/// Turns a claim that was not granted into an error answer.
/// @pre aVerdict is neither Granted nor Answered. @thread any.
Refusal RefusalForClaim(ClaimVerdict aVerdict);

/// Turns the gate's refusal into an error answer. @pre none. @thread any.
Refusal RefusalForGate(GateError aError);

} // namespace celeryspread
