#include "gateway/engine_choice.h"

#include <algorithm>

#include "gateway/call_priority.h"

namespace celeryspread {

namespace {

/// Denials of requests to limited engines after which a call goes to another
/// engine or is refused; each one costs a round trip to the owner.
constexpr uint32_t kMaxDenialsPerCall = 2;
/// Time in which a missing model or adapter is usually loaded.
constexpr Duration kMissingRetryAfter = std::chrono::milliseconds(1200);
/// A queue that is too long lasts until another copy of the model is loaded,
/// which takes about three seconds. Callers limit longer times to a third of
/// the time that they have left.
constexpr Duration kQueueRetryAfter = std::chrono::milliseconds(2500);

} // namespace

EngineChoice::EngineChoice(GatewayContext& aContext,
                           const RoutedCall& aCall,
                           const std::set<UpstreamId>& aTried,
                           Listener& aListener)
  : m_context(aContext)
  , m_call(aCall)
  , m_tried(aTried)
  , m_listener(aListener)
{
}

EngineChoice::~EngineChoice()
{
  *m_isAlive = false;
}

SelectQuery EngineChoice::Query() const
{
  return { m_call.m_pool,
           m_call.m_callFields.m_target,
           m_tried,
           m_rateDenials >= kMaxDenialsPerCall,
           m_call.m_software };
}

void EngineChoice::RecordDemand(bool aIsMiss)
{
  if (m_isDemandRecorded) {
    return;
  }
  m_isDemandRecorded = true;
  const CallFields& callFields = m_call.m_callFields;
  m_context.m_demand.RecordDemand(
    m_call.m_pool,
    callFields.m_target,
    m_context.m_prefill.BaseEstimate(callFields.m_target.m_model,
                                     callFields.m_promptTokens));
  if (aIsMiss) {
    m_context.m_metrics.Count("celeryspread_gateway_misses_total");
  }
}

void EngineChoice::Choose()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_call.m_deadline - now < kMinTimeLeft) {
    m_listener.OnNoTimeLeft();
    return;
  }
  if (StopIfHeld()) {
    return;
  }
  const SelectQuery query = Query();
  const EngineState* state = m_context.m_selector.Choose(query, now);
  RecordDemand(state == nullptr &&
               m_context.m_selector.LastError() != SelectError::NoUpstream);
  const bool mayRequest =
    !m_hasRequestedAdapter && !m_call.m_callFields.m_target.m_adapter.empty();
  if (mayRequest) {
    // Another engine may start the call earlier, the load of the adapter
    // included.
    const EngineState* better =
      m_context.m_selector.ChooseForAdapter(query, state, now);
    if (better != nullptr) {
      RequestAdapter(better->m_record.m_id);
      return;
    }
  }
  if (state == nullptr) {
    HandleSelectError(now);
    return;
  }
  if (StopIfOverloaded(*state, now)) {
    return;
  }
  if (WaitExceedsTimeout(*state, now)) {
    Fail("the expected wait exceeds the caller's timeout on the best engine",
         kQueueRetryAfter);
    return;
  }
  RequestWithinLimit(*state);
}

bool EngineChoice::StopIfOverloaded(const EngineState& aState, TimePoint aNow)
{
  if (m_context.m_overload == nullptr || m_isAdmitted) {
    return false;
  }
  const auto refusal = m_context.m_overload->Refuses(m_call, aState, aNow);
  m_isAdmitted = !refusal.has_value();
  if (refusal) {
    Fail(refusal->m_reason, refusal->m_earliest);
  }
  return refusal.has_value();
}

void EngineChoice::Fail(const std::string& aReason, Duration aEarliest)
{
  if (m_context.m_overload == nullptr) {
    m_listener.OnChoiceFailed(aReason, aEarliest);
    return;
  }
  const auto retryAfter = m_context.m_overload->RetryAfter(
    m_call, aEarliest, m_context.m_clock.Now());
  m_listener.OnChoiceFailed(
    retryAfter ? aReason : aReason + "; it can't be served before its deadline",
    retryAfter);
}

std::optional<Duration> EngineChoice::BusyRetryAfter()
{
  if (m_context.m_overload == nullptr) {
    return kBusyRetryAfter;
  }
  return m_context.m_overload->RetryAfter(
    m_call, kBusyRetryAfter, m_context.m_clock.Now());
}

void EngineChoice::HandleSelectError(TimePoint aNow)
{
  const EngineSelector& selector = m_context.m_selector;
  switch (selector.LastError()) {
    case SelectError::AdapterMissing:
      RequestAdapter(UpstreamId());
      return;
    case SelectError::ModelMissing:
      Fail("no engine has the model loaded", kMissingRetryAfter);
      return;
    case SelectError::RateLimited:
      Fail("all engines with the model are at the limits that they named",
           std::max(kBusyRetryAfter, selector.AvailableAt() - aNow));
      return;
    case SelectError::BackingOff:
      Fail("all engines that could serve the call asked for a back-off",
           m_context.m_selector.RetryAfterBackOff(aNow));
      return;
    case SelectError::NoUpstream:
      if (m_call.m_software) {
        // The version may never be back; the caller can begin anew at once.
        m_listener.OnChoiceFailed("no engine of software version " +
                                    m_call.m_software->Value() +
                                    ", which began the stream, accepts calls",
                                  std::nullopt);
        return;
      }
      Fail("no upstream of the pool accepts new calls", kBusyRetryAfter);
      return;
  }
}

bool EngineChoice::IsHeld() const
{
  return m_context.m_crashes.Check(m_call.m_suspects).m_kind !=
         QuarantineVerdict::Kind::Free;
}

bool EngineChoice::StopIfHeld()
{
  if (m_isTrial) {
    return false;
  }
  const QuarantineVerdict verdict =
    m_context.m_crashes.Check(m_call.m_suspects);
  if (verdict.m_kind == QuarantineVerdict::Kind::Free) {
    return false;
  }
  m_context.m_metrics.Count("celeryspread_gateway_held_calls_total");
  const bool mayAsk =
    verdict.m_kind == QuarantineVerdict::Kind::TrialDue && !m_isAwaitingTrial;
  if (!mayAsk) {
    const std::string what =
      RequestNamer::IsRequest(verdict.m_part) ? "this " : "prompt part ";
    m_listener.OnChoiceFailed(
      "engines ended under calls with " + what + verdict.m_part.Value() +
        ", which is held back",
      std::clamp(verdict.m_heldFor, kMinHeldRetryAfter, kMaxHeldRetryAfter));
    return true;
  }
  m_isAwaitingTrial = true;
  m_trialPart = verdict.m_part;
  m_context.m_crashes.RequestTrial(
    verdict.m_part, [this, isAlive = m_isAlive](bool aIsPermitted) {
      if (!*isAlive || m_isStopped) {
        return;
      }
      m_isTrial = aIsPermitted;
      Choose();
    });
  return true;
}

void EngineChoice::RequestAdapter(const UpstreamId& aPreferred)
{
  if (m_hasRequestedAdapter) {
    Fail("the adapter could not be loaded", kMissingRetryAfter);
    return;
  }
  m_hasRequestedAdapter = true;
  const ModelTarget& target = m_call.m_callFields.m_target;
  m_context.m_adapters.LoadAdapter(
    m_call.m_pool,
    target,
    aPreferred,
    [this, isAlive = m_isAlive](const UpstreamId& aEngine) {
      if (!*isAlive || m_isStopped) {
        return;
      }
      if (!aEngine.IsEmpty()) {
        m_context.m_table.RecordLoaded(aEngine, m_call.m_callFields.m_target);
      }
      Choose();
    });
}

void EngineChoice::RequestWithinLimit(const EngineState& aState)
{
  if (aState.m_record.m_rateLimit <= 0) {
    m_listener.OnEngineChosen(aState);
    return;
  }
  const UpstreamId engine = aState.m_record.m_id;
  m_context.m_rates.RequestRate(
    engine,
    aState.m_record.m_rateLimit,
    [this, isAlive = m_isAlive, engine](const EngineRates::Grant& aGrant) {
      if (*isAlive && !m_isStopped) {
        HandleRateGrant(engine, aGrant);
      }
    });
}

void EngineChoice::HandleRateGrant(const UpstreamId& aEngine,
                                   const EngineRates::Grant& aGrant)
{
  const TimePoint now = m_context.m_clock.Now();
  const EngineState* state = m_context.m_table.Find(aEngine);
  if (aGrant.m_isGranted) {
    m_context.m_table.RecordRateGranted(aEngine);
  }
  const bool isUsable = aGrant.m_isGranted && state != nullptr &&
                        !state->BackOffEnd(now) && !state->IsLeaving() &&
                        m_call.m_deadline - now >= kMinTimeLeft;
  if (isUsable) {
    if (!StopIfHeld()) {
      m_listener.OnEngineChosen(*state);
    }
    return;
  }
  if (!aGrant.m_isGranted) {
    m_context.m_table.RecordRateDenied(aEngine, now + aGrant.m_retryAfter);
    ++m_rateDenials;
  }
  Choose();
}

bool EngineChoice::WaitExceedsTimeout(const EngineState& aState,
                                      TimePoint aNow) const
{
  return m_call.m_route->m_kind == CallKind::Stream &&
         CallPriority::WaitExceedsTimeout(
           *m_call.m_route,
           { m_call.Age(aNow),
             m_context.m_selector.ExpectedWait(aState, aNow) });
}

std::optional<EngineChoice::RetryTarget> EngineChoice::FindRetry()
{
  const EngineState* state =
    m_context.m_selector.Choose(Query(), m_context.m_clock.Now());
  const bool isLoadable =
    state == nullptr && !m_hasRequestedAdapter &&
    m_context.m_selector.LastError() == SelectError::AdapterMissing;
  return state != nullptr || isLoadable
           ? std::optional<RetryTarget>(RetryTarget{ state })
           : std::nullopt;
}

void EngineChoice::ChooseRetry(const RetryTarget& aTarget)
{
  if (aTarget.m_state == nullptr) {
    RequestAdapter(UpstreamId());
  } else {
    RequestWithinLimit(*aTarget.m_state);
  }
}

} // namespace celeryspread
