#pragma once

#include "admission/admission_gate.h"
#include "admission/service_limits.h"
#include "core/clock.h"
#include "core/timers.h"
#include "http/upstream_client.h"
#include "ledger/claim_service.h"
#include "retry/retry_budget.h"
#include "routing/router.h"
#include "routing/size_predictor.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

namespace celeryspread {

/// Services shared by all calls of one entry instance.
/// @thread loop thread only; all references outlive every call.
struct EntryContext
{
  const Clock& m_clock;
  Timers& m_timers;
  UpstreamClient& m_client;
  ClaimService& m_claims;
  UpstreamTable& m_upstreamTable;
  Router& m_router;
  ServiceLimits& m_limits;
  AdmissionGate& m_gate;
  SizePredictor& m_sizePredictor;
  RetryBudget& m_retryBudget;
  Tracer& m_tracer;
  Metrics& m_metrics;
  EventLog& m_log;
};

} // namespace celeryspread
