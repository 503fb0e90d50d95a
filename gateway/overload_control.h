#pragma once

#include <map>
#include <optional>
#include <string>

#include "admission/overload_gate.h"
#include "admission/pool_returns.h"
#include "admission/run_times.h"
#include "gateway/engine_selector.h"
#include "gateway/prefill_estimator.h"
#include "gateway/routed_call.h"
#include "telemetry/metrics.h"

namespace celeryspread {

/// Applies the modules for overload to the calls of an entry. Exists only if
/// the settings switch them on.
/// @thread loop thread only.
class OverloadControl
{
public:
  /// Why a call is refused, and when it may come back.
  struct Refusal
  {
    std::string m_reason;
    /// Time before which it would be refused again; beyond its deadline if it
    /// can't be served any more.
    Duration m_earliest{};
  };

  /// Creates the control of an entry. @pre all arguments outlive it.
  OverloadControl(RandomSource& aRandom,
                  const EngineSelector& aSelector,
                  const PrefillEstimator& aPrefill,
                  Metrics& aMetrics);

  /// Decides whether a call is sent to the best engine for it, given what that
  /// engine holds already. Calls to plain services are not refused, as their
  /// queues are not known. @pre called once for each request.
  /// @return empty if the call is admitted.
  std::optional<Refusal> Refuses(const RoutedCall& aCall,
                                 const EngineState& aBest,
                                 TimePoint aNow);
  /// Returns when the caller of a refused call should come back. A time beyond
  /// the call's deadline means that it can't be served any more.
  /// @pre aEarliest is the time before which it would be refused again.
  /// @error empty if it should not come back.
  std::optional<Duration> RetryAfter(const RoutedCall& aCall,
                                     Duration aEarliest,
                                     TimePoint aNow);
  /// Records a call that was served, and how long it held its slot after its
  /// first event. @pre none.
  void RecordServed(const RoutedCall& aCall, Duration aRunTime, TimePoint aNow);

private:
  struct PoolState
  {
    explicit PoolState(RandomSource& aRandom)
      : m_returns(aRandom)
    {
    }

    PoolReturns m_returns;
    OverloadGate m_gate;
    ServedRate m_servedTokens;
  };

  /// Predicts the times of a call on an engine.
  [[nodiscard]] CallPrediction Predict(const CallFields& aCallFields,
                                       const EngineState& aState,
                                       TimePoint aNow) const;
  [[nodiscard]] OverloadCall Describe(const RoutedCall& aCall,
                                      const CallPrediction& aPrediction,
                                      TimePoint aNow) const;
  /// Returns the tokens of a call's prompt and, if stated, of its answer.
  [[nodiscard]] static uint64_t TokensOf(const RoutedCall& aCall);
  PoolState& StateOf(const PoolId& aPool);

  RandomSource& m_random;
  const EngineSelector& m_selector;
  const PrefillEstimator& m_prefill;
  Metrics& m_metrics;
  /// Pools of the configuration that had calls; their number is bounded by it.
  std::map<PoolId, PoolState> m_pools;
  RunTimes m_runTimes;
};

} // namespace celeryspread
