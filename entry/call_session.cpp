#include "entry/call_session.h"

#include <algorithm>

#include <strings.h>

#include <nlohmann/json.hpp>

#include "core/key_hash.h"
#include "entry/call_errors.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Highest value of X-Request-Priority; engines serve higher values first.
constexpr double kMaxPriority = 1'000;
/// Estimated time that one token occupies an engine slot. Calls are ranked
/// against each other only, so another value would give the same ranks.
constexpr Duration kSlotTimePerToken = std::chrono::milliseconds(39);
/// Largest answer that is buffered; only event streams are relayed unbuffered.
constexpr size_t kMaxBufferedAnswerBytes = 16'777'216;

std::string HeaderValue(const HttpHeaders& aHeaders, const char* aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (strcasecmp(header.m_name.c_str(), aName) == 0) {
      return header.m_value;
    }
  }
  return {};
}

} // namespace

CallSession::CallSession(EntryContext& aContext,
                         std::unique_ptr<CallerCall> aCaller,
                         PreparedCall aCall,
                         Span aSpan,
                         FinishedCallback aOnFinished)
  : m_context(aContext)
  , m_caller(std::move(aCaller))
  , m_call(std::move(aCall))
  , m_span(std::move(aSpan))
  , m_onFinished(std::move(aOnFinished))
  , m_retryPolicy(aContext.m_retryBudget)
{
  m_caller->SetObserver(this);
}

CallSession::~CallSession()
{
  *m_isAlive = false;
}

bool CallSession::NeedsClaim() const
{
  return !m_call.m_isIdempotent && !m_call.m_claimKey.IsEmpty();
}

void CallSession::Start()
{
  m_context.m_retryBudget.RecordFirstAttempt(
    m_call.m_settings.Get(SettingKey::RetryBudgetPercent));
  if (NeedsClaim()) {
    RequestClaim();
    return;
  }
  Route();
}

void CallSession::RequestClaim()
{
  m_claim.m_service = m_call.m_service;
  m_claim.m_key = m_call.m_claimKey;
  m_claim.m_requestHash =
    ContentHash(m_call.m_method + " " + m_call.MetricLabel() + " " +
                m_call.m_path + "\n" + m_call.m_body);
  m_claim.m_attemptId = m_span.m_context.m_traceId + m_span.m_context.m_spanId;
  m_claim.m_retention = std::chrono::milliseconds(
    m_call.m_settings.Get(SettingKey::ClaimRetentionMs));
  ClaimService& claims = m_context.m_claims;
  claims.Claim(m_claim,
               [this, isAlive = m_isAlive, &claims, request = m_claim](
                 const ClaimReply& aReply) {
                 if (*isAlive && !m_isFinished) {
                   HandleClaim(aReply);
                   return;
                 }
                 // The call ended while the claim was pending, so nothing was
                 // sent.
                 if (aReply.m_verdict == ClaimVerdict::Granted) {
                   claims.Close(request, ClaimOutcome::NotRun, {}, [](bool) {});
                 }
               });
}

void CallSession::HandleClaim(const ClaimReply& aReply)
{
  if (aReply.m_verdict == ClaimVerdict::Granted) {
    m_holdsClaim = true;
    Route();
    return;
  }
  if (aReply.m_verdict == ClaimVerdict::Answered) {
    ReplyWithAnswer(aReply.m_answer);
    return;
  }
  ReplyError(ErrorForClaim(aReply.m_verdict));
}

SizeQuery CallSession::BuildSizeQuery() const
{
  return { m_call.m_service, m_call.MetricLabel(), m_call.m_maxTokens };
}

RouteQuery CallSession::BuildRouteQuery() const
{
  RouteQuery query;
  if (m_call.m_plainService.IsEmpty()) {
    query.m_engineName = m_call.m_target.EngineName();
  }
  query.m_plainService = m_call.m_plainService;
  query.m_tried = m_tried;
  query.m_remotePenalty = std::chrono::milliseconds(
    m_call.m_settings.Get(SettingKey::RemoteDomainPenaltyMs));
  query.m_maxQueued =
    static_cast<uint32_t>(m_call.m_settings.Get(SettingKey::MaxQueuedCalls));
  return query;
}

void CallSession::Route()
{
  const std::optional<UpstreamId> chosen =
    m_context.m_router.Choose(BuildRouteQuery(), m_context.m_clock.Now());
  if (!chosen) {
    ReplyRouteError();
    return;
  }
  if (m_attemptCount == 0 && !Admit(*chosen)) {
    return;
  }
  StartAttempt(*chosen);
}

bool CallSession::Admit(const UpstreamId& aUpstream)
{
  const UpstreamState& state = *m_context.m_upstreamTable.All().at(aUpstream);
  const auto tokens =
    static_cast<int64_t>(m_context.m_sizePredictor.Predict(BuildSizeQuery()));
  AdmissionQuery query;
  query.m_utility = m_call.m_settings.Get(SettingKey::Worth);
  query.m_work = kSlotTimePerToken * tokens;
  query.m_expectedWait = m_context.m_router.LastExpectedWait();
  query.m_timeLeft = m_call.m_deadline - m_context.m_clock.Now();
  query.m_load = state.EstimatedLoad();
  query.m_slots = state.m_declaration.m_slots;
  query.m_maxQueued =
    static_cast<uint32_t>(m_call.m_settings.Get(SettingKey::MaxQueuedCalls));
  m_rank = m_context.m_gate.Rank(query.m_utility, query.m_work);
  if (m_context.m_gate.TryAdmit(m_rank, query)) {
    return true;
  }
  ReplyError(ErrorForAdmission(m_context.m_gate.LastError()));
  return false;
}

void CallSession::StartFirstTokenTimer()
{
  const bool isMovable = m_awaitsFirstToken && m_call.m_isIdempotent &&
                         !m_hasAnswerBegun && m_call.m_plainService.IsEmpty();
  if (!isMovable) {
    return;
  }
  m_firstTokenTimer = m_context.m_timers.After(
    m_context.m_router.FirstTokenTimeout(BuildRouteQuery()),
    [this] { HandleSlowFirstToken(); });
}

void CallSession::HandleSlowFirstToken()
{
  if (!m_awaitsFirstToken || m_isFinished) {
    return;
  }
  const auto freeUpstream = m_context.m_router.ChooseWithFreeSlot(
    BuildRouteQuery(), m_context.m_clock.Now());
  if (!freeUpstream || !m_context.m_retryBudget.TryTake()) {
    return;
  }
  m_mayHaveRun = true;
  m_context.m_metrics.Count("celeryspread_moved_calls_total");
  EndAttempt(AttemptResult::Cancelled);
  StartAttempt(*freeUpstream);
}

void CallSession::RecordFirstByte()
{
  m_firstTokenTimer.reset();
  if (m_awaitsFirstToken) {
    m_awaitsFirstToken = false;
    m_context.m_upstreamTable.RecordFirstToken(
      m_upstream, m_attemptStart, m_context.m_clock.Now());
  }
}

void CallSession::ReplyRouteError()
{
  const RetryVerdict verdict = RetryPolicy::FinalVerdict(DescribeFailure());
  ReplyError(ErrorForRoute(m_context.m_router.LastError(), OutcomeOf(verdict)));
}

UpstreamRequest CallSession::BuildRequest(const UpstreamState& aState) const
{
  const Duration remaining = m_call.m_deadline - m_context.m_clock.Now();
  UpstreamRequest request;
  request.m_address = { aState.m_declaration.m_address,
                        aState.m_declaration.m_port };
  request.m_method = m_call.m_method;
  request.m_path = m_call.m_path;
  request.m_headers = m_call.m_headers;
  request.m_headers.push_back(
    { "traceparent", m_attemptSpan.m_context.Header() });
  request.m_headers.push_back(
    { "X-Request-Priority",
      std::to_string(static_cast<int>(m_rank * kMaxPriority)) });
  request.m_headers.push_back(
    { "X-Request-Deadline-Ms",
      std::to_string(std::max<int64_t>(
        1,
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining)
          .count())) });
  request.m_body = m_resumeBody.empty() ? m_call.m_body : m_resumeBody;
  request.m_firstByteTimeout = std::chrono::milliseconds(
    m_call.m_settings.Get(SettingKey::FirstByteTimeoutMs));
  request.m_progressTimeout = std::chrono::milliseconds(
    m_call.m_settings.Get(SettingKey::ProgressTimeoutMs));
  request.m_mayReuseConnection = m_call.m_isIdempotent;
  return request;
}

void CallSession::StartAttempt(const UpstreamId& aUpstream)
{
  const UpstreamState& state = *m_context.m_upstreamTable.All().at(aUpstream);
  m_upstream = aUpstream;
  m_tried.insert(aUpstream);
  ++m_attemptCount;
  m_attemptStart = m_context.m_clock.Now();
  m_attemptSpan = m_context.m_tracer.StartChild("upstream", m_span.m_context);
  m_attemptSpan.m_attributes.push_back({ "upstream", aUpstream.Value() });
  m_status = 0;
  m_answer.clear();
  m_scanner = SseScanner();
  m_context.m_upstreamTable.RecordStart(aUpstream, m_attemptStart);
  // Without streaming, the first byte arrives with the complete answer and
  // does not show when the first token was ready.
  m_awaitsFirstToken = m_call.m_wantsStream;
  if (m_awaitsFirstToken) {
    m_context.m_upstreamTable.RecordAwaitingFirstToken(aUpstream,
                                                       m_attemptStart);
  }
  m_attempt = m_context.m_client.Start(BuildRequest(state), *this);
  StartFirstTokenTimer();
}

void CallSession::EndAttempt(AttemptResult aResult)
{
  if (m_attempt == nullptr) {
    return;
  }
  m_attempt.reset();
  RecordFirstByte();
  const TimePoint now = m_context.m_clock.Now();
  const HealthChange change = m_context.m_upstreamTable.RecordEnd(
    m_upstream, aResult, now - m_attemptStart, now);
  if (change != HealthChange::None) {
    m_context.m_log.Write(change == HealthChange::Ejected
                            ? EventId::UpstreamEjected
                            : EventId::UpstreamReturned,
                          "upstream=" + m_upstream.Value());
  }
  m_context.m_metrics.ObserveLatency({ m_call.MetricLabel(), "upstream" },
                                     now - m_attemptStart);
  m_context.m_tracer.Finish(m_attemptSpan);
}

void CallSession::OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  m_status = aStatus;
  m_answerHeaders = aHeaders;
  m_isStream =
    m_call.m_wantsStream && aStatus == HttpStatus::kOk &&
    HeaderValue(aHeaders, "Content-Type").starts_with("text/event-stream");
}

void CallSession::OnUpstreamBody(std::string_view aBytes)
{
  RecordFirstByte();
  if (!m_hasFirstByte) {
    m_hasFirstByte = true;
    m_context.m_metrics.ObserveLatency({ m_call.MetricLabel(), "first_byte" },
                                       m_context.m_clock.Now() -
                                         m_call.m_arrivedAt);
  }
  if (m_isStream) {
    RelayStream(aBytes);
    return;
  }
  if (m_hasAnswerBegun) {
    // The caller has part of an event stream, which a body of another type
    // cannot continue. OnUpstreamEnd() fails the attempt.
    return;
  }
  if (m_answer.size() + aBytes.size() > kMaxBufferedAnswerBytes) {
    FailAttempt(true, "the upstream's answer is too large");
    return;
  }
  m_answer += aBytes;
}

void CallSession::RelayStream(std::string_view aBytes)
{
  const std::string_view events = m_scanner.Feed(aBytes);
  if (!events.empty()) {
    if (!m_hasAnswerBegun) {
      m_hasAnswerBegun = true;
      m_caller->StartStream(HttpStatus::kOk,
                            { { "Content-Type", "text/event-stream" },
                              { "Cache-Control", "no-cache" } });
    }
    m_caller->SendChunk(events);
    m_resume.Record(events);
  }
  if (m_scanner.IsMalformed()) {
    FailAttempt(true, "the upstream sent bytes that are no event stream");
    return;
  }
  const auto limit =
    static_cast<size_t>(m_call.m_settings.Get(SettingKey::StreamBufferBytes));
  if (m_attempt != nullptr && m_caller->PendingBytes() > limit) {
    m_attempt->Pause();
  }
}

void CallSession::OnOutputDrained()
{
  if (m_attempt != nullptr) {
    m_attempt->Resume();
  }
}

void CallSession::OnUpstreamEnd()
{
  if (m_isStream) {
    if (!m_scanner.IsDone()) {
      FailAttempt(true, "the stream ended without its last event");
      return;
    }
    EndAttempt(AttemptResult::Answered);
    m_context.m_sizePredictor.RecordAnswer(BuildSizeQuery(),
                                           m_scanner.EventCount());
    m_caller->EndStream();
    Finish(HttpStatus::kOk);
    return;
  }
  if (m_hasAnswerBegun) {
    FailAttempt(true, "the upstream did not go on with the stream");
    return;
  }
  if (m_status >= HttpStatus::kFirstServerError) {
    // Without this header, the upstream may have started the work. On a
    // connection that was used before, it may be the copy of another call's.
    // Only idempotent calls use one, and these may be repeated in any case.
    const bool isConfirmedNotRun =
      HeaderValue(m_answerHeaders, "X-Outcome") == "not_run" &&
      !m_attempt->IsConnectionReused();
    FailAttempt(!isConfirmedNotRun,
                "the upstream answered " + std::to_string(m_status));
    return;
  }
  const bool isMalformed = m_call.m_plainService.IsEmpty() &&
                           m_status == HttpStatus::kOk &&
                           !nlohmann::json::accept(m_answer);
  if (isMalformed) {
    FailAttempt(true, "the upstream's answer is no JSON");
    return;
  }
  EndAttempt(AttemptResult::Answered);
  DeliverBufferedAnswer();
}

void CallSession::OnUpstreamFailed(const UpstreamFailure& aFailure)
{
  FailAttempt(aFailure.m_mayHaveSentBytes, aFailure.m_reason);
}

FailedAttempt CallSession::DescribeFailure() const
{
  FailedAttempt failed;
  failed.m_attemptCount = m_attemptCount;
  failed.m_maxAttempts = m_call.m_settings.Get(SettingKey::MaxAttempts);
  failed.m_isIdempotent = m_call.m_isIdempotent;
  failed.m_mayHaveRun = m_mayHaveRun;
  failed.m_hasAnswerBegun = m_hasAnswerBegun;
  failed.m_now = m_context.m_clock.Now();
  failed.m_deadline = m_call.m_deadline;
  return failed;
}

void CallSession::FailAttempt(bool aMayHaveRun, const std::string& aReason)
{
  EndAttempt(AttemptResult::Failed);
  m_mayHaveRun = m_mayHaveRun || aMayHaveRun;
  if (m_hasAnswerBegun) {
    HandleStreamFailure(aReason);
    return;
  }
  const RetryVerdict verdict = m_retryPolicy.Decide(DescribeFailure());
  if (verdict == RetryVerdict::Retry) {
    m_context.m_metrics.Count("celeryspread_retries_total");
    Route();
    return;
  }
  m_context.m_log.Write(EventId::CallFailed,
                        "upstream=" + m_upstream.Value() + " trace=" +
                          m_span.m_context.m_traceId + " reason=" + aReason);
  ReplyError(MakeCallError(
    HttpStatus::kBadGateway, "upstream_failed", aReason, OutcomeOf(verdict)));
}

void CallSession::HandleStreamFailure(const std::string& aReason)
{
  if (m_resume.IsAnswerComplete()) {
    // The answer is complete; only the final [DONE] event is missing.
    m_caller->SendChunk("data: [DONE]\n\n");
    m_caller->EndStream();
    Finish(HttpStatus::kOk);
    return;
  }
  if (TryResume()) {
    return;
  }
  EndStreamWithError(aReason);
}

bool CallSession::TryResume()
{
  FailedAttempt failed = DescribeFailure();
  failed.m_hasAnswerBegun = false;
  auto body = m_resume.BuildBody(m_call.m_body, m_call.m_path);
  const bool isPossible = m_call.m_isIdempotent && body.has_value();
  if (!isPossible || m_retryPolicy.Decide(failed) != RetryVerdict::Retry) {
    return false;
  }
  m_resumeBody = std::move(*body);
  m_context.m_metrics.Count("celeryspread_resumed_streams_total");
  Route();
  return true;
}

void CallSession::EndStreamWithError(const std::string& aReason)
{
  m_context.m_log.Write(EventId::StreamBroken,
                        "upstream=" + m_upstream.Value() + " trace=" +
                          m_span.m_context.m_traceId + " reason=" + aReason);
  const CallOutcome outcome =
    m_call.m_isIdempotent ? CallOutcome::Failed : CallOutcome::Unknown;
  const ErrorReply error =
    MakeCallError(HttpStatus::kBadGateway, "stream_broken", aReason, outcome);
  m_caller->SendChunk("event: error\ndata: " + ErrorBody(error) + "\n\n");
  m_caller->EndStream();
  Finish(HttpStatus::kBadGateway);
}

void CallSession::DeliverBufferedAnswer()
{
  StoredAnswer answer{ m_status,
                       HeaderValue(m_answerHeaders, "Content-Type"),
                       std::move(m_answer) };
  if (!m_holdsClaim) {
    ReplyWithAnswer(answer);
    return;
  }
  CloseClaimThenReply(answer);
}

void CallSession::CloseClaimThenReply(const StoredAnswer& aAnswer)
{
  // The outcome is stored durably before the reply, so that a retry by the
  // caller that arrives ahead of the reply finds it. The work has run either
  // way, so the caller gets the answer even if storing was not confirmed.
  m_holdsClaim = false;
  m_context.m_claims.Close(
    m_claim,
    ClaimOutcome::Answered,
    aAnswer,
    [this, isAlive = m_isAlive, aAnswer](bool /*aIsDurable*/) {
      if (*isAlive && !m_isFinished) {
        ReplyWithAnswer(aAnswer);
      }
    });
}

void CallSession::ReplyWithAnswer(const StoredAnswer& aAnswer)
{
  HttpHeaders headers;
  if (!aAnswer.m_contentType.empty()) {
    headers.push_back({ "Content-Type", aAnswer.m_contentType });
  }
  m_caller->Reply(aAnswer.m_status, headers, aAnswer.m_body);
  Finish(aAnswer.m_status);
}

void CallSession::ReplyError(const ErrorReply& aError)
{
  if (m_hasAnswerBegun) {
    EndStreamWithError(aError.m_message);
    return;
  }
  if (m_holdsClaim) {
    m_holdsClaim = false;
    const ClaimOutcome outcome = aError.m_outcome == CallOutcome::NotRun
                                   ? ClaimOutcome::NotRun
                                   : ClaimOutcome::Unknown;
    m_context.m_claims.Close(m_claim, outcome, {}, [](bool) {});
  }
  m_caller->Reply(aError.m_status, ErrorHeaders(aError), ErrorBody(aError));
  Finish(aError.m_status);
}

void CallSession::HandleDeadline()
{
  if (m_isFinished) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || m_attempt != nullptr;
  EndAttempt(AttemptResult::Cancelled);
  if (m_hasAnswerBegun) {
    EndStreamWithError("the deadline passed");
    return;
  }
  const CallOutcome outcome =
    OutcomeOf(RetryPolicy::FinalVerdict(DescribeFailure()));
  ReplyError(MakeCallError(HttpStatus::kGatewayTimeout,
                           "deadline_passed",
                           "the deadline passed",
                           outcome));
}

void CallSession::OnCallerDisconnected()
{
  if (m_isFinished) {
    return;
  }
  if (!m_call.m_isIdempotent && m_attempt != nullptr) {
    // Non-idempotent work continues without the caller, so that its outcome is
    // stored.
    return;
  }
  EndAttempt(AttemptResult::Cancelled);
  if (m_holdsClaim) {
    m_holdsClaim = false;
    m_context.m_claims.Close(m_claim,
                             m_attemptCount == 0 ? ClaimOutcome::NotRun
                                                 : ClaimOutcome::Unknown,
                             {},
                             [](bool) {});
  }
  Finish(HttpStatus::kClientClosed);
}

void CallSession::Finish(int aStatus)
{
  if (m_isFinished) {
    return;
  }
  m_isFinished = true;
  m_caller->SetObserver(nullptr);
  const Duration elapsed = m_context.m_clock.Now() - m_call.m_arrivedAt;
  m_context.m_metrics.ObserveLatency({ m_call.MetricLabel(), "entry" },
                                     elapsed);
  m_context.m_metrics.CountOutcome({ m_call.m_service.Value(), aStatus });
  m_context.m_limits.Release(m_call.m_service);
  m_span.m_attributes.push_back({ "http.status", std::to_string(aStatus) });
  m_span.m_attributes.push_back({ "model", m_call.MetricLabel() });
  m_context.m_tracer.Finish(m_span);
  m_onFinished(*this);
}

} // namespace celeryspread
