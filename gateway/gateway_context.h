#pragma once

#include <functional>

#include "core/timers.h"
#include "gateway/call_facts.h"
#include "gateway/engine_selector.h"
#include "gateway/prompt_cost.h"
#include "gateway/retry_share.h"
#include "http/upstream_client.h"
#include "routes/route_config.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace celeryspread {

/// Has adapters loaded by the owner of the engines.
class AdapterLoader
{
public:
  virtual ~AdapterLoader() = default;
  /// Asks for an adapter; aDone hears the engine that holds it now, empty
  /// when it can't be had. @pre the target names an adapter; aPreferred is
  /// the engine that suits the call best, or empty. @thread loop.
  virtual void LoadAdapter(const PoolId& aPool,
                           const ModelTarget& aTarget,
                           const UpstreamId& aPreferred,
                           std::function<void(UpstreamId)> aDone) = 0;
};

/// Counts what clients ask for.
class DemandSink
{
public:
  virtual ~DemandSink() = default;
  /// Notes a call for a target. @pre none. @thread loop.
  virtual void NoteDemand(const PoolId& aPool, const ModelTarget& aTarget) = 0;
  /// Notes that a call for a target starts (+1) or ends (-1) at an engine.
  /// @pre as many end as start. @thread loop.
  virtual void NoteRunning(const PoolId& aPool,
                           const ModelTarget& aTarget,
                           int aChange) = 0;
};

/// What the calls of one gateway work with; all references outlive them.
struct GatewayContext
{
  const Clock& m_clock;
  Timers& m_timers;
  UpstreamClient& m_client;
  CallCodec& m_codec;
  EngineTable& m_table;
  EngineSelector& m_selector;
  RetryShare& m_retries;
  PromptCost& m_promptCost;
  AdapterLoader& m_adapters;
  DemandSink& m_demand;
  /// The entry's own failure domain.
  const FailureDomainId& m_domain;
  Metrics& m_metrics;
  EventLog& m_log;
};

} // namespace celeryspread
