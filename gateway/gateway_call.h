#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/attempt_trail.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"

namespace celeryspread {

/// One client's call from its routing to the last byte of its answer.
///
/// A call that must not repeat is sent again only after an upstream proved
/// that it has not run; a refusal is given only on the same proof.
/// @thread loop thread only.
class GatewayCall
  : public CallerObserver
  , public UpstreamObserver
{
public:
  using Finished = std::function<void(GatewayCall&)>;

  /// What a call starts from.
  struct Parts
  {
    std::unique_ptr<CallerCall> m_caller;
    CallFacts m_facts;
    /// Keeps the route alive while newer configurations come in force.
    std::shared_ptr<const RouteConfig> m_config;
    const Route* m_route = nullptr;
    PoolId m_pool;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
  };

  /// Prepares a call. @pre aContext outlives it; aFinished is called once and
  /// must not destroy the call before it returns.
  GatewayCall(GatewayContext& aContext, Parts aParts, Finished aFinished);
  ~GatewayCall() override;
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  /// Begins the call. @pre called once.
  void Start();
  /// Ends the call because its deadline passed. @pre none.
  void HandleDeadline();
  /// Returns when HandleDeadline() is due. @pre none.
  [[nodiscard]] TimePoint Deadline() const { return m_parts.m_deadline; }

  void OnCallerGone() override;
  void OnCallerDrained() override;
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& aHeaders) override;
  void OnUpstreamBody(std::string_view aBytes) override;
  void OnUpstreamEnd() override;
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override;

private:
  [[nodiscard]] bool MayRepeat() const;
  void Attempt();
  void AskForAdapter(const UpstreamId& aPreferred);
  void Send(const EngineState& aState);
  /// Tries again after a failed attempt. @return false when it may not.
  bool TryAgain(bool aHasRun);
  [[nodiscard]] bool IsHopeless(const EngineState& aState,
                                TimePoint aNow) const;
  void NoteFirstEvent(TimePoint aNow);
  void NoteEvents();
  [[nodiscard]] Duration PromptWork() const;
  /// Time since the client's first attempt, as far as its patience shows.
  [[nodiscard]] Duration Age(TimePoint aNow) const;
  void CloseAttempt(AttemptEnd aEnd);
  void HandleBrokenAttempt(bool aMayHaveRun, const std::string& aReason);
  void HandleRejection();
  void DeliverWhole();
  /// Refuses with the promise that the call has not run and will not.
  void Refuse(const std::string& aReason, Duration aRetryAfter);
  /// Fails without a promise.
  void Fail(int aStatus, const std::string& aReason);
  void Break(const std::string& aReason);
  void Finish(int aStatus);
  /// Writes one line with the attempts and what decided them.
  void LogEnd(EventId aEvent, int aStatus, const std::string& aReason);

  GatewayContext& m_context;
  Parts m_parts;
  Finished m_finished;
  std::unique_ptr<UpstreamCall> m_attempt;
  UpstreamId m_upstream;
  std::set<UpstreamId> m_tried;
  TimePoint m_attemptStartedAt;
  /// Expected reading time of the prompt, while the attempt's first event is
  /// waited for.
  Duration m_unreadPrompt{};
  /// Whether the attempt's first event tells how fast prompts are read.
  bool m_isTelling = false;
  uint32_t m_runs = 0;
  uint32_t m_sends = 0;
  bool m_mayHaveRun = false;
  bool m_hasAskedForAdapter = false;
  bool m_isStreaming = false;
  bool m_isRejected = false;
  bool m_isFinished = false;
  int m_status = 0;
  /// Last events of the attempt's stream.
  std::optional<TimePoint> m_lastEventAt;
  AttemptTrail m_trail;
  HttpHeaders m_headers;
  AnswerFacts m_answer;
  std::string m_body;
  EventSplitter m_events;
  /// Tells a late adapter reply that the call is gone.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace celeryspread
