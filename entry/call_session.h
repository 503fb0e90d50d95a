#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "entry/entry_context.h"
#include "entry/prepared_call.h"
#include "entry/refusal.h"
#include "entry/sse_scanner.h"
#include "entry/stream_resume.h"
#include "retry/retry_policy.h"

namespace celeryspread {

/// One call from its routing to the last byte of its answer: claims, attempts
/// at upstreams, relay of the answer, and a truthful end.
/// @thread loop thread only.
class CallSession
  : public CallerObserver
  , public UpstreamObserver
{
public:
  using Finished = std::function<void(CallSession&)>;

  /// Prepares a session. @pre aContext outlives it; aFinished is called once
  /// and must not destroy the session before it returns.
  CallSession(EntryContext& aContext,
              std::unique_ptr<CallerCall> aCaller,
              PreparedCall aCall,
              Span aSpan,
              Finished aFinished);
  ~CallSession() override;
  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  /// Begins the call. @pre called once.
  void Start();
  /// Ends the call because its deadline passed. @pre none.
  void HandleDeadline();
  /// Returns the time at which HandleDeadline() is due. @pre none.
  [[nodiscard]] TimePoint Deadline() const { return m_call.m_deadline; }
  /// Tells whether the call has ended. @pre none.
  [[nodiscard]] bool IsFinished() const { return m_isFinished; }

  void OnCallerGone() override;
  void OnCallerDrained() override;
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  void RequestClaim();
  void HandleClaim(const ClaimReply& aReply);
  void Route();
  /// Returns whether the gate admits the call at its first routing.
  bool PassGate(const UpstreamId& aUpstream);
  void NoteFirstByte();
  void WatchFirstToken();
  void MoveIfSlow();
  [[nodiscard]] RouteQuery BuildQuery() const;
  [[nodiscard]] SizeQuery BuildSizeQuery() const;
  void Send(const UpstreamId& aUpstream);
  void EndAttempt(AttemptResult aResult);
  void FailAttempt(bool aMayHaveRun, const std::string& aReason);
  void RelayStream(std::string_view aBytes);
  void DeliverWhole();
  void CloseClaimThenReply(const StoredAnswer& aAnswer);
  void ReplyWhole(const StoredAnswer& aAnswer);
  void RefuseRoute();
  void Refuse(const Refusal& aRefusal);
  void EndBrokenStream(const std::string& aReason);
  bool TryResume();
  void BreakStream(const std::string& aReason);
  void Finish(int aStatus);
  [[nodiscard]] bool NeedsClaim() const;
  [[nodiscard]] UpstreamRequest BuildRequest(const UpstreamState& aState) const;
  [[nodiscard]] FailedAttempt DescribeFailure() const;

  EntryContext& m_context;
  std::unique_ptr<CallerCall> m_caller;
  PreparedCall m_call;
  Span m_span;
  Span m_attemptSpan;
  Finished m_finished;
  RetryPolicy m_retryPolicy;
  std::unique_ptr<UpstreamCall> m_attempt;
  std::set<UpstreamId> m_tried;
  UpstreamId m_upstream;
  TimePoint m_attemptStart;
  int64_t m_attempts = 0;
  ClaimRequest m_claim;
  bool m_holdsClaim = false;
  int m_status = 0;
  HttpHeaders m_answerHeaders;
  std::string m_answer;
  SseScanner m_scanner;
  StreamResume m_resume;
  /// Body of the attempt that goes on with a broken stream; empty before.
  std::string m_resumedBody;
  bool m_isStream = false;
  bool m_hasAnswerBegun = false;
  bool m_hasFirstByte = false;
  /// Whether the current attempt still waits for its first byte.
  bool m_awaitsFirst = false;
  std::unique_ptr<Timer> m_patience;
  /// Worth for its work among recent calls, 0 to 1.
  double m_rank = 0;
  /// Whether any attempt so far may have begun the work.
  bool m_mayHaveRun = false;
  bool m_isFinished = false;
  /// Guards callbacks of the claim service against a destroyed session.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
