#pragma once

#include <functional>

#include "admission/engine_rates.h"
#include "core/timers.h"
#include "gateway/call_fields.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_learning.h"
#include "gateway/engine_selector.h"
#include "gateway/overload_control.h"
#include "gateway/prefill_estimator.h"
#include "gateway/quota_gate.h"
#include "gateway/retry_budget_share.h"
#include "gateway/stream_origins.h"
#include "http/upstream_client.h"
#include "quarantine/request_namer.h"
#include "routes/route_config.h"
#include "teams/access_control.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace celeryspread {

class CallForwarding;

/// Asks the owner of the engines to load adapters.
class AdapterLoader
{
public:
  virtual ~AdapterLoader() = default;
  /// Requests an adapter. aDone is called with the engine that has loaded it,
  /// empty if none could. @pre the target names an adapter; aPreferred is the
  /// engine with the least cost for the call, or empty. @thread loop.
  virtual void LoadAdapter(const PoolId& aPool,
                           const ModelTarget& aTarget,
                           const UpstreamId& aPreferred,
                           std::function<void(UpstreamId)> aDone) = 0;
};

/// Asks whether requests may be sent to engines that limit them.
class RateGranter
{
public:
  using Done = std::function<void(const EngineRates::Grant&)>;
  virtual ~RateGranter() = default;
  /// Asks for one request to an engine that takes aRequestsPerSecond from all
  /// entries together. aDone may be called at once. @pre aRequestsPerSecond >
  /// 0.
  /// @thread loop.
  virtual void RequestRate(const UpstreamId& aEngine,
                           double aRequestsPerSecond,
                           Done aDone) = 0;
  /// Reports that an engine no longer limits its requests. @pre none.
  /// @thread loop.
  virtual void ReportRateLimitEnd(const UpstreamId& aEngine) = 0;
};

/// Counts the demand of callers for models and adapters.
class DemandRecorder
{
public:
  virtual ~DemandRecorder() = default;
  /// Records a call for a target, whose prompt an engine is expected to read in
  /// aPrefill. @pre none. @thread loop.
  virtual void RecordDemand(const PoolId& aPool,
                            const ModelTarget& aTarget,
                            Duration aPrefill) = 0;
  /// Records that an attempt for a target starts (+1) or ends (-1) on an
  /// engine. @pre each end follows its start. @thread loop.
  virtual void RecordRunning(const PoolId& aPool,
                             const ModelTarget& aTarget,
                             int aChange) = 0;
};

/// Objects that the calls of one gateway use. All of them outlive the calls.
struct GatewayContext
{
  const Clock& m_clock;
  Timers& m_timers;
  UpstreamClient& m_client;
  CallCodec& m_codec;
  EngineTable& m_table;
  EngineSelector& m_selector;
  RetryBudgetShare& m_retries;
  PrefillEstimator& m_prefill;
  AdapterLoader& m_adapters;
  DemandRecorder& m_demand;
  CrashWatch& m_crashes;
  RateGranter& m_rates;
  AccessControl& m_access;
  QuotaGate& m_quota;
  /// The entry's own failure domain.
  const FailureDomainId& m_domain;
  Metrics& m_metrics;
  EventLog& m_log;
  /// Null if the entry does not learn how its engines perform.
  EngineLearning* m_learning = nullptr;
  /// Null unless the settings switch the decisions for overload on.
  OverloadControl* m_overload = nullptr;
  /// Age of the proof up to which the absence of a route is certain.
  Duration m_routeProofTime = std::chrono::seconds(3);
  /// Null if only parts of prompts are suspected when engines end.
  const RequestNamer* m_requests = nullptr;
  /// Null if the engines of a pool all have the same software.
  StreamOrigins* m_streams = nullptr;
  /// Null if the entry neither forwards calls nor takes forwarded ones.
  CallForwarding* m_forwarding = nullptr;
};

} // namespace celeryspread
