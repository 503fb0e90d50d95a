#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gateway/answer_relay.h"
#include "gateway/call_attempt.h"
#include "gateway/call_end.h"
#include "gateway/call_quota.h"
#include "gateway/engine_choice.h"
#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"
#include "http/http_status.h"

namespace celeryspread {

/// One call from its routing to the last byte of its answer. First CallQuota
/// takes its cost from its team's quota. Then each attempt goes through three
/// stages: EngineChoice finds its upstream, CallAttempt sends it, AnswerRelay
/// passes the answer on. This class decides what follows when a stage ends.
/// While the entry is cut off from the upstreams, an attempt is forwarded to
/// another entry instead, which runs the call in the same way.
///
/// A call of a route that must run at most once is retried only if it is
/// certain that no earlier attempt has run. Only on the same condition is a
/// call refused, because a refusal guarantees to the caller that the call did
/// not run.
/// @thread loop thread only.
class GatewayCall
  : public CallerObserver
  , public UpstreamObserver
  , private EngineChoice::Listener
{
public:
  using FinishedCallback = std::function<void(GatewayCall&)>;
  using Input = RoutedCall;

  /// Creates a call. @pre aContext outlives it; aFinished is called once and
  /// must not destroy the call before it returns.
  GatewayCall(GatewayContext& aContext,
              Input aInput,
              FinishedCallback aFinished);
  ~GatewayCall() override;
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  /// Starts the first attempt, or ends the call. @pre called once.
  void Start();
  /// Ends the call because its deadline is exceeded. @pre none.
  void HandleDeadline();
  /// Ends the call if a part of its prompt is held back by now and no engine
  /// has begun its answer. @pre none.
  void HandleHeldParts();
  /// Returns when HandleDeadline() is due. @pre none.
  [[nodiscard]] TimePoint Deadline() const { return m_input.m_deadline; }

  void OnCallerDisconnected() override;
  void OnOutputDrained() override;
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  void OnEngineChosen(const EngineState& aState) override;
  void OnChoiceFailed(const std::string& aReason,
                      std::optional<Duration> aRetryAfter) override;
  void OnNoTimeLeft() override;
  void HandleQuota(const QuotaGate::Verdict& aVerdict);
  /// Sends the call to an upstream, or forwards it if the entry is cut off from
  /// them.
  void ChooseUpstream();
  /// Returns whether the entry is cut off from the upstreams of the pool.
  [[nodiscard]] bool IsCutOff() const;
  /// Returns the entry to forward the call to; empty if it must not be
  /// forwarded or no entry can be asked.
  [[nodiscard]] std::optional<EntryPeer> ChoosePeer() const;
  void Forward(const EntryPeer& aPeer);
  /// Finds out where the stream began whose rest the caller asks for.
  void FindOrigin();
  void HandleOrigin(const std::optional<SoftwareVersion>& aVersion);
  /// Records at which software the stream begins. @return false if that is not
  /// known, so that no other engine may go on with it.
  bool RecordOrigin();
  /// Keeps the headers of an answer for the caller. Those of a forwarded call
  /// also name the upstream to the entry that forwarded it.
  void SetAnswerHeaders(const HttpHeaders& aHeaders);
  /// Whether the bytes that arrive are events of the caller's stream.
  [[nodiscard]] bool IsReceivingEvents() const;
  /// Retries the call after an attempt that ended without a usable answer.
  /// @return false if a retry is not allowed or no upstream is available.
  bool TryRetry(bool aMayHaveRun);
  void HandleFailedAttempt(bool aMayHaveRun, const std::string& aReason);
  /// Handles an answer that its engine broke off. If the call may have ended
  /// the engine, it is not sent to another one.
  void HandleBrokenAnswer(const std::string& aReason);
  /// Handles a connection that broke before any byte of the answer.
  void HandleUnansweredBreak(const UpstreamFailure& aFailure);
  /// Returns whether an engine is known to have ended under the same request,
  /// so that it is not sent to a second one after another break.
  [[nodiscard]] bool IsSuspectRequest() const;
  /// Retries or ends the call after its attempt was closed.
  void FinishFailedAttempt(bool aMayRetry,
                           bool aMayHaveRun,
                           const std::string& aReason);
  /// Ends an attempt whose answer exceeds every bound.
  void HandleEndlessAnswer();
  void HandleRejection();
  void HandleStreamEnd();
  /// Passes on an answer that is not a stream, or retries the call.
  void DeliverAnswer();
  /// Answers with the guarantee that the call did not run and will not run.
  /// Fails the call instead if an attempt may have run or its answer has begun.
  /// Without aRetryAfter the caller should not return.
  void Refuse(const std::string& aReason,
              std::optional<Duration> aRetryAfter,
              int aStatus = HttpStatus::kUnavailable);
  /// Answers with an error; the call may have run.
  void Fail(int aStatus, const std::string& aReason);
  /// Cuts the stream off, so that the caller sees that it is incomplete.
  void AbortStream(const std::string& aReason);
  void Finish(int aStatus);
  /// Writes the log line of the call, with its attempts and the reason.
  void LogEnd(EventId aEvent, int aStatus, const std::string& aReason);

  GatewayContext& m_context;
  Input m_input;
  FinishedCallback m_onFinished;
  CallQuota m_quota;
  CallAttempt m_attempt;
  EngineChoice m_choice;
  AnswerRelay m_relay;
  CallEnd m_end;
  /// Ended attempts that may have run.
  uint32_t m_possibleRuns = 0;
  bool m_mayHaveRun = false;
  /// False if it is not known which engines could go on with the stream.
  bool m_isOriginKnown = true;
  bool m_isFinished = false;
  /// False once the call is destroyed; shared with callbacks that may come
  /// later.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
