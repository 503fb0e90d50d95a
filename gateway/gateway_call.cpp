#include "gateway/gateway_call.h"

#include <strings.h>

#include <algorithm>

#include "gateway/call_priority.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Attempts of one call, rejected ones included; more of them would only use up
/// the retry budget.
constexpr uint32_t kMaxDispatches = 3;
/// Denials of requests to limited engines after which a call goes to another
/// engine or is refused; each one costs a round trip to the owner.
constexpr uint32_t kMaxDenialsPerCall = 2;
/// After this time some calls of a full batch have ended.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(400);
/// Time in which a missing model or adapter is usually loaded.
constexpr Duration kMissingRetryAfter = std::chrono::milliseconds(1200);
/// A queue that is too long lasts until another copy of the model is loaded,
/// which takes about three seconds. Callers limit longer times to a third of
/// the time that they have left.
constexpr Duration kQueueRetryAfter = std::chrono::milliseconds(2500);
/// Engines with less than one part in this many of their slots taken have no
/// queue.
constexpr uint32_t kLightLoadDivisor = 3;
/// Bytes buffered for a slow caller above which the upstream is paused.
constexpr size_t kMaxPendingBytes = 65'536;
/// A longer answer that is no stream is given up. It is held in memory until it
/// is complete, and an upstream in trouble may send bytes without end.
constexpr size_t kMaxAnswerBytes = 8'388'608;
/// A rejection with a longer body is not waited for.
constexpr size_t kMaxRejectionBytes = 65'536;
/// An answer that has gone on for this long did not end its engine.
constexpr Duration kSoundAfter = std::chrono::seconds(1);
/// Shortest time after which a caller is asked to return while a part of its
/// prompt is held back.
constexpr Duration kMinHeldRetryAfter = std::chrono::seconds(1);
/// An attempt with less time left can't succeed.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);

bool IsSuccess(int aStatus)
{
  constexpr int kFirstRedirect = 300;
  return aStatus >= HttpStatus::kOk && aStatus < kFirstRedirect;
}

/// Whether callers take the status as a promise that the call did not run.
bool PromisesNoRun(int aStatus)
{
  return aStatus == HttpStatus::kUnavailable ||
         aStatus == HttpStatus::kTooManyRequests ||
         aStatus == HttpStatus::kRequestTimeout;
}

std::string HeaderValue(const HttpHeaders& aHeaders, const char* aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (strcasecmp(header.m_name.c_str(), aName) == 0) {
      return header.m_value;
    }
  }
  return {};
}

/// Whether the answer says itself where it ends. Another one ends with its
/// connection, so it looks complete when it was broken off.
bool IsFramed(const HttpHeaders& aHeaders)
{
  return !HeaderValue(aHeaders, "Content-Length").empty() ||
         !HeaderValue(aHeaders, "Transfer-Encoding").empty();
}

std::string PartsText(const PromptParts& aParts)
{
  std::string text;
  for (const PromptPartId& part : aParts) {
    text += (text.empty() ? "" : ",") + part.Value();
  }
  return text;
}

} // namespace

GatewayCall::GatewayCall(GatewayContext& aContext,
                         Input aInput,
                         FinishedCallback aFinished)
  : m_context(aContext)
  , m_input(std::move(aInput))
  , m_onFinished(std::move(aFinished))
  , m_heldBody(aContext.m_client.HeldBytes())
{
}

GatewayCall::~GatewayCall()
{
  *m_isAlive = false;
  SettleRetry(RetryFate::Unknown);
  if (m_input.m_caller != nullptr) {
    m_input.m_caller->SetObserver(nullptr);
  }
}

bool GatewayCall::MayRetryAfterRun() const
{
  return m_input.m_route->m_kind == CallKind::Idempotent ||
         m_input.m_route->m_isResumable;
}

void GatewayCall::Start()
{
  m_input.m_caller->SetObserver(this);
  m_context.m_retries.RecordCall(m_input.m_pool, m_input.m_arrivedAt);
  ChooseAndDispatch();
}

void GatewayCall::ChooseAndDispatch()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_input.m_deadline - now < kMinTimeLeft) {
    HandleDeadline();
    return;
  }
  if (RefuseIfHeld()) {
    return;
  }
  const SelectQuery query{ m_input.m_pool,
                           m_input.m_callFields.m_target,
                           m_tried,
                           m_rateDenials >= kMaxDenialsPerCall };
  const EngineState* state = m_context.m_selector.Choose(query, now);
  const bool isMiss = state == nullptr && m_context.m_selector.LastError() !=
                                            SelectError::NoUpstream;
  if (!m_isDemandRecorded) {
    m_isDemandRecorded = true;
    m_context.m_demand.RecordDemand(
      m_input.m_pool,
      m_input.m_callFields.m_target,
      m_context.m_prefill.BaseEstimate(m_input.m_callFields.m_target.m_model,
                                       m_input.m_callFields.m_promptTokens));
    if (isMiss) {
      m_context.m_metrics.Count("celeryspread_gateway_misses_total");
    }
  }
  const bool mayRequest =
    !m_hasRequestedAdapter && !m_input.m_callFields.m_target.m_adapter.empty();
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
  if (state != nullptr && WaitExceedsTimeout(*state, now)) {
    Refuse("the expected wait exceeds the caller's timeout on the best engine",
           kQueueRetryAfter);
    return;
  }
  if (state != nullptr) {
    DispatchWithinLimit(*state);
    return;
  }
  switch (m_context.m_selector.LastError()) {
    case SelectError::AdapterMissing:
      RequestAdapter(UpstreamId());
      return;
    case SelectError::ModelMissing:
      Refuse("no engine has the model loaded", kMissingRetryAfter);
      return;
    case SelectError::RateLimited:
      Refuse(
        "all engines with the model are at the limits that they named",
        std::max(kBusyRetryAfter, m_context.m_selector.AvailableAt() - now));
      return;
    case SelectError::BackingOff:
      Refuse("all engines that could serve the call asked for a back-off",
             m_context.m_selector.RetryAfterBackOff(now));
      return;
    case SelectError::NoUpstream:
      Refuse("no upstream of the pool accepts new calls", kBusyRetryAfter);
      return;
  }
}

bool GatewayCall::RefuseIfHeld()
{
  if (m_isTrial) {
    return false;
  }
  const PromptParts& parts = m_input.m_callFields.m_sharedParts;
  const QuarantineVerdict verdict = m_context.m_crashes.Check(parts);
  if (verdict.m_kind == QuarantineVerdict::Kind::Free) {
    return false;
  }
  m_context.m_metrics.Count("celeryspread_gateway_held_calls_total");
  const bool mayAsk =
    verdict.m_kind == QuarantineVerdict::Kind::TrialDue && !m_isAwaitingTrial;
  if (!mayAsk) {
    Refuse("engines ended under calls with prompt part " +
             verdict.m_part.Value() + ", which is held back",
           std::max(kMinHeldRetryAfter, verdict.m_heldFor));
    return true;
  }
  m_isAwaitingTrial = true;
  m_context.m_crashes.RequestTrial(
    verdict.m_part, [this, isAlive = m_isAlive](bool aIsPermitted) {
      if (!*isAlive || m_isFinished) {
        return;
      }
      m_isTrial = aIsPermitted;
      ChooseAndDispatch();
    });
  return true;
}

void GatewayCall::HandleHeldParts()
{
  const PromptParts& parts = m_input.m_callFields.m_sharedParts;
  const bool hasBegun = m_isStreaming || m_status != 0;
  if (m_isFinished || m_isTrial || m_isAwaitingTrial || hasBegun ||
      !m_context.m_crashes.IsWithdrawn(parts)) {
    return;
  }
  const std::string reason = "engines ended under calls with a prompt part "
                             "that is held back by now";
  if (!m_upstream.IsEmpty()) {
    m_mayHaveRun = true;
    CloseAttempt(AttemptOutcome::Cancelled);
  }
  Refuse(reason, kMinHeldRetryAfter);
}

void GatewayCall::RequestAdapter(const UpstreamId& aPreferred)
{
  if (m_hasRequestedAdapter) {
    Refuse("the adapter could not be loaded", kMissingRetryAfter);
    return;
  }
  m_hasRequestedAdapter = true;
  m_context.m_adapters.LoadAdapter(
    m_input.m_pool,
    m_input.m_callFields.m_target,
    aPreferred,
    [this, isAlive = m_isAlive](const UpstreamId& aEngine) {
      if (!*isAlive || m_isFinished) {
        return;
      }
      if (!aEngine.IsEmpty()) {
        m_context.m_table.RecordLoaded(aEngine, m_input.m_callFields.m_target);
      }
      ChooseAndDispatch();
    });
}

void GatewayCall::DispatchWithinLimit(const EngineState& aState)
{
  if (aState.m_record.m_rateLimit <= 0) {
    Dispatch(aState);
    return;
  }
  const UpstreamId engine = aState.m_record.m_id;
  m_context.m_rates.RequestRate(
    engine,
    aState.m_record.m_rateLimit,
    [this, isAlive = m_isAlive, engine](const EngineRates::Grant& aGrant) {
      if (*isAlive && !m_isFinished) {
        HandleRateGrant(engine, aGrant);
      }
    });
}

void GatewayCall::HandleRateGrant(const UpstreamId& aEngine,
                                  const EngineRates::Grant& aGrant)
{
  const TimePoint now = m_context.m_clock.Now();
  const EngineState* state = m_context.m_table.Find(aEngine);
  if (aGrant.m_isGranted) {
    m_context.m_table.RecordRateGranted(aEngine);
  }
  const bool isUsable = aGrant.m_isGranted && state != nullptr &&
                        !state->BackOffEnd(now) && !state->IsLeaving() &&
                        m_input.m_deadline - now >= kMinTimeLeft;
  if (isUsable) {
    if (!RefuseIfHeld()) {
      Dispatch(*state);
    }
    return;
  }
  if (!aGrant.m_isGranted) {
    m_context.m_table.RecordRateDenied(aEngine, now + aGrant.m_retryAfter);
    ++m_rateDenials;
  }
  ChooseAndDispatch();
}

void GatewayCall::Dispatch(const EngineState& aState)
{
  const TimePoint now = m_context.m_clock.Now();
  const Duration left = m_input.m_deadline - now;
  const EngineRecord& record = aState.m_record;
  AttemptFields fields;
  fields.m_upstream = record.m_id;
  fields.m_timeLeft = left;
  fields.m_lastEvent = m_events.LastId();
  if (m_input.m_route->m_kind == CallKind::Stream) {
    fields.m_priority = CallPriority::EnginePriority(
      *m_input.m_route,
      { Age(now), EngineSelector::ExpectedWait(aState, now) });
  }
  UpstreamRequest request;
  request.m_address = record.m_address;
  request.m_method = m_input.m_caller->Method();
  request.m_path = m_input.m_caller->Target();
  request.m_headers =
    m_context.m_codec.AttemptHeaders(*m_input.m_caller, fields);
  request.m_body = m_input.m_caller->Body();
  request.m_firstByteTimeout = left;
  request.m_progressTimeout = left;
  m_upstream = record.m_id;
  m_tried.insert(record.m_id);
  m_attemptStartedAt = now;
  m_status = 0;
  m_fate = RetryFate::Unknown;
  m_unprovenSince.reset();
  m_isRejected = false;
  ClearBody();
  ++m_dispatches;
  m_lastEventAt.reset();
  m_attemptLog.OpenAttempt(aState, now);
  m_pendingPrefill = ExpectedPrefill();
  m_isPrefillSample =
    aState.m_record.m_domain == m_context.m_domain &&
    aState.EstimatedLoad(now) < aState.m_record.m_slots / kLightLoadDivisor;
  m_context.m_table.RecordStart(m_upstream, m_pendingPrefill, now);
  m_context.m_demand.RecordRunning(
    m_input.m_pool, m_input.m_callFields.m_target, 1);
  m_attempt = m_context.m_client.Start(std::move(request), *this);
}

Duration GatewayCall::ExpectedPrefill() const
{
  const CallFields& callFields = m_input.m_callFields;
  return m_context.m_prefill.Estimate(callFields.m_target.m_model,
                                      callFields.m_promptTokens);
}

Duration GatewayCall::Age(TimePoint aNow) const
{
  // A caller that retries states less time than its route allows; the
  // difference is the age of the call.
  const Duration callerTimeout =
    m_input.m_callFields.m_callerTimeout.value_or(m_input.m_route->m_timeout);
  const Duration earlier =
    std::max(Duration::zero(), m_input.m_route->m_timeout - callerTimeout);
  return earlier + (aNow - m_input.m_arrivedAt);
}

bool GatewayCall::WaitExceedsTimeout(const EngineState& aState,
                                     TimePoint aNow) const
{
  return m_input.m_route->m_kind == CallKind::Stream &&
         CallPriority::WaitExceedsTimeout(
           *m_input.m_route,
           { Age(aNow), EngineSelector::ExpectedWait(aState, aNow) });
}

void GatewayCall::RecordFirstEvent(TimePoint aNow)
{
  m_context.m_table.RecordPrefillEnd(m_upstream, m_pendingPrefill);
  m_pendingPrefill = Duration::zero();
  const CallFields& callFields = m_input.m_callFields;
  if (m_isPrefillSample && !callFields.m_target.m_model.empty()) {
    m_context.m_prefill.AddSample(callFields.m_target.m_model,
                                  callFields.m_promptTokens,
                                  aNow - m_attemptStartedAt);
  }
  m_isPrefillSample = false;
}

void GatewayCall::RecordEvents()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_lastEventAt) {
    m_context.m_table.RecordEventGap(m_upstream, now - *m_lastEventAt, now);
  }
  m_lastEventAt = now;
  m_attemptLog.AddEvents(now);
}

void GatewayCall::CloseAttempt(AttemptOutcome aOutcome)
{
  if (m_upstream.IsEmpty()) {
    return;
  }
  m_context.m_table.RecordPrefillEnd(m_upstream, m_pendingPrefill);
  m_context.m_demand.RecordRunning(
    m_input.m_pool, m_input.m_callFields.m_target, -1);
  m_pendingPrefill = Duration::zero();
  const TimePoint now = m_context.m_clock.Now();
  m_attemptLog.CloseAttempt(aOutcome, now);
  m_context.m_table.RecordEnd(m_upstream, aOutcome, now);
  m_mayHaveArrived = m_mayHaveArrived || m_fate != RetryFate::NotSent;
  SettleRetry(m_fate);
  m_upstream = UpstreamId();
  m_attempt.reset();
}

void GatewayCall::SettleRetry(RetryFate aFate)
{
  if (m_holdsRetry) {
    m_holdsRetry = false;
    m_context.m_retries.RecordEnd(
      m_input.m_pool, aFate, m_context.m_clock.Now());
  }
}

void GatewayCall::ClearBody()
{
  // A new string, as clear() keeps the memory.
  m_body = std::string();
  m_bodyBytes = 0;
  m_heldBody.Set(0);
}

void GatewayCall::OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  const TimePoint now = m_context.m_clock.Now();
  m_status = aStatus;
  m_fate = RetryFate::Settled;
  SettleRetry(m_fate);
  m_headers = aHeaders;
  m_answer = m_context.m_codec.ReadAnswer(aStatus, aHeaders);
  m_context.m_table.RecordBytes(m_upstream, now);
  if (m_answer.m_load) {
    m_context.m_table.RecordLoad(m_upstream, *m_answer.m_load, now);
  }
  const AttemptId& own = m_input.m_callFields.m_attempt;
  // An answer without an id on a connection that has carried another call may
  // be a late copy of that call's answer.
  const bool isOwn = m_answer.m_attempt.IsEmpty()
                       ? !m_attempt->IsConnectionReused()
                       : m_answer.m_attempt == own;
  m_isRejected = m_answer.m_hasNotRun && isOwn;
  RecordStatements(isOwn, now);
  const bool namesLimits =
    m_answer.m_attempt == own && (m_answer.m_rateLimit || IsSuccess(aStatus));
  if (namesLimits && m_context.m_table.RecordRateLimit(
                       m_upstream, m_answer.m_rateLimit, now)) {
    m_context.m_rates.ReportRateLimitEnd(m_upstream);
  }
  if (m_isRejected) {
    return;
  }
  m_mayHaveRun = true;
  if (m_answer.m_attempt != own) {
    // The connection carries the answer to another call. Even if it is a
    // rejection, this call may still run on the upstream.
    HandleFailedAttempt(true, "the answer belongs to another call");
    return;
  }
  m_unprovenSince = now;
  const bool isStream =
    m_input.m_route->m_kind == CallKind::Stream && IsSuccess(aStatus);
  if (!isStream) {
    return;
  }
  if (!m_answer.m_isSigned) {
    HandleFailedAttempt(true, "the answer bears no signature");
    return;
  }
  const std::string type = HeaderValue(aHeaders, "Content-Type");
  if (m_isStreaming && type != m_streamType) {
    HandleFailedAttempt(true, "the resumed answer is another kind of content");
    return;
  }
  RecordFirstEvent(now);
  m_attemptLog.RecordBegin(now);
  if (!m_isStreaming) {
    m_isStreaming = true;
    m_streamType = type;
    m_input.m_caller->StartStream(aStatus,
                                  m_context.m_codec.AnswerHeaders(aHeaders));
  }
}

void GatewayCall::RecordStatements(bool aIsOwn, TimePoint aNow)
{
  if (!aIsOwn) {
    return;
  }
  if (m_answer.m_isLeaving) {
    m_context.m_table.RecordLeaving(m_upstream);
  }
  if (m_answer.m_backOff) {
    m_context.m_table.RecordBackOff(m_upstream, aNow + *m_answer.m_backOff);
  } else {
    m_context.m_table.RecordBackOffOver(m_upstream, m_attemptStartedAt);
  }
}

void GatewayCall::OnUpstreamBody(std::string_view aBytes)
{
  m_context.m_table.RecordBytes(m_upstream, m_context.m_clock.Now());
  const bool isEvents = m_isStreaming && IsSuccess(m_status);
  if (!isEvents) {
    AppendBody(aBytes);
    return;
  }
  const std::string_view events = m_events.Feed(aBytes);
  const bool isWithinBudget = m_heldBody.Set(m_events.PartialBytes());
  if (m_events.IsOversized() || !isWithinBudget) {
    HandleEndlessAnswer();
    return;
  }
  if (m_events.IsOutOfOrder()) {
    AbortStream("the resumed stream did not continue after the last event");
    return;
  }
  if (!events.empty()) {
    RecordEvents();
    if (m_unprovenSince &&
        m_context.m_clock.Now() - *m_unprovenSince >= kSoundAfter) {
      RecordSound();
    }
  }
  m_input.m_caller->SendChunk(events);
  if (m_attempt != nullptr &&
      m_input.m_caller->PendingBytes() > kMaxPendingBytes) {
    m_attempt->Pause();
  }
}

void GatewayCall::AppendBody(std::string_view aBytes)
{
  // The body of a rejection is never passed on, only bounded.
  m_bodyBytes += aBytes.size();
  const size_t limit = m_isRejected ? kMaxRejectionBytes : kMaxAnswerBytes;
  const bool isWithinBudget =
    m_isRejected || m_heldBody.Set(m_body.size() + aBytes.size());
  if (m_bodyBytes > limit || !isWithinBudget) {
    HandleEndlessAnswer();
    return;
  }
  if (!m_isRejected) {
    m_body += aBytes;
  }
}

void GatewayCall::HandleEndlessAnswer()
{
  ClearBody();
  if (m_isRejected) {
    // The headers said already that the request did not run.
    HandleRejection();
    return;
  }
  HandleFailedAttempt(true, "the upstream's answer has no end");
}

void GatewayCall::OnOutputDrained()
{
  if (m_attempt != nullptr) {
    m_attempt->Resume();
  }
}

void GatewayCall::OnUpstreamEnd()
{
  if (m_isRejected) {
    HandleRejection();
    return;
  }
  const bool isEvents = m_isStreaming && IsSuccess(m_status);
  if (isEvents) {
    if (m_events.HasPartialEvent()) {
      HandleBrokenAnswer("the stream ended inside an event");
      return;
    }
    // A stream that ends with its connection may end early without an error.
    const bool mayBeEmpty = !m_events.LastId().empty() && IsFramed(m_headers);
    if (!m_lastEventAt && !mayBeEmpty) {
      HandleBrokenAnswer("the stream ended before its first event");
      return;
    }
    RecordSound();
    CloseAttempt(AttemptOutcome::Answered);
    m_input.m_caller->EndStream();
    LogEnd(EventId::CallEnded, m_status, "");
    Finish(m_status);
    return;
  }
  if (m_isStreaming) {
    // The upstream answered the resumed stream with an error.
    HandleFailedAttempt(
      true, "the upstream answered the resumed stream with an error");
    return;
  }
  DeliverAnswer();
}

void GatewayCall::DeliverAnswer()
{
  const bool isSuccess = IsSuccess(m_status);
  if (isSuccess && !m_answer.m_isSigned) {
    HandleFailedAttempt(true, "the answer bears no signature");
    return;
  }
  const bool isUpstreamFault = m_status >= HttpStatus::kFirstServerError;
  RecordSound();
  CloseAttempt(isUpstreamFault ? AttemptOutcome::Erred
                               : AttemptOutcome::Answered);
  if (isUpstreamFault && MayRetryAfterRun() && TryRetry(true)) {
    return;
  }
  if (PromisesNoRun(m_status)) {
    Fail(HttpStatus::kBadGateway,
         "the upstream refused the call without proof that it did not run");
    return;
  }
  m_input.m_caller->Reply(
    m_status, m_context.m_codec.AnswerHeaders(m_headers), m_body);
  LogEnd(isUpstreamFault ? EventId::CallFailed : EventId::CallEnded,
         m_status,
         isUpstreamFault ? "the upstream answered with an error" : "");
  Finish(m_status);
}

void GatewayCall::HandleRejection()
{
  const bool isMisdirected = m_answer.m_isMisdirected;
  const bool isPlain = m_input.m_callFields.m_target.m_model.empty();
  if (isMisdirected) {
    m_context.m_table.RecordMissing(m_upstream, m_input.m_callFields.m_target);
  }
  // A plain service whose address now belongs to another upstream is gone.
  CloseAttempt(!isMisdirected ? AttemptOutcome::Rejected
               : isPlain      ? AttemptOutcome::Failed
                              : AttemptOutcome::Misdirected);
  if (m_isStreaming) {
    if (!TryRetry(false)) {
      AbortStream("the resumed stream was rejected and no retry is possible");
    }
    return;
  }
  if (!TryRetry(false)) {
    Refuse("the attempt was rejected and no retry is possible",
           kBusyRetryAfter);
  }
}

void GatewayCall::OnUpstreamFailed(const UpstreamFailure& aFailure)
{
  const bool isClosed =
    aFailure.m_kind == UpstreamFailureKind::ConnectionLost ||
    aFailure.m_hasResponseBytes;
  if (!aFailure.m_mayHaveSentBytes) {
    m_fate = RetryFate::NotSent;
  } else if (isClosed) {
    m_fate = RetryFate::Settled;
  }
  if (m_isRejected) {
    HandleRejection();
    return;
  }
  if (aFailure.m_kind != UpstreamFailureKind::ConnectionLost) {
    HandleFailedAttempt(aFailure.m_mayHaveSentBytes, aFailure.m_reason);
    return;
  }
  if (m_status == 0 && aFailure.m_hasResponseBytes) {
    // The engine had begun to write the headers.
    m_unprovenSince = m_context.m_clock.Now();
  }
  if (m_status != 0 || aFailure.m_hasResponseBytes) {
    HandleBrokenAnswer(aFailure.m_reason);
    return;
  }
  const UpstreamId engine = m_upstream;
  CloseAttempt(AttemptOutcome::Failed);
  m_context.m_crashes.RecordUnansweredBreak(engine,
                                            m_input.m_callFields.m_sharedParts);
  HandleFailedAttempt(aFailure.m_mayHaveSentBytes, aFailure.m_reason);
}

void GatewayCall::RecordSound()
{
  // An error says nothing about an answer: something in front of the engine may
  // have written it.
  if (m_unprovenSince && IsSuccess(m_status)) {
    m_context.m_crashes.RecordSound(m_input.m_callFields.m_sharedParts,
                                    *m_unprovenSince);
    m_unprovenSince.reset();
  }
}

void GatewayCall::HandleBrokenAnswer(const std::string& aReason)
{
  if (!m_unprovenSince) {
    HandleFailedAttempt(true, aReason);
    return;
  }
  const TimePoint begunAt = *m_unprovenSince;
  const UpstreamId engine = m_upstream;
  m_mayHaveRun = true;
  CloseAttempt(AttemptOutcome::Failed);
  const bool mayRetry = MayRetryAfterRun();
  m_context.m_crashes.RecordBreak(
    engine,
    m_input.m_callFields.m_sharedParts,
    begunAt,
    [this, isAlive = m_isAlive, mayRetry, aReason](bool aHasEngineEnded) {
      if (mayRetry && *isAlive && !m_isFinished) {
        FinishFailedAttempt(!aHasEngineEnded, true, aReason);
      }
    });
  if (!mayRetry && !m_isFinished) {
    FinishFailedAttempt(false, true, aReason);
  }
}

void GatewayCall::HandleFailedAttempt(bool aMayHaveRun,
                                      const std::string& aReason)
{
  m_mayHaveRun = m_mayHaveRun || aMayHaveRun;
  CloseAttempt(AttemptOutcome::Failed);
  FinishFailedAttempt(!aMayHaveRun || MayRetryAfterRun(), aMayHaveRun, aReason);
}

void GatewayCall::FinishFailedAttempt(bool aMayRetry,
                                      bool aMayHaveRun,
                                      const std::string& aReason)
{
  if (aMayRetry && TryRetry(aMayHaveRun)) {
    return;
  }
  if (m_isStreaming) {
    AbortStream(aReason);
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(aReason, kBusyRetryAfter);
    return;
  }
  Fail(HttpStatus::kBadGateway, aReason);
}

bool GatewayCall::TryRetry(bool aMayHaveRun)
{
  m_possibleRuns += aMayHaveRun ? 1 : 0;
  const TimePoint now = m_context.m_clock.Now();
  const bool isAllowed = m_possibleRuns < m_input.m_route->m_maxRuns &&
                         m_dispatches < kMaxDispatches &&
                         m_input.m_deadline - now > kMinTimeLeft;
  const bool isHeld =
    m_context.m_crashes.Check(m_input.m_callFields.m_sharedParts).m_kind !=
    QuarantineVerdict::Kind::Free;
  if (!isAllowed || (isHeld && (aMayHaveRun || !m_isTrial))) {
    return false;
  }
  const SelectQuery query{ m_input.m_pool,
                           m_input.m_callFields.m_target,
                           m_tried,
                           m_rateDenials >= kMaxDenialsPerCall };
  const EngineState* state = m_context.m_selector.Choose(query, now);
  const bool isLoadable =
    state == nullptr && !m_hasRequestedAdapter &&
    m_context.m_selector.LastError() == SelectError::AdapterMissing;
  if (state == nullptr && !isLoadable) {
    return false;
  }
  // An attempt after some that never reached an upstream is a first one there.
  if (m_mayHaveArrived) {
    if (!m_context.m_retries.TryTake(m_input.m_pool, now)) {
      m_context.m_metrics.Count("celeryspread_gateway_retries_denied_total");
      return false;
    }
    m_holdsRetry = true;
  }
  if (m_isStreaming) {
    m_events.ExpectResume();
  }
  m_context.m_metrics.Count("celeryspread_gateway_retries_total");
  if (isLoadable) {
    RequestAdapter(UpstreamId());
  } else {
    DispatchWithinLimit(*state);
  }
  return true;
}

void GatewayCall::HandleDeadline()
{
  if (m_isFinished) {
    return;
  }
  const bool hasAttempt = !m_upstream.IsEmpty();
  CloseAttempt(AttemptOutcome::Failed);
  if (m_isStreaming) {
    AbortStream("deadline exceeded");
    return;
  }
  if (hasAttempt || m_mayHaveRun) {
    Fail(HttpStatus::kGatewayTimeout, "deadline exceeded");
    return;
  }
  Refuse("deadline exceeded", kBusyRetryAfter);
}

void GatewayCall::OnCallerDisconnected()
{
  if (m_isFinished) {
    return;
  }
  CloseAttempt(AttemptOutcome::Cancelled);
  LogEnd(
    EventId::CallEnded, HttpStatus::kClientClosed, "the caller disconnected");
  Finish(HttpStatus::kClientClosed);
}

void GatewayCall::Refuse(const std::string& aReason, Duration aRetryAfter)
{
  if (m_isStreaming) {
    // The answer has begun, so the stream can only be cut off.
    AbortStream(aReason);
    return;
  }
  if (m_mayHaveRun) {
    Fail(HttpStatus::kBadGateway, aReason);
    return;
  }
  LogEnd(EventId::CallRefused, HttpStatus::kUnavailable, aReason);
  m_input.m_caller->Reply(
    HttpStatus::kUnavailable,
    m_context.m_codec.GatewayAnswerHeaders(&m_input.m_callFields, aRetryAfter),
    "");
  Finish(HttpStatus::kUnavailable);
}

void GatewayCall::Fail(int aStatus, const std::string& aReason)
{
  LogEnd(EventId::CallFailed, aStatus, aReason);
  m_input.m_caller->Reply(
    aStatus,
    m_context.m_codec.GatewayAnswerHeaders(&m_input.m_callFields, std::nullopt),
    "");
  Finish(aStatus);
}

void GatewayCall::AbortStream(const std::string& aReason)
{
  CloseAttempt(AttemptOutcome::Failed);
  LogEnd(EventId::StreamBroken, m_status, aReason);
  m_input.m_caller->Abort();
  Finish(m_status);
}

void GatewayCall::LogEnd(EventId aEvent,
                         int aStatus,
                         const std::string& aReason)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_context.m_clock.Now() - m_input.m_arrivedAt);
  m_context.m_log.Write(
    aEvent,
    "request=" + m_input.m_callFields.m_attempt.Value() +
      " route=" + m_input.m_route->m_id.Value() +
      " routes_version=" + std::to_string(m_input.m_config->Version().Value()) +
      " pool=" + m_input.m_pool.Value() +
      " model=" + m_input.m_callFields.m_target.m_model +
      " adapter=" + m_input.m_callFields.m_target.m_adapter +
      " parts=" + PartsText(m_input.m_callFields.m_sharedParts) + " status=" +
      std::to_string(aStatus) + " age_ms=" + std::to_string(age.count()) +
      " attempts=\"" + m_attemptLog.Text() + "\" reason=\"" + aReason + "\"");
}

void GatewayCall::Finish(int aStatus)
{
  if (m_isFinished) {
    return;
  }
  m_isFinished = true;
  // The call ends before the attempt that the retry was for.
  SettleRetry(RetryFate::NotSent);
  m_context.m_metrics.CountOutcome({ m_input.m_route->m_id.Value(), aStatus });
  m_context.m_metrics.ObserveLatency({ m_input.m_pool.Value(), "call" },
                                     m_context.m_clock.Now() -
                                       m_input.m_arrivedAt);
  m_onFinished(*this);
}

} // namespace celeryspread
