#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "entry/entry_context.h"
#include "entry/error_reply.h"
#include "entry/prepared_call.h"
#include "entry/sse_scanner.h"
#include "entry/stream_resume.h"
#include "retry/retry_policy.h"

namespace celeryspread {

/// Runs one prepared call to its end: claims the work if needed, routes it,
/// makes attempts at upstreams and relays the answer. An error reply says
/// whether the work may have run.
/// @thread loop thread only.
class CallSession
  : public CallerObserver
  , public UpstreamObserver
{
public:
  using FinishedCallback = std::function<void(CallSession&)>;

  /// Creates a session. @pre aContext outlives it; aOnFinished is called once
  /// and must not destroy the session before it returns.
  CallSession(EntryContext& aContext,
              std::unique_ptr<CallerCall> aCaller,
              PreparedCall aCall,
              Span aSpan,
              FinishedCallback aOnFinished);
  ~CallSession() override;
  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  /// Claims the work if needed and makes the first attempt. @pre called once.
  void Start();
  /// Ends the call because its deadline passed. @pre none.
  void HandleDeadline();
  /// Returns the time at which HandleDeadline() is due. @pre none.
  [[nodiscard]] TimePoint Deadline() const { return m_call.m_deadline; }
  /// Returns whether the call has ended. @pre none.
  [[nodiscard]] bool IsFinished() const { return m_isFinished; }

  void OnCallerDisconnected() override;
  void OnOutputDrained() override;
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  void RequestClaim();
  void HandleClaim(const ClaimReply& aReply);
  void Route();
  /// Asks the admission gate about the call before its first attempt. Replies
  /// with an error and returns false if it is not admitted.
  bool Admit(const UpstreamId& aUpstream);
  /// Cancels the first-token timer and records the first token. Also called
  /// when an attempt ends without one.
  void RecordFirstByte();
  /// Starts the timer that moves the call to another engine if no first token
  /// arrives. Does nothing for calls that cannot be moved.
  void StartFirstTokenTimer();
  void HandleSlowFirstToken();
  [[nodiscard]] RouteQuery BuildRouteQuery() const;
  [[nodiscard]] SizeQuery BuildSizeQuery() const;
  void StartAttempt(const UpstreamId& aUpstream);
  void EndAttempt(AttemptResult aResult);
  void FailAttempt(bool aMayHaveRun, const std::string& aReason);
  void RelayStream(std::string_view aBytes);
  void DeliverBufferedAnswer();
  void CloseClaimThenReply(const StoredAnswer& aAnswer);
  void ReplyWithAnswer(const StoredAnswer& aAnswer);
  void ReplyRouteError();
  void ReplyError(const ErrorReply& aError);
  /// Completes, resumes or ends a stream that the caller already received in
  /// part.
  void HandleStreamFailure(const std::string& aReason);
  bool TryResume();
  void EndStreamWithError(const std::string& aReason);
  void Finish(int aStatus);
  [[nodiscard]] bool NeedsClaim() const;
  [[nodiscard]] UpstreamRequest BuildRequest(const UpstreamState& aState) const;
  [[nodiscard]] FailedAttempt DescribeFailure() const;

  EntryContext& m_context;
  std::unique_ptr<CallerCall> m_caller;
  PreparedCall m_call;
  Span m_span;
  Span m_attemptSpan;
  FinishedCallback m_onFinished;
  RetryPolicy m_retryPolicy;
  std::unique_ptr<UpstreamCall> m_attempt;
  std::set<UpstreamId> m_tried;
  UpstreamId m_upstream;
  TimePoint m_attemptStart;
  int64_t m_attemptCount = 0;
  ClaimRequest m_claim;
  bool m_holdsClaim = false;
  int m_status = 0;
  HttpHeaders m_answerHeaders;
  std::string m_answer;
  SseScanner m_scanner;
  StreamResume m_resume;
  /// Request body that resumes a broken stream; empty if none was resumed.
  std::string m_resumeBody;
  bool m_isStream = false;
  bool m_hasAnswerBegun = false;
  bool m_hasFirstByte = false;
  /// Whether the current attempt is streamed and got no body bytes yet.
  bool m_awaitsFirstToken = false;
  std::unique_ptr<Timer> m_firstTokenTimer;
  /// Rank of the call among recent ones by utility per unit of work, 0 to 1.
  double m_rank = 0;
  /// Whether any attempt so far may have started the work.
  bool m_mayHaveRun = false;
  bool m_isFinished = false;
  /// Set to false on destruction, because callbacks of the claim service can
  /// outlive the session.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
