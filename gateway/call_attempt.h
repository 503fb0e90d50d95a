#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/attempt_log.h"
#include "gateway/forwarding_protocol.h"
#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"
#include "routes/entry_peer.h"

namespace celeryspread {

/// The attempts of one call, one at a time. Sends the call to an upstream and
/// records what the answer, or its absence, tells about that upstream.
/// @thread loop thread only.
class CallAttempt
{
public:
  /// Creates the attempts of one call. @pre all arguments outlive them.
  CallAttempt(GatewayContext& aContext, const RoutedCall& aCall);
  ~CallAttempt();
  CallAttempt(const CallAttempt&) = delete;
  CallAttempt& operator=(const CallAttempt&) = delete;

  /// Sends the call to an upstream, from the event after aLastEvent on if that
  /// is not empty. @pre no attempt is open; aObserver outlives the attempt.
  void Open(const EngineState& aState,
            const std::string& aLastEvent,
            UpstreamObserver& aObserver);
  /// Forwards the call to another entry, after aPossibleRuns attempts that may
  /// have run it. @pre as for Open(); the gateway forwards calls.
  void OpenForwarded(const EntryPeer& aPeer,
                     const std::string& aLastEvent,
                     uint32_t aPossibleRuns,
                     UpstreamObserver& aObserver);
  /// Ends the open attempt, if there is one. @pre none.
  void Close(AttemptOutcome aOutcome);
  /// Returns whether an attempt is open. @pre none.
  [[nodiscard]] bool IsOpen() const { return !m_upstream.IsEmpty(); }
  /// Stops or continues reading the answer. @pre none.
  void Pause();
  void Resume();

  /// Discards an answer if it is a late copy of that to an earlier call of the
  /// connection; the attempt's own answer is still to come. @pre an attempt is
  /// open. @return whether it did.
  bool DiscardLateCopy(int aStatus, const HttpHeaders& aHeaders);
  /// Records the headers of an answer. @pre an attempt is open.
  void RecordHeaders(int aStatus, const HttpHeaders& aHeaders);
  /// Records that bytes of the answer arrived. @pre an attempt is open.
  void RecordBytes();
  /// Records that a stream's answer began. @pre an attempt is open.
  void RecordBegin();
  /// Records that whole events of a stream arrived. @pre an attempt is open.
  void RecordEvents();
  /// Records that the attempt failed. @pre an attempt is open.
  void RecordFailure(const UpstreamFailure& aFailure);
  /// Records that the attempt's answer is sound so far. @pre none.
  void RecordSound();
  /// Treats the answer as begun, so that it is unproven. @pre none.
  void RecordUnproven() { m_unprovenSince = m_context.m_clock.Now(); }
  /// Records that the next attempt was taken from the retry budget. @pre none.
  void HoldRetry() { m_holdsRetry = true; }
  /// Tells the retry budget what became of the retry that the call holds, if it
  /// holds one. @pre none.
  void SettleRetry(RetryFate aFate);

  /// Returns whether the open attempt is forwarded. @pre none.
  [[nodiscard]] bool IsForwarded() const { return m_peer.has_value(); }
  /// Returns whether the last attempt was forwarded. @pre none.
  [[nodiscard]] bool WasForwarded() const { return m_wasForwarded; }
  /// Returns the entries to which the call was forwarded. @pre none.
  [[nodiscard]] const std::set<InstanceId>& TriedPeers() const
  {
    return m_triedPeers;
  }
  /// Returns the upstream of the open attempt, empty for none; that of a
  /// forwarded one bears the name of the other entry. @pre none.
  [[nodiscard]] const UpstreamId& Upstream() const { return m_upstream; }
  /// Returns the software of the last attempt's upstream; empty if the upstream
  /// has changed it since. @pre none.
  [[nodiscard]] std::optional<SoftwareVersion> Software() const;
  /// Returns the upstreams of all attempts. @pre none.
  [[nodiscard]] const std::set<UpstreamId>& Tried() const { return m_tried; }
  /// Returns the number of attempts, rejected ones included. @pre none.
  [[nodiscard]] uint32_t Count() const { return m_count; }
  /// Returns whether an attempt may have reached its upstream, so that another
  /// one is a retry. @pre none.
  [[nodiscard]] bool MayHaveArrived() const { return m_mayHaveArrived; }
  /// Returns the status of the last attempt's answer, 0 before it. @pre none.
  [[nodiscard]] int Status() const { return m_status; }
  /// Returns whether that status is a success. @pre none.
  [[nodiscard]] bool IsSuccess() const;
  /// Returns what the headers of the answer said. @pre Status() is not 0.
  [[nodiscard]] const AnswerFields& Answer() const { return m_answer; }
  /// Returns whether the upstream proved that the call has not run. @pre none.
  [[nodiscard]] bool IsRejected() const { return m_isRejected; }
  /// Returns whether the answer is to this call. @pre Status() is not 0.
  [[nodiscard]] bool IsOwnAnswer() const
  {
    return m_answer.m_attempt == m_call.m_callFields.m_attempt;
  }
  /// Returns when the answer began; empty before, and once it is known to be
  /// sound. @pre none.
  [[nodiscard]] const std::optional<TimePoint>& UnprovenSince() const
  {
    return m_unprovenSince;
  }
  /// Returns whether whole events of a stream arrived. @pre none.
  [[nodiscard]] bool HasEvents() const { return m_lastEventAt.has_value(); }
  /// Returns the attempts as text for the log. @pre none.
  [[nodiscard]] const std::string& LogText() const { return m_log.Text(); }

private:
  /// Forgets what was known of the previous attempt.
  void Begin(const UpstreamId& aUpstream, TimePoint aNow);
  /// Settles the retry and drops the attempt.
  void Finish();
  /// Builds the request of an attempt.
  [[nodiscard]] UpstreamRequest MakeRequest(const UpstreamAddress& aAddress,
                                            const AttemptFields& aFields) const;
  /// Reads what another entry states about its answer.
  void ReadForwardedAnswer(const HttpHeaders& aHeaders);
  /// Records what an upstream says about itself in the headers of an answer,
  /// unless they are those of the answer to another call.
  void RecordStatements(const UpstreamId& aUpstream,
                        bool aIsOwn,
                        TimePoint aNow);
  /// Record what the attempt's connection shows about the upstreams in reach.
  void RecordAnswered();
  void RecordNoConnection();
  [[nodiscard]] Duration ExpectedPrefill() const;

  GatewayContext& m_context;
  const RoutedCall& m_call;
  std::unique_ptr<UpstreamCall> m_attempt;
  UpstreamId m_upstream;
  SoftwareVersion m_software;
  std::set<UpstreamId> m_tried;
  /// The entry to which the open attempt is forwarded.
  std::optional<EntryPeer> m_peer;
  bool m_wasForwarded = false;
  std::set<InstanceId> m_triedPeers;
  /// What that entry states about its answer.
  ForwardedAnswer m_forwardedAnswer;
  TimePoint m_startedAt;
  /// What was predicted for the attempt, if the entry learns.
  EngineLearning::Started m_started;
  /// Expected time to read the prompt; zero once the attempt has its first
  /// event.
  Duration m_pendingPrefill{};
  /// When the attempt got its slot: the time of its first event or, before that
  /// is known, the time at which it was expected to start.
  TimePoint m_runsSince;
  /// Whether the time to the attempt's first event is a sample for the prefill
  /// estimate.
  bool m_isPrefillSample = false;
  uint32_t m_count = 0;
  bool m_mayHaveArrived = false;
  /// What is known of the attempt in progress: a byte of an answer has come, or
  /// its upstream closed the connection, or no byte of it was sent.
  RetryFate m_fate = RetryFate::Unknown;
  /// The attempt in progress, or the next one, was taken from the retry budget.
  bool m_holdsRetry = false;
  std::optional<TimePoint> m_unprovenSince;
  bool m_isRejected = false;
  int m_status = 0;
  AnswerFields m_answer;
  /// Time of the last events of the attempt's stream.
  std::optional<TimePoint> m_lastEventAt;
  AttemptLog m_log;
};

} // namespace celeryspread
