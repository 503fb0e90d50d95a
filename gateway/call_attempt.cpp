#include "gateway/call_attempt.h"

#include <algorithm>

#include "gateway/call_forwarding.h"
#include "gateway/call_priority.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Engines with less than one part in this many of their slots taken have no
/// queue.
constexpr uint32_t kLightLoadDivisor = 3;

} // namespace

CallAttempt::CallAttempt(GatewayContext& aContext, const RoutedCall& aCall)
  : m_context(aContext)
  , m_call(aCall)
{
}

CallAttempt::~CallAttempt()
{
  SettleRetry(RetryFate::Unknown);
}

void CallAttempt::Begin(const UpstreamId& aUpstream, TimePoint aNow)
{
  m_upstream = aUpstream;
  m_peer.reset();
  m_wasForwarded = false;
  m_forwardedAnswer = {};
  m_startedAt = aNow;
  m_runsSince = aNow;
  m_status = 0;
  m_fate = RetryFate::Unknown;
  m_unprovenSince.reset();
  m_isRejected = false;
  ++m_count;
  m_lastEventAt.reset();
  m_pendingPrefill = Duration::zero();
  m_isPrefillSample = false;
}

UpstreamRequest CallAttempt::MakeRequest(const UpstreamAddress& aAddress,
                                         const AttemptFields& aFields) const
{
  UpstreamRequest request;
  request.m_address = aAddress;
  request.m_method = m_call.m_caller->Method();
  request.m_path = m_call.m_caller->Target();
  request.m_headers =
    m_context.m_codec.AttemptHeaders(*m_call.m_caller, aFields);
  request.m_body = m_call.m_caller->Body();
  request.m_firstByteTimeout = aFields.m_timeLeft;
  request.m_progressTimeout = aFields.m_timeLeft;
  request.m_exchange = m_call.m_callFields.m_attempt.Value();
  return request;
}

void CallAttempt::OpenForwarded(const EntryPeer& aPeer,
                                const std::string& aLastEvent,
                                uint32_t aPossibleRuns,
                                UpstreamObserver& aObserver)
{
  const TimePoint now = m_context.m_clock.Now();
  CallForwarding& forwarding = *m_context.m_forwarding;
  Begin(UpstreamId(aPeer.m_instance.Value()), now);
  m_peer = aPeer;
  m_wasForwarded = true;
  m_triedPeers.insert(aPeer.m_instance);
  // The other entry identifies the caller itself.
  AttemptFields fields;
  fields.m_timeLeft = m_call.m_deadline - now;
  fields.m_lastEvent = aLastEvent;
  UpstreamRequest request = MakeRequest(aPeer.m_address, fields);
  ForwardedFields forwarded;
  forwarded.m_forwarder = forwarding.Self();
  forwarded.m_possibleRuns = aPossibleRuns;
  forwarded.m_software = m_call.m_software.value_or(SoftwareVersion());
  forwarding.Protocol().WriteCall(
    forwarded, request.m_method, request.m_path, request.m_headers);
  m_log.OpenForwarded(aPeer.m_instance, now);
  forwarding.Peers().RecordStart(aPeer.m_instance);
  m_context.m_metrics.Count("celeryspread_gateway_forwarded_calls_total");
  m_attempt = m_context.m_client.Start(std::move(request), aObserver);
  m_log.AddConnection(m_attempt->IsConnectionReused());
}

void CallAttempt::Open(const EngineState& aState,
                       const std::string& aLastEvent,
                       UpstreamObserver& aObserver)
{
  const TimePoint now = m_context.m_clock.Now();
  const Duration left = m_call.m_deadline - now;
  const EngineRecord& record = aState.m_record;
  AttemptFields fields;
  fields.m_upstream = record.m_id;
  fields.m_timeLeft = left;
  fields.m_lastEvent = aLastEvent;
  fields.m_hasTeams = !m_call.m_config->Teams().empty();
  if (m_call.m_identity.m_team != nullptr) {
    fields.m_team = m_call.m_identity.m_team->m_id;
  }
  if (m_call.m_route->m_kind == CallKind::Stream) {
    fields.m_priority = CallPriority::EnginePriority(
      *m_call.m_route,
      { m_call.Age(now), m_context.m_selector.ExpectedWait(aState, now) });
  }
  UpstreamRequest request = MakeRequest(record.m_address, fields);
  Begin(record.m_id, now);
  m_software = record.m_software;
  m_tried.insert(record.m_id);
  m_runsSince = now + m_context.m_selector.ExpectedWait(aState, now);
  m_log.OpenAttempt(aState, now);
  m_pendingPrefill = ExpectedPrefill();
  m_isPrefillSample =
    record.m_domain == m_context.m_domain &&
    aState.EstimatedLoad(now) < record.m_slots / kLightLoadDivisor;
  if (m_context.m_learning != nullptr) {
    const CallFields& callFields = m_call.m_callFields;
    m_started = m_context.m_learning->RecordStart(
      m_upstream,
      { callFields.m_target.m_model, callFields.m_promptTokens },
      m_context.m_selector.ExpectedWait(aState, now),
      now);
  }
  m_context.m_table.RecordStart(m_upstream, m_pendingPrefill, now);
  m_context.m_demand.RecordRunning(
    m_call.m_pool, m_call.m_callFields.m_target, 1);
  m_attempt = m_context.m_client.Start(std::move(request), aObserver);
  m_log.AddConnection(m_attempt->IsConnectionReused());
}

void CallAttempt::Close(AttemptOutcome aOutcome)
{
  if (!IsOpen()) {
    return;
  }
  const TimePoint now = m_context.m_clock.Now();
  m_log.CloseAttempt(aOutcome, now);
  if (m_peer) {
    // A peer that refuses one call may serve the next.
    const bool isUnanswered =
      aOutcome == AttemptOutcome::Failed && m_status == 0;
    const bool hasFailed = isUnanswered || m_forwardedAnswer.m_isUnable;
    m_context.m_forwarding->Peers().RecordEnd(
      m_peer->m_instance, hasFailed, now);
    Finish();
    return;
  }
  m_context.m_table.RecordPrefillEnd(m_upstream, m_pendingPrefill);
  m_context.m_demand.RecordRunning(
    m_call.m_pool, m_call.m_callFields.m_target, -1);
  m_pendingPrefill = Duration::zero();
  m_context.m_table.RecordEnd(m_upstream, aOutcome, now);
  if (m_context.m_learning != nullptr) {
    m_context.m_learning->RecordEnd(m_upstream, aOutcome, m_started, now);
  }
  if (m_context.m_overload != nullptr && aOutcome == AttemptOutcome::Answered) {
    m_context.m_overload->RecordServed(
      m_call, std::max(Duration::zero(), now - m_runsSince), now);
  }
  Finish();
}

void CallAttempt::Finish()
{
  m_mayHaveArrived = m_mayHaveArrived || m_fate != RetryFate::NotSent;
  SettleRetry(m_fate);
  m_upstream = UpstreamId();
  m_peer.reset();
  m_attempt.reset();
}

void CallAttempt::Pause()
{
  if (m_attempt != nullptr) {
    m_attempt->Pause();
  }
}

void CallAttempt::Resume()
{
  if (m_attempt != nullptr) {
    m_attempt->Resume();
  }
}

std::optional<SoftwareVersion> CallAttempt::Software() const
{
  if (m_peer) {
    // The other entry goes on with the stream if its upstream breaks off.
    return std::nullopt;
  }
  // Another process may have started under the same id, of which the list told
  // late.
  const EngineState* state = m_context.m_table.Find(m_upstream);
  const bool hasChanged =
    state != nullptr && state->m_record.m_software != m_software;
  return hasChanged ? std::nullopt : std::optional(m_software);
}

bool CallAttempt::IsSuccess() const
{
  return HttpStatus::IsSuccess(m_status);
}

Duration CallAttempt::ExpectedPrefill() const
{
  const CallFields& callFields = m_call.m_callFields;
  return m_context.m_prefill.Estimate(callFields.m_target.m_model,
                                      callFields.m_promptTokens);
}

void CallAttempt::SettleRetry(RetryFate aFate)
{
  if (m_holdsRetry) {
    m_holdsRetry = false;
    m_context.m_retries.RecordEnd(
      m_call.m_pool, aFate, m_context.m_clock.Now());
  }
}

bool CallAttempt::DiscardLateCopy(int aStatus, const HttpHeaders& aHeaders)
{
  const AttemptId attempt =
    m_context.m_codec.ReadAnswer(aStatus, aHeaders).m_attempt;
  return attempt != m_call.m_callFields.m_attempt &&
         m_attempt->HasCarried(attempt.Value()) && m_attempt->DiscardAnswer();
}

void CallAttempt::RecordHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  const TimePoint now = m_context.m_clock.Now();
  m_status = aStatus;
  m_fate = RetryFate::Settled;
  SettleRetry(m_fate);
  m_answer = m_context.m_codec.ReadAnswer(aStatus, aHeaders);
  if (m_peer) {
    ReadForwardedAnswer(aHeaders);
  }
  RecordAnswered();
  m_context.m_table.RecordBytes(m_upstream, now);
  // An answer may be the late copy of one that the connection has brought: one
  // without an id of any, one with an id of that to the call of this id.
  const bool mayBeCopy = m_answer.m_attempt.IsEmpty()
                           ? m_attempt->IsConnectionReused()
                           : m_attempt->HasCarried(m_answer.m_attempt.Value());
  const bool isOwn =
    (m_answer.m_attempt.IsEmpty() || IsOwnAnswer()) && !mayBeCopy;
  m_isRejected = m_answer.m_hasNotRun && isOwn;
  if (m_peer && m_isRejected) {
    m_fate = RetryFate::NotSent;
  }
  const UpstreamId& speaker =
    m_peer ? m_forwardedAnswer.m_upstream : m_upstream;
  RecordStatements(speaker, isOwn, now);
  const bool namesLimits =
    IsOwnAnswer() && (m_answer.m_rateLimit || IsSuccess());
  if (namesLimits &&
      m_context.m_table.RecordRateLimit(speaker, m_answer.m_rateLimit, now)) {
    m_context.m_rates.ReportRateLimitEnd(speaker);
  }
  if (!m_isRejected && IsOwnAnswer()) {
    m_unprovenSince = now;
  }
}

void CallAttempt::ReadForwardedAnswer(const HttpHeaders& aHeaders)
{
  m_forwardedAnswer = ForwardingProtocol::ReadAnswer(aHeaders);
  m_answer.m_hasNotRun = m_forwardedAnswer.m_hasNotRun;
  m_answer.m_isMisdirected = false;
  m_answer.m_load.reset();
}

void CallAttempt::RecordAnswered()
{
  if (m_context.m_forwarding == nullptr || m_peer) {
    return;
  }
  UpstreamReach& reach = m_context.m_forwarding->Reach();
  if (m_attempt->IsConnectionReused()) {
    reach.RecordAnswer(m_call.m_pool, m_context.m_clock.Now());
  } else {
    reach.RecordConnected(m_call.m_pool);
  }
}

void CallAttempt::RecordNoConnection()
{
  if (m_context.m_forwarding == nullptr || m_peer) {
    return;
  }
  m_context.m_forwarding->Reach().RecordNoConnection(
    m_call.m_pool,
    m_upstream,
    UpstreamReach::Source::Attempt,
    m_context.m_table.InPool(m_call.m_pool).size(),
    m_context.m_clock.Now());
}

void CallAttempt::RecordStatements(const UpstreamId& aUpstream,
                                   bool aIsOwn,
                                   TimePoint aNow)
{
  if (!aIsOwn) {
    return;
  }
  if (m_answer.m_load) {
    m_context.m_table.RecordLoad(m_upstream, *m_answer.m_load, aNow);
    if (m_context.m_learning != nullptr) {
      m_context.m_learning->RecordReport(m_upstream, aNow);
    }
  }
  if (m_answer.m_isLeaving) {
    m_context.m_table.RecordLeaving(aUpstream);
  }
  if (m_answer.m_backOff) {
    m_context.m_table.RecordBackOff(aUpstream, aNow + *m_answer.m_backOff);
  } else {
    m_context.m_table.RecordBackOffOver(aUpstream, m_startedAt);
  }
}

void CallAttempt::RecordBytes()
{
  m_context.m_table.RecordBytes(m_upstream, m_context.m_clock.Now());
}

void CallAttempt::RecordBegin()
{
  const TimePoint now = m_context.m_clock.Now();
  m_runsSince = now;
  m_context.m_table.RecordPrefillEnd(m_upstream, m_pendingPrefill);
  m_pendingPrefill = Duration::zero();
  const CallFields& callFields = m_call.m_callFields;
  if (m_isPrefillSample && !callFields.m_target.m_model.empty()) {
    m_context.m_prefill.AddSample(callFields.m_target.m_model,
                                  callFields.m_promptTokens,
                                  now - m_startedAt);
  }
  m_isPrefillSample = false;
  if (m_context.m_learning != nullptr) {
    m_context.m_learning->RecordFirstEvent(m_upstream, m_started, now);
  }
  m_log.RecordBegin(now);
}

void CallAttempt::RecordEvents()
{
  const TimePoint now = m_context.m_clock.Now();
  if (m_lastEventAt) {
    m_context.m_table.RecordEventGap(m_upstream, now - *m_lastEventAt, now);
    if (m_context.m_learning != nullptr) {
      m_context.m_learning->RecordPause(m_upstream, now - *m_lastEventAt, now);
    }
  }
  m_lastEventAt = now;
  m_log.AddEvents(now);
}

void CallAttempt::RecordFailure(const UpstreamFailure& aFailure)
{
  const bool isClosed =
    aFailure.m_kind == UpstreamFailureKind::ConnectionLost ||
    aFailure.m_hasResponseBytes;
  if (!aFailure.m_mayHaveSentBytes) {
    m_fate = RetryFate::NotSent;
  } else if (isClosed) {
    m_fate = RetryFate::Settled;
  }
  // What resets connections may accept them first.
  const bool isResetAtOnce =
    aFailure.m_kind == UpstreamFailureKind::ConnectionLost &&
    !aFailure.m_hasResponseBytes && !m_attempt->IsConnectionReused();
  if (aFailure.m_kind == UpstreamFailureKind::ConnectFailed || isResetAtOnce) {
    RecordNoConnection();
  }
}

void CallAttempt::RecordSound()
{
  // An error says nothing about an answer: something in front of the engine may
  // have written it.
  if (m_unprovenSince && IsSuccess()) {
    m_context.m_crashes.RecordSound(m_call.m_suspects, *m_unprovenSince);
    m_unprovenSince.reset();
  }
}

} // namespace celeryspread
