#include "gateway/gateway_call.h"

#include <algorithm>

#include "gateway/call_urgency.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Sends of one call, rejections included; more would only spend the budget.
constexpr uint32_t kMaxSends = 3;
/// A client that comes back after this finds a turned over batch.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(400);
/// Time in which a missing model or adapter is usually loaded.
constexpr Duration kMissingRetryAfter = std::chrono::milliseconds(1200);
/// Queues that are too long now last until another copy of the model is loaded,
/// which takes about three seconds; clients cut longer times to a third of what
/// they have left.
constexpr Duration kQueueRetryAfter = std::chrono::milliseconds(2500);
/// Engines with less than this part of their slots taken queue nothing.
constexpr uint32_t kShortQueueDivisor = 3;
/// Bytes that may wait for a slow client before the upstream is paused.
constexpr size_t kMaxPendingBytes = 65'536;
/// An attempt with less time left than this can't succeed.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);

bool IsSuccess(int aStatus)
{
  constexpr int kFirstRedirect = 300;
  return aStatus >= HttpStatus::kOk && aStatus < kFirstRedirect;
}

} // namespace

GatewayCall::GatewayCall(GatewayContext& aContext,
                         Parts aParts,
                         Finished aFinished)
  : m_context(aContext)
  , m_parts(std::move(aParts))
  , m_finished(std::move(aFinished))
{
}

GatewayCall::~GatewayCall()
{
  *m_isAlive = false;
  if (m_parts.m_caller != nullptr) {
    m_parts.m_caller->SetObserver(nullptr);
  }
}

bool GatewayCall::MayRepeat() const
{
  return m_parts.m_route->m_kind == CallKind::Idempotent ||
         m_parts.m_route->m_isResumable;
}

void GatewayCall::Start()
{
  m_parts.m_caller->SetObserver(this);
  m_context.m_retries.NoteCall(m_parts.m_pool, m_parts.m_arrivedAt);
  Attempt();
}

void GatewayCall::Attempt()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_parts.m_deadline - now < kMinTimeLeft) {
    HandleDeadline();
    return;
  }
  const SelectQuery query{ m_parts.m_pool, m_parts.m_facts.m_target, m_tried };
  const EngineState* state = m_context.m_selector.Choose(query, now);
  const bool isMiss = state == nullptr && m_context.m_selector.LastError() !=
                                            SelectError::NoUpstream;
  if (m_sends == 0 && !m_hasAskedForAdapter) {
    m_context.m_demand.NoteDemand(m_parts.m_pool, m_parts.m_facts.m_target);
    if (isMiss) {
      m_context.m_metrics.Count("celeryspread_gateway_misses_total");
    }
  }
  const bool mayAsk =
    !m_hasAskedForAdapter && !m_parts.m_facts.m_target.m_adapter.empty();
  if (mayAsk) {
    // Another engine may start the call sooner, the load of the adapter
    // included.
    const EngineState* better =
      m_context.m_selector.ChooseForAdapter(query, state, now);
    if (better != nullptr) {
      AskForAdapter(better->m_record.m_id);
      return;
    }
  }
  if (state != nullptr && IsHopeless(*state, now)) {
    Refuse("every engine that holds the target has too long a queue",
           kQueueRetryAfter);
    return;
  }
  if (state != nullptr) {
    Send(*state);
    return;
  }
  switch (m_context.m_selector.LastError()) {
    case SelectError::AdapterMissing:
      AskForAdapter(UpstreamId());
      return;
    case SelectError::ModelMissing:
      Refuse("no engine holds the model", kMissingRetryAfter);
      return;
    case SelectError::NoUpstream:
      Refuse("no upstream of the pool takes new calls", kBusyRetryAfter);
      return;
  }
}

void GatewayCall::AskForAdapter(const UpstreamId& aPreferred)
{
  if (m_hasAskedForAdapter) {
    Refuse("the adapter could not be loaded", kMissingRetryAfter);
    return;
  }
  m_hasAskedForAdapter = true;
  m_context.m_adapters.LoadAdapter(
    m_parts.m_pool,
    m_parts.m_facts.m_target,
    aPreferred,
    [this, isAlive = m_isAlive](const UpstreamId& aEngine) {
      if (!*isAlive || m_isFinished) {
        return;
      }
      if (!aEngine.IsEmpty()) {
        m_context.m_table.NoteLoaded(aEngine, m_parts.m_facts.m_target);
      }
      Attempt();
    });
}

void GatewayCall::Send(const EngineState& aState)
{
  const TimePoint now = m_context.m_clock.Now();
  const Duration left = m_parts.m_deadline - now;
  const EngineRecord& record = aState.m_record;
  AttemptFields fields;
  fields.m_upstream = record.m_id;
  fields.m_timeLeft = left;
  fields.m_lastEvent = m_events.LastId();
  if (m_parts.m_route->m_kind == CallKind::Stream) {
    fields.m_priority = CallUrgency::RankOf(
      *m_parts.m_route,
      { Age(now), EngineSelector::ExpectedWait(aState, now) });
  }
  UpstreamRequest request;
  request.m_address = record.m_address;
  request.m_method = m_parts.m_caller->Method();
  request.m_path = m_parts.m_caller->Path();
  if (!m_parts.m_caller->Query().empty()) {
    request.m_path += "?";
    request.m_path += m_parts.m_caller->Query();
  }
  request.m_headers =
    m_context.m_codec.AttemptHeaders(*m_parts.m_caller, fields);
  request.m_body = m_parts.m_caller->Body();
  request.m_firstByteTimeout = left;
  request.m_progressTimeout = left;
  m_upstream = record.m_id;
  m_tried.insert(record.m_id);
  m_attemptStartedAt = now;
  m_status = 0;
  m_isRejected = false;
  m_body.clear();
  ++m_sends;
  m_lastEventAt.reset();
  m_trail.Begin(aState, now);
  m_unreadPrompt = PromptWork();
  m_isTelling =
    aState.m_record.m_domain == m_context.m_domain &&
    aState.EstimatedLoad(now) < aState.m_record.m_slots / kShortQueueDivisor;
  m_context.m_table.NoteStart(m_upstream, m_unreadPrompt, now);
  m_context.m_demand.NoteRunning(m_parts.m_pool, m_parts.m_facts.m_target, 1);
  m_attempt = m_context.m_client.Start(std::move(request), *this);
}

Duration GatewayCall::PromptWork() const
{
  const CallFacts& facts = m_parts.m_facts;
  return m_context.m_promptCost.Of(facts.m_target.m_model,
                                   facts.m_promptTokens);
}

Duration GatewayCall::Age(TimePoint aNow) const
{
  // A client that came back has less patience left than its route grants.
  const Duration patience =
    m_parts.m_facts.m_patience.value_or(m_parts.m_route->m_timeout);
  const Duration before =
    std::max(Duration::zero(), m_parts.m_route->m_timeout - patience);
  return before + (aNow - m_parts.m_arrivedAt);
}

bool GatewayCall::IsHopeless(const EngineState& aState, TimePoint aNow) const
{
  return m_parts.m_route->m_kind == CallKind::Stream &&
         CallUrgency::IsHopeless(
           *m_parts.m_route,
           { Age(aNow), EngineSelector::ExpectedWait(aState, aNow) });
}

void GatewayCall::NoteFirstEvent(TimePoint aNow)
{
  m_context.m_table.NotePromptDone(m_upstream, m_unreadPrompt);
  m_unreadPrompt = Duration::zero();
  const CallFacts& facts = m_parts.m_facts;
  if (m_isTelling && !facts.m_target.m_model.empty()) {
    m_context.m_promptCost.Learn(
      facts.m_target.m_model, facts.m_promptTokens, aNow - m_attemptStartedAt);
  }
  m_isTelling = false;
}

void GatewayCall::NoteEvents()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_lastEventAt) {
    m_context.m_table.NoteEventGap(m_upstream, now - *m_lastEventAt, now);
  }
  m_lastEventAt = now;
  m_trail.NoteEvents(now);
}

void GatewayCall::CloseAttempt(AttemptEnd aEnd)
{
  if (m_upstream.IsEmpty()) {
    return;
  }
  m_context.m_table.NotePromptDone(m_upstream, m_unreadPrompt);
  m_context.m_demand.NoteRunning(m_parts.m_pool, m_parts.m_facts.m_target, -1);
  m_unreadPrompt = Duration::zero();
  const TimePoint now = m_context.m_clock.Now();
  m_trail.End(aEnd, now);
  m_context.m_table.NoteEnd(m_upstream, aEnd, now);
  m_upstream = UpstreamId();
  m_attempt.reset();
}

void GatewayCall::OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  const TimePoint now = m_context.m_clock.Now();
  m_status = aStatus;
  m_headers = aHeaders;
  m_answer = m_context.m_codec.ReadAnswer(aStatus, aHeaders);
  m_context.m_table.NoteHeard(m_upstream, now);
  if (m_answer.m_load) {
    m_context.m_table.NoteLoad(m_upstream, *m_answer.m_load, now);
  }
  const AttemptId& own = m_parts.m_facts.m_attempt;
  const bool isOthers =
    !m_answer.m_attempt.IsEmpty() && m_answer.m_attempt != own;
  m_isRejected = m_answer.m_isNotRun && !isOthers;
  if (m_isRejected) {
    return;
  }
  m_mayHaveRun = true;
  if (m_answer.m_attempt != own) {
    // Another call's answer on this connection, be it a rejection; ours may
    // still run there.
    HandleBrokenAttempt(true, "the answer belongs to another call");
    return;
  }
  const bool isStream =
    m_parts.m_route->m_kind == CallKind::Stream && IsSuccess(aStatus);
  if (!isStream) {
    return;
  }
  if (!m_answer.m_isSigned) {
    HandleBrokenAttempt(true, "the answer bears no signature");
    return;
  }
  NoteFirstEvent(now);
  if (!m_isStreaming) {
    m_isStreaming = true;
    m_parts.m_caller->StartStream(aStatus,
                                  m_context.m_codec.AnswerHeaders(aHeaders));
  }
}

void GatewayCall::OnUpstreamBody(std::string_view aBytes)
{
  m_context.m_table.NoteHeard(m_upstream, m_context.m_clock.Now());
  const bool isEvents = m_isStreaming && IsSuccess(m_status);
  if (!isEvents) {
    m_body += aBytes;
    return;
  }
  const std::string_view events = m_events.Feed(aBytes);
  if (m_events.IsOutOfOrder()) {
    Break("the resumed stream began at another event");
    return;
  }
  if (!events.empty()) {
    NoteEvents();
  }
  m_parts.m_caller->SendChunk(events);
  if (m_attempt != nullptr &&
      m_parts.m_caller->PendingBytes() > kMaxPendingBytes) {
    m_attempt->Pause();
  }
}

void GatewayCall::OnCallerDrained()
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
    if (m_events.HasRest()) {
      HandleBrokenAttempt(true, "the stream ended inside an event");
      return;
    }
    CloseAttempt(AttemptEnd::Answered);
    m_parts.m_caller->EndStream();
    LogEnd(EventId::CallEnded, m_status, "");
    Finish(m_status);
    return;
  }
  if (m_isStreaming) {
    // A resumed stream was answered with a failure.
    HandleBrokenAttempt(true, "the resumed stream failed");
    return;
  }
  DeliverWhole();
}

void GatewayCall::DeliverWhole()
{
  const bool isSuccess = IsSuccess(m_status);
  if (isSuccess && !m_answer.m_isSigned) {
    HandleBrokenAttempt(true, "the answer bears no signature");
    return;
  }
  const bool isUpstreamFault = m_status >= HttpStatus::kFirstServerError;
  CloseAttempt(AttemptEnd::Answered);
  if (isUpstreamFault && MayRepeat() && TryAgain(true)) {
    return;
  }
  m_parts.m_caller->Reply(
    m_status, m_context.m_codec.AnswerHeaders(m_headers), m_body);
  LogEnd(isUpstreamFault ? EventId::CallFailed : EventId::CallEnded,
         m_status,
         isUpstreamFault ? "the upstream's own failure" : "");
  Finish(m_status);
}

void GatewayCall::HandleRejection()
{
  const bool isMisdirected = m_answer.m_isMisdirected;
  const bool isPlain = m_parts.m_facts.m_target.m_model.empty();
  if (isMisdirected) {
    m_context.m_table.NoteMissing(m_upstream, m_parts.m_facts.m_target);
  }
  // A plain service that is not at its address any more is gone.
  CloseAttempt(isMisdirected && isPlain ? AttemptEnd::Failed
                                        : AttemptEnd::Rejected);
  if (m_isStreaming) {
    if (!TryAgain(false)) {
      Break("no other upstream took the rest of the stream");
    }
    return;
  }
  if (!TryAgain(false)) {
    Refuse("the upstreams are full", kBusyRetryAfter);
  }
}

void GatewayCall::OnUpstreamFailed(const UpstreamFailure& aFailure)
{
  if (m_isRejected) {
    HandleRejection();
    return;
  }
  HandleBrokenAttempt(aFailure.m_maySent, aFailure.m_reason);
}

void GatewayCall::HandleBrokenAttempt(bool aMayHaveRun,
                                      const std::string& aReason)
{
  m_mayHaveRun = m_mayHaveRun || aMayHaveRun;
  CloseAttempt(AttemptEnd::Failed);
  const bool mayRepeat = !aMayHaveRun || MayRepeat();
  if (mayRepeat && TryAgain(aMayHaveRun)) {
    return;
  }
  if (m_isStreaming) {
    Break(aReason);
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(aReason, kBusyRetryAfter);
    return;
  }
  Fail(HttpStatus::kBadGateway, aReason);
}

bool GatewayCall::TryAgain(bool aHasRun)
{
  m_runs += aHasRun ? 1 : 0;
  const TimePoint now = m_context.m_clock.Now();
  const bool isAllowed = m_runs < m_parts.m_route->m_maxAttempts &&
                         m_sends < kMaxSends &&
                         m_parts.m_deadline - now > kMinTimeLeft;
  if (!isAllowed) {
    return false;
  }
  const SelectQuery query{ m_parts.m_pool, m_parts.m_facts.m_target, m_tried };
  const EngineState* state = m_context.m_selector.Choose(query, now);
  const bool isLoadable =
    state == nullptr && !m_hasAskedForAdapter &&
    m_context.m_selector.LastError() == SelectError::AdapterMissing;
  if (state == nullptr && !isLoadable) {
    return false;
  }
  if (!m_context.m_retries.TryTake(m_parts.m_pool, now)) {
    return false;
  }
  if (m_isStreaming) {
    m_events.BeginResumed();
  }
  m_context.m_metrics.Count("celeryspread_gateway_retries_total");
  if (isLoadable) {
    AskForAdapter(UpstreamId());
  } else {
    Send(*state);
  }
  return true;
}

void GatewayCall::HandleDeadline()
{
  if (m_isFinished) {
    return;
  }
  const bool hasAttempt = !m_upstream.IsEmpty();
  CloseAttempt(AttemptEnd::Failed);
  if (m_isStreaming) {
    Break("the call's time is over");
    return;
  }
  if (hasAttempt || m_mayHaveRun) {
    Fail(HttpStatus::kGatewayTimeout, "the call's time is over");
    return;
  }
  Refuse("the call's time is over", kBusyRetryAfter);
}

void GatewayCall::OnCallerGone()
{
  if (m_isFinished) {
    return;
  }
  CloseAttempt(AttemptEnd::Cancelled);
  LogEnd(EventId::CallEnded, HttpStatus::kClientClosed, "the client left");
  Finish(HttpStatus::kClientClosed);
}

void GatewayCall::Refuse(const std::string& aReason, Duration aRetryAfter)
{
  if (m_isStreaming) {
    // The answer has begun; it can only be cut.
    Break(aReason);
    return;
  }
  if (m_mayHaveRun) {
    Fail(HttpStatus::kBadGateway, aReason);
    return;
  }
  LogEnd(EventId::CallRefused, HttpStatus::kUnavailable, aReason);
  m_parts.m_caller->Reply(
    HttpStatus::kUnavailable,
    m_context.m_codec.OwnHeaders(&m_parts.m_facts, aRetryAfter),
    "");
  Finish(HttpStatus::kUnavailable);
}

void GatewayCall::Fail(int aStatus, const std::string& aReason)
{
  LogEnd(EventId::CallFailed, aStatus, aReason);
  m_parts.m_caller->Reply(
    aStatus, m_context.m_codec.OwnHeaders(&m_parts.m_facts, std::nullopt), "");
  Finish(aStatus);
}

void GatewayCall::Break(const std::string& aReason)
{
  CloseAttempt(AttemptEnd::Failed);
  LogEnd(EventId::StreamBroken, m_status, aReason);
  m_parts.m_caller->Abort();
  Finish(m_status);
}

void GatewayCall::LogEnd(EventId aEvent,
                         int aStatus,
                         const std::string& aReason)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_context.m_clock.Now() - m_parts.m_arrivedAt);
  m_context.m_log.Write(
    aEvent,
    "request=" + m_parts.m_facts.m_attempt.Value() +
      " route=" + m_parts.m_route->m_id.Value() +
      " routes_version=" + std::to_string(m_parts.m_config->Version().Value()) +
      " pool=" + m_parts.m_pool.Value() +
      " model=" + m_parts.m_facts.m_target.m_model +
      " adapter=" + m_parts.m_facts.m_target.m_adapter + " status=" +
      std::to_string(aStatus) + " age_ms=" + std::to_string(age.count()) +
      " attempts=\"" + m_trail.Text() + "\" reason=\"" + aReason + "\"");
}

void GatewayCall::Finish(int aStatus)
{
  if (m_isFinished) {
    return;
  }
  m_isFinished = true;
  m_context.m_metrics.CountOutcome({ m_parts.m_route->m_id.Value(), aStatus });
  m_context.m_metrics.ObserveLatency({ m_parts.m_pool.Value(), "call" },
                                     m_context.m_clock.Now() -
                                       m_parts.m_arrivedAt);
  m_finished(*this);
}

} // namespace celeryspread
