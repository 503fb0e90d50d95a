#include "gateway/gateway_call.h"

#include "gateway/call_forwarding.h"

namespace celeryspread {

namespace {

/// Attempts of one call, rejected ones included; more of them would only use up
/// the retry budget.
constexpr uint32_t kMaxDispatches = 3;
/// The same with those that are forwarded, which may follow attempts that met
/// no upstream.
constexpr uint32_t kMaxForwardedDispatches = 5;
/// An answer that has gone on for this long did not end its engine.
constexpr Duration kSoundAfter = std::chrono::seconds(1);

} // namespace

GatewayCall::GatewayCall(GatewayContext& aContext,
                         Input aInput,
                         FinishedCallback aFinished)
  : m_context(aContext)
  , m_input(std::move(aInput))
  , m_onFinished(std::move(aFinished))
  , m_quota(aContext, m_input)
  , m_attempt(aContext, m_input)
  , m_choice(aContext, m_input, m_attempt.Tried(), *this)
  , m_relay(aContext, m_input)
  , m_end(aContext, m_input)
{
}

GatewayCall::~GatewayCall()
{
  *m_isAlive = false;
  if (m_input.m_caller != nullptr) {
    m_input.m_caller->SetObserver(nullptr);
  }
}

void GatewayCall::Start()
{
  m_input.m_caller->SetObserver(this);
  if (m_input.m_forwarded) {
    // The other entry has counted the call and taken its quota.
    m_possibleRuns = m_input.m_forwarded->m_possibleRuns;
    FindOrigin();
    return;
  }
  m_context.m_retries.RecordCall(m_input.m_pool, m_input.m_arrivedAt);
  m_quota.Take(
    [this](const QuotaGate::Verdict& aVerdict) { HandleQuota(aVerdict); });
}

void GatewayCall::HandleQuota(const QuotaGate::Verdict& aVerdict)
{
  switch (aVerdict.m_kind) {
    case QuotaGate::Verdict::Kind::Admitted:
      FindOrigin();
      return;
    case QuotaGate::Verdict::Kind::Exceeded:
      Refuse("the team has used up its quota: " +
               std::string(aVerdict.m_reason),
             aVerdict.m_retryAfter,
             HttpStatus::kTooManyRequests);
      return;
    case QuotaGate::Verdict::Kind::Unknown:
      Refuse("the use of the team's quota is not known: " +
               std::string(aVerdict.m_reason),
             aVerdict.m_retryAfter);
      return;
  }
}

bool GatewayCall::IsCutOff() const
{
  return m_context.m_forwarding != nullptr &&
         m_context.m_forwarding->Reach().IsCutOff(m_input.m_pool);
}

std::optional<EntryPeer> GatewayCall::ChoosePeer() const
{
  return IsCutOff() && !m_input.m_forwarded
           ? m_context.m_forwarding->ChoosePeer(m_attempt.TriedPeers(),
                                                m_context.m_clock.Now())
           : std::nullopt;
}

void GatewayCall::Forward(const EntryPeer& aPeer)
{
  m_relay.ClearBody();
  m_attempt.OpenForwarded(aPeer, m_relay.LastEventId(), m_possibleRuns, *this);
}

void GatewayCall::ChooseUpstream()
{
  if (!IsCutOff()) {
    m_choice.Choose();
    return;
  }
  if (const auto peer = ChoosePeer()) {
    Forward(*peer);
    return;
  }
  Refuse("the entry is cut off from the upstreams of the pool",
         m_choice.BusyRetryAfter());
}

void GatewayCall::FindOrigin()
{
  if (m_input.m_forwarded && !m_input.m_forwarded->m_software.IsEmpty()) {
    m_input.m_software = m_input.m_forwarded->m_software;
    ChooseUpstream();
    return;
  }
  const bool isResumed = m_input.m_callFields.m_isResumed &&
                         m_input.m_route->m_kind == CallKind::Stream;
  if (!isResumed || m_context.m_streams == nullptr) {
    ChooseUpstream();
    return;
  }
  m_context.m_metrics.Count("celeryspread_gateway_streams_resumed_total");
  const AttemptId& attempt = m_input.m_callFields.m_resumedAttempt;
  m_context.m_streams->Find(
    m_input.m_pool,
    attempt.IsEmpty() ? std::nullopt : std::optional(KeyOfStream(attempt)),
    [this,
     isAlive = m_isAlive](const std::optional<SoftwareVersion>& aVersion) {
      if (*isAlive && !m_isFinished) {
        HandleOrigin(aVersion);
      }
    });
}

void GatewayCall::HandleOrigin(const std::optional<SoftwareVersion>& aVersion)
{
  if (!aVersion) {
    m_context.m_metrics.Count(
      "celeryspread_gateway_streams_of_unknown_origin_total");
    // It will not be known later either; the caller can begin anew at once.
    Refuse("it is not known which software version began the stream",
           std::nullopt);
    return;
  }
  m_input.m_software = aVersion;
  ChooseUpstream();
}

bool GatewayCall::RecordOrigin()
{
  const auto software = m_attempt.Software();
  if (!software) {
    return false;
  }
  m_input.m_software = software;
  if (m_context.m_streams != nullptr && m_input.m_route->MayResume()) {
    m_context.m_streams->RecordBegin(
      KeyOfStream(m_input.m_callFields.m_attempt), *software);
  }
  return true;
}

void GatewayCall::OnEngineChosen(const EngineState& aState)
{
  const AccessControl::Verdict access =
    m_context.m_access.Recheck(m_input.m_identity, m_context.m_clock.Now());
  if (access == AccessControl::Verdict::Denied) {
    Refuse("the caller's key was withdrawn",
           std::nullopt,
           HttpStatus::kUnauthorized);
    return;
  }
  if (access == AccessControl::Verdict::Unproven) {
    Refuse("the configuration can't be proved to be current",
           AccessControl::kUnprovenRetryAfter);
    return;
  }
  m_relay.ClearBody();
  m_attempt.Open(aState, m_relay.LastEventId(), *this);
}

void GatewayCall::OnChoiceFailed(const std::string& aReason,
                                 std::optional<Duration> aRetryAfter)
{
  Refuse(aReason, aRetryAfter);
}

void GatewayCall::OnNoTimeLeft()
{
  HandleDeadline();
}

void GatewayCall::HandleHeldParts()
{
  const bool hasBegun = m_relay.IsStreaming() || m_attempt.Status() != 0;
  if (m_isFinished || m_choice.IsTrial() || m_choice.IsAwaitingTrial() ||
      hasBegun || !m_context.m_crashes.IsWithdrawn(m_input.m_suspects)) {
    return;
  }
  if (m_attempt.IsOpen()) {
    m_mayHaveRun = true;
    m_attempt.Close(AttemptOutcome::Cancelled);
  }
  Refuse("engines ended under calls with a prompt part or request that is "
         "held back by now",
         EngineChoice::kMinHeldRetryAfter);
}

bool GatewayCall::IsReceivingEvents() const
{
  return m_relay.IsStreaming() && m_attempt.IsSuccess();
}

void GatewayCall::SetAnswerHeaders(const HttpHeaders& aHeaders)
{
  if (m_attempt.IsForwarded()) {
    m_relay.SetHeaders(ForwardingProtocol::Strip(aHeaders));
    return;
  }
  HttpHeaders headers = aHeaders;
  if (m_input.m_forwarded) {
    ForwardingProtocol::WriteUpstream(m_attempt.Upstream(), headers);
  }
  m_relay.SetHeaders(headers);
}

void GatewayCall::OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  if (m_attempt.DiscardLateCopy(aStatus, aHeaders)) {
    m_context.m_metrics.Count("celeryspread_gateway_late_answers_total");
    return;
  }
  SetAnswerHeaders(aHeaders);
  m_attempt.RecordHeaders(aStatus, aHeaders);
  if (m_attempt.IsRejected()) {
    return;
  }
  m_mayHaveRun = true;
  if (!m_attempt.IsOwnAnswer()) {
    // The connection carries the answer to another call. Even if it is a
    // rejection, this call may still run on the upstream.
    HandleFailedAttempt(true, "the answer belongs to another call");
    return;
  }
  const bool isStream =
    m_input.m_route->m_kind == CallKind::Stream && m_attempt.IsSuccess();
  if (!isStream) {
    return;
  }
  if (!m_attempt.Answer().m_isSigned) {
    HandleFailedAttempt(true, "the answer bears no signature");
    return;
  }
  if (!m_relay.StartStream(aStatus)) {
    HandleFailedAttempt(true, "the resumed answer is another kind of content");
    return;
  }
  m_attempt.RecordBegin();
}

void GatewayCall::OnUpstreamBody(std::string_view aBytes)
{
  m_attempt.RecordBytes();
  if (!IsReceivingEvents()) {
    if (m_relay.AppendBody(aBytes, m_attempt.IsRejected()) !=
        AnswerRelay::BodyError::None) {
      HandleEndlessAnswer();
    }
    return;
  }
  const AnswerRelay::StreamBytes bytes = m_relay.AddStreamBytes(aBytes);
  if (bytes.m_error == AnswerRelay::BodyError::Endless) {
    HandleEndlessAnswer();
    return;
  }
  if (bytes.m_error == AnswerRelay::BodyError::OutOfOrder) {
    AbortStream("the resumed stream did not continue after the last event");
    return;
  }
  if (!bytes.m_events.empty()) {
    if (!m_input.m_software && m_isOriginKnown) {
      m_isOriginKnown = RecordOrigin();
    }
    m_attempt.RecordEvents();
    const auto& unprovenSince = m_attempt.UnprovenSince();
    if (unprovenSince &&
        m_context.m_clock.Now() - *unprovenSince >= kSoundAfter) {
      m_attempt.RecordSound();
    }
  }
  if (m_relay.Send(bytes.m_events)) {
    m_attempt.Pause();
  }
}

void GatewayCall::HandleEndlessAnswer()
{
  m_relay.ClearBody();
  if (m_attempt.IsRejected()) {
    // The headers said already that the request did not run.
    HandleRejection();
    return;
  }
  HandleFailedAttempt(true, "the upstream's answer has no end");
}

void GatewayCall::OnOutputDrained()
{
  m_attempt.Resume();
}

void GatewayCall::OnUpstreamEnd()
{
  if (m_attempt.IsRejected()) {
    HandleRejection();
    return;
  }
  if (IsReceivingEvents()) {
    HandleStreamEnd();
    return;
  }
  if (m_relay.IsStreaming()) {
    HandleFailedAttempt(
      true, "the upstream answered the resumed stream with an error");
    return;
  }
  DeliverAnswer();
}

void GatewayCall::HandleStreamEnd()
{
  if (m_relay.HasPartialEvent()) {
    HandleBrokenAnswer("the stream ended inside an event");
    return;
  }
  // A stream that ends with its connection may end early without an error.
  if (!m_attempt.HasEvents() && !m_relay.MayBeEmpty()) {
    HandleBrokenAnswer("the stream ended before its first event");
    return;
  }
  m_attempt.RecordSound();
  m_attempt.Close(AttemptOutcome::Answered);
  m_input.m_caller->EndStream();
  LogEnd(EventId::CallEnded, m_attempt.Status(), "");
  Finish(m_attempt.Status());
}

void GatewayCall::DeliverAnswer()
{
  const int status = m_attempt.Status();
  if (m_attempt.IsSuccess() && !m_attempt.Answer().m_isSigned) {
    HandleFailedAttempt(true, "the answer bears no signature");
    return;
  }
  const bool isUpstreamFault = status >= HttpStatus::kFirstServerError ||
                               HttpStatus::PromisesNoRun(status);
  m_attempt.RecordSound();
  m_attempt.Close(isUpstreamFault ? AttemptOutcome::Erred
                                  : AttemptOutcome::Answered);
  if (isUpstreamFault && m_input.MayRetryAfterRun() && TryRetry(true)) {
    return;
  }
  if (HttpStatus::PromisesNoRun(status)) {
    Fail(HttpStatus::kBadGateway,
         "the upstream refused the call without proof that it did not run");
    return;
  }
  m_relay.Deliver(status);
  LogEnd(isUpstreamFault ? EventId::CallFailed : EventId::CallEnded,
         status,
         isUpstreamFault ? "the upstream answered with an error" : "");
  Finish(status);
}

void GatewayCall::HandleRejection()
{
  const ModelTarget& target = m_input.m_callFields.m_target;
  const bool isMisdirected = m_attempt.Answer().m_isMisdirected;
  const bool isForwarded = m_attempt.IsForwarded();
  if (isMisdirected) {
    m_context.m_table.RecordMissing(m_attempt.Upstream(), target);
  }
  // A plain service whose address now belongs to another upstream is gone.
  m_attempt.Close(!isMisdirected           ? AttemptOutcome::Rejected
                  : target.m_model.empty() ? AttemptOutcome::Failed
                                           : AttemptOutcome::Misdirected);
  if (TryRetry(false)) {
    return;
  }
  if (m_relay.IsStreaming()) {
    AbortStream("the resumed stream was rejected and no retry is possible");
    return;
  }
  Refuse("the attempt was rejected and no retry is possible",
         isForwarded ? m_attempt.Answer().m_backOff
                     : m_choice.BusyRetryAfter());
}

void GatewayCall::OnUpstreamFailed(const UpstreamFailure& aFailure)
{
  m_attempt.RecordFailure(aFailure);
  if (m_attempt.IsRejected()) {
    HandleRejection();
    return;
  }
  // Another entry looks for calls that end its upstreams itself.
  if (aFailure.m_kind != UpstreamFailureKind::ConnectionLost ||
      m_attempt.IsForwarded()) {
    HandleFailedAttempt(aFailure.m_mayHaveSentBytes, aFailure.m_reason);
    return;
  }
  if (m_attempt.Status() == 0 && aFailure.m_hasResponseBytes) {
    // The engine had begun to write the headers.
    m_attempt.RecordUnproven();
  }
  if (m_attempt.Status() != 0 || aFailure.m_hasResponseBytes) {
    HandleBrokenAnswer(aFailure.m_reason);
    return;
  }
  HandleUnansweredBreak(aFailure);
}

void GatewayCall::HandleUnansweredBreak(const UpstreamFailure& aFailure)
{
  const UpstreamId engine = m_attempt.Upstream();
  const bool mayRetry = !aFailure.m_mayHaveSentBytes ||
                        (m_input.MayRetryAfterRun() && !IsSuspectRequest());
  m_mayHaveRun = m_mayHaveRun || aFailure.m_mayHaveSentBytes;
  m_attempt.Close(AttemptOutcome::Failed);
  m_context.m_crashes.RecordUnansweredBreak(engine, m_input.m_suspects);
  FinishFailedAttempt(mayRetry, aFailure.m_mayHaveSentBytes, aFailure.m_reason);
}

bool GatewayCall::IsSuspectRequest() const
{
  return m_context.m_crashes.IsSuspectRequest(m_input.m_suspects);
}

void GatewayCall::HandleBrokenAnswer(const std::string& aReason)
{
  if (!m_attempt.UnprovenSince() || m_attempt.IsForwarded()) {
    HandleFailedAttempt(true, aReason);
    return;
  }
  const TimePoint begunAt = *m_attempt.UnprovenSince();
  const UpstreamId engine = m_attempt.Upstream();
  m_mayHaveRun = true;
  m_attempt.Close(AttemptOutcome::Failed);
  const bool mayRetry = m_input.MayRetryAfterRun() && !IsSuspectRequest();
  m_context.m_crashes.RecordBreak(
    engine,
    m_input.m_suspects,
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
  m_attempt.Close(AttemptOutcome::Failed);
  FinishFailedAttempt(
    !aMayHaveRun || m_input.MayRetryAfterRun(), aMayHaveRun, aReason);
}

void GatewayCall::FinishFailedAttempt(bool aMayRetry,
                                      bool aMayHaveRun,
                                      const std::string& aReason)
{
  if (aMayRetry && TryRetry(aMayHaveRun)) {
    return;
  }
  if (m_relay.IsStreaming()) {
    AbortStream(aReason);
    return;
  }
  if (!m_mayHaveRun) {
    Refuse(aReason, m_choice.BusyRetryAfter());
    return;
  }
  Fail(HttpStatus::kBadGateway, aReason);
}

bool GatewayCall::TryRetry(bool aMayHaveRun)
{
  m_possibleRuns += aMayHaveRun ? 1 : 0;
  if (aMayHaveRun && m_attempt.WasForwarded()) {
    // The other entry may have used all runs that the route allows.
    return false;
  }
  const TimePoint now = m_context.m_clock.Now();
  const auto peer = ChoosePeer();
  const uint32_t maxDispatches =
    peer ? kMaxForwardedDispatches : kMaxDispatches;
  const bool isAllowed = m_possibleRuns < m_input.m_route->m_maxRuns &&
                         m_attempt.Count() < maxDispatches &&
                         m_input.m_deadline - now > EngineChoice::kMinTimeLeft;
  const bool mayBeHeld =
    !aMayHaveRun && m_choice.IsTrial() && m_choice.MayRepeatTrial();
  const bool mayGoOn = m_isOriginKnown && m_relay.MayResume();
  if (!isAllowed || !mayGoOn || (m_choice.IsHeld() && !mayBeHeld)) {
    return false;
  }
  const auto target = IsCutOff() ? std::nullopt : m_choice.FindRetry();
  if (!peer && !target) {
    return false;
  }
  // An attempt after some that never reached an upstream is a first one there.
  if (m_attempt.MayHaveArrived()) {
    if (!m_context.m_retries.TryTake(m_input.m_pool, now)) {
      m_context.m_metrics.Count("celeryspread_gateway_retries_denied_total");
      return false;
    }
    m_attempt.HoldRetry();
  }
  if (m_relay.IsStreaming()) {
    m_relay.ExpectResume();
  }
  m_context.m_metrics.Count("celeryspread_gateway_retries_total");
  if (aMayHaveRun) {
    m_context.m_metrics.Count("celeryspread_gateway_repeated_runs_total");
  }
  if (peer) {
    Forward(*peer);
    return true;
  }
  m_choice.ChooseRetry(*target);
  return true;
}

void GatewayCall::HandleDeadline()
{
  if (m_isFinished) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || m_attempt.IsOpen();
  m_attempt.Close(AttemptOutcome::Failed);
  if (m_relay.IsStreaming()) {
    AbortStream("deadline exceeded");
    return;
  }
  if (m_mayHaveRun) {
    Fail(HttpStatus::kGatewayTimeout, "deadline exceeded");
    return;
  }
  Refuse("deadline exceeded", m_choice.BusyRetryAfter());
}

void GatewayCall::OnCallerDisconnected()
{
  if (m_isFinished) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || m_attempt.IsOpen();
  m_attempt.Close(AttemptOutcome::Cancelled);
  LogEnd(
    EventId::CallEnded, HttpStatus::kClientClosed, "the caller disconnected");
  Finish(HttpStatus::kClientClosed);
}

void GatewayCall::Refuse(const std::string& aReason,
                         std::optional<Duration> aRetryAfter,
                         int aStatus)
{
  if (m_relay.IsStreaming()) {
    // The answer has begun, so the stream can only be cut off.
    AbortStream(aReason);
    return;
  }
  if (m_mayHaveRun) {
    Fail(HttpStatus::kBadGateway, aReason);
    return;
  }
  LogEnd(EventId::CallRefused, aStatus, aReason);
  m_end.Reply(aStatus, aRetryAfter);
  Finish(aStatus);
}

void GatewayCall::Fail(int aStatus, const std::string& aReason)
{
  LogEnd(EventId::CallFailed, aStatus, aReason);
  m_end.Reply(aStatus, std::nullopt);
  Finish(aStatus);
}

void GatewayCall::AbortStream(const std::string& aReason)
{
  m_attempt.Close(AttemptOutcome::Failed);
  LogEnd(EventId::StreamBroken, m_attempt.Status(), aReason);
  m_input.m_caller->Abort();
  Finish(m_attempt.Status());
}

void GatewayCall::LogEnd(EventId aEvent,
                         int aStatus,
                         const std::string& aReason)
{
  m_end.Log(aEvent, aStatus, m_attempt.LogText(), aReason);
}

void GatewayCall::Finish(int aStatus)
{
  if (m_isFinished) {
    return;
  }
  m_isFinished = true;
  m_choice.Stop();
  if (!m_mayHaveRun) {
    m_quota.Release();
  }
  // The call ends before the attempt that the retry was for.
  m_attempt.SettleRetry(RetryFate::NotSent);
  m_end.Count(aStatus);
  m_onFinished(*this);
}

} // namespace celeryspread
