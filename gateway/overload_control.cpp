#include "gateway/overload_control.h"

#include <algorithm>

#include "gateway/call_priority.h"
#include "gateway/engine_selector.h"

namespace celeryspread {

namespace {

struct RefusalText
{
  const char* m_counter = "";
  const char* m_reason = "";
};

RefusalText TextOf(OverloadRefusal aRefusal)
{
  switch (aRefusal) {
    case OverloadRefusal::None:
      break;
    case OverloadRefusal::FirstEventTooLate:
      return { "celeryspread_gateway_overload_patience_refusals_total",
               "the expected wait exceeds the caller's timeout on the best "
               "engine" };
    case OverloadRefusal::DeadlineTooShort:
      return { "celeryspread_gateway_overload_deadline_refusals_total",
               "the predicted end on the best engine is after the deadline" };
    case OverloadRefusal::QueueTooLong:
      return { "celeryspread_gateway_overload_rank_refusals_total",
               "the queue of the best engine is longer than a call of its rank "
               "and value may join" };
    case OverloadRefusal::ShareExceeded:
      return { "celeryspread_gateway_overload_share_refusals_total",
               "has used up its share while others are short" };
  }
  return {};
}

} // namespace

OverloadControl::OverloadControl(RandomSource& aRandom,
                                 const EngineSelector& aSelector,
                                 const PrefillEstimator& aPrefill,
                                 Metrics& aMetrics)
  : m_random(aRandom)
  , m_selector(aSelector)
  , m_prefill(aPrefill)
  , m_metrics(aMetrics)
{
}

OverloadControl::PoolState& OverloadControl::StateOf(const PoolId& aPool)
{
  return m_pools.try_emplace(aPool, m_random).first->second;
}

CallPrediction OverloadControl::Predict(const CallFields& aCallFields,
                                        const EngineState& aState,
                                        TimePoint aNow) const
{
  const std::string& model = aCallFields.m_target.m_model;
  CallPrediction prediction;
  prediction.m_queueWait = m_selector.ExpectedWait(aState, aNow);
  // The other estimate includes the wait, which is counted already.
  prediction.m_firstEvent =
    prediction.m_queueWait +
    m_prefill.BaseEstimate(model, aCallFields.m_promptTokens);
  prediction.m_lastEvent = prediction.m_firstEvent + m_runTimes.Expected(model);
  return prediction;
}

uint64_t OverloadControl::TokensOf(const RoutedCall& aCall)
{
  const CallFields& callFields = aCall.m_callFields;
  return callFields.m_totalTokens.value_or(
    std::max<uint32_t>(1, callFields.m_promptTokens));
}

OverloadCall OverloadControl::Describe(const RoutedCall& aCall,
                                       const CallPrediction& aPrediction,
                                       TimePoint aNow) const
{
  const CallFields& callFields = aCall.m_callFields;
  const Route& route = *aCall.m_route;
  OverloadCall call;
  call.m_route = route.m_id;
  if (aCall.m_identity.m_team != nullptr) {
    call.m_team = aCall.m_identity.m_team->m_id;
  }
  call.m_model = callFields.m_target.m_model;
  call.m_adapter = callFields.m_target.m_adapter;
  call.m_tokens = TokensOf(aCall);
  call.m_priority = aCall.Priority();
  call.m_isStream = route.m_kind == CallKind::Stream;
  call.m_objective = route.m_objective;
  call.m_age = aCall.Age(aNow);
  call.m_timeLeft = aCall.m_deadline - aNow;
  call.m_patience = CallPriority::FirstEventTimeout(route);
  call.m_prediction = aPrediction;
  return call;
}

std::optional<OverloadControl::Refusal> OverloadControl::Refuses(
  const RoutedCall& aCall,
  const EngineState& aBest,
  TimePoint aNow)
{
  if (aCall.m_callFields.m_target.m_model.empty()) {
    return std::nullopt;
  }
  PoolState& state = StateOf(aCall.m_pool);
  const OverloadCall call =
    Describe(aCall, Predict(aCall.m_callFields, aBest, aNow), aNow);
  const auto decision =
    state.m_gate.Decide(call,
                        { state.m_returns.ServedPerSecond(aNow).value_or(0),
                          state.m_servedTokens.PerSecond(aNow).value_or(0) },
                        aNow);
  if (decision.m_refusal == OverloadRefusal::None) {
    return std::nullopt;
  }
  const RefusalText text = TextOf(decision.m_refusal);
  m_metrics.Count(text.m_counter);
  const std::string team = decision.m_refusal == OverloadRefusal::ShareExceeded
                             ? "team " + call.m_team.Value() + " "
                             : "";
  return Refusal{ team + text.m_reason, decision.m_earliest };
}

std::optional<Duration> OverloadControl::RetryAfter(const RoutedCall& aCall,
                                                    Duration aEarliest,
                                                    TimePoint aNow)
{
  const CallFields& callFields = aCall.m_callFields;
  const std::string& model = callFields.m_target.m_model;
  const Duration needed =
    m_prefill.BaseEstimate(model, callFields.m_promptTokens) +
    m_runTimes.Expected(model);
  const auto retryAfter =
    StateOf(aCall.m_pool)
      .m_returns.RetryAfter({ aEarliest, aCall.m_deadline - aNow, needed },
                            aNow);
  m_metrics.Count(retryAfter
                    ? "celeryspread_gateway_overload_returns_total"
                    : "celeryspread_gateway_overload_final_refusals_total");
  return retryAfter;
}

void OverloadControl::RecordServed(const RoutedCall& aCall,
                                   Duration aRunTime,
                                   TimePoint aNow)
{
  PoolState& state = StateOf(aCall.m_pool);
  state.m_returns.RecordServed(aNow);
  state.m_servedTokens.Record(static_cast<double>(TokensOf(aCall)), aNow);
  m_runTimes.Add(aCall.m_callFields.m_target.m_model, aRunTime);
}

} // namespace celeryspread
