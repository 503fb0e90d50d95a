#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "http/caller_call.h"
#include "quarantine/crash_record.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// What the gateway reads from a caller's request.
struct CallFields
{
  AttemptId m_attempt;
  /// Whether the caller asks for the rest of a stream that has broken off.
  bool m_isResumed = false;
  /// The caller's attempt that brought the first event of that stream; empty if
  /// the caller does not name it.
  AttemptId m_resumedAttempt;
  /// How long the caller still waits for the answer, counted from the arrival
  /// of the request.
  std::optional<Duration> m_callerTimeout;
  /// The model is empty for calls to plain services.
  ModelTarget m_target;
  uint32_t m_promptTokens = 0;
  /// Tokens of the prompt and the most tokens of the answer, if the caller
  /// states them.
  std::optional<uint64_t> m_totalTokens;
  /// Parts of the prompt that other calls may share, in order. The last part
  /// belongs to the call or its session and is left out.
  PromptParts m_sharedParts;
};

/// Load of an upstream, reported in one of its answers.
struct LoadReading
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  /// Duration of work on it now. @unit percent of the usual duration.
  uint32_t m_slownessPercent = 100;
};

/// What the gateway reads from the headers of an upstream's answer.
struct AnswerFields
{
  AttemptId m_attempt;
  /// The upstream guarantees that the request did not run and will not run.
  bool m_hasNotRun = false;
  /// Another upstream now has the address, or the target is not loaded.
  bool m_isMisdirected = false;
  /// The answer carries the upstream's signature, so the upstream computed it.
  bool m_isSigned = false;
  std::optional<LoadReading> m_load;
  /// Requests a second that the upstream takes from all entries together.
  std::optional<double> m_rateLimit;
  /// The upstream is about to stop and wants no new requests.
  bool m_isLeaving = false;
  /// How long the upstream wants no request from this entry.
  std::optional<Duration> m_backOff;
};

/// What an attempt adds to the caller's request.
struct AttemptFields
{
  /// Empty if the attempt goes to another entry.
  UpstreamId m_upstream;
  Duration m_timeLeft{};
  /// 0 is admitted first; empty selects the upstream's default.
  std::optional<uint32_t> m_priority;
  /// Id of the last event that was passed to the caller; empty for none.
  std::string m_lastEvent;
  /// Whether the configuration has teams, so that the caller's key is removed
  /// and the name of its team is set.
  bool m_hasTeams = false;
  /// Empty if the caller's team is not known.
  TeamId m_team;
};

/// Converts between the headers of a protocol and the gateway's types.
/// @thread loop thread only.
class CallCodec
{
public:
  virtual ~CallCodec() = default;
  /// Reads a caller's request. @pre none.
  /// @error empty if a required field is malformed.
  virtual std::optional<CallFields> ReadCall(const CallerCall& aCall) = 0;
  /// Returns the key by which the caller proves which team it belongs to, empty
  /// if it sent none. It must not be logged nor passed on. @pre none.
  virtual std::optional<std::string_view> ReadKey(const CallerCall& aCall) = 0;
  /// Returns the headers of the request to an upstream. @pre none.
  virtual HttpHeaders AttemptHeaders(const CallerCall& aCall,
                                     const AttemptFields& aFields) = 0;
  /// Reads an upstream's answer. @pre none.
  virtual AnswerFields ReadAnswer(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// Returns those headers of an upstream's answer that the caller receives.
  /// @pre none.
  virtual HttpHeaders AnswerHeaders(const HttpHeaders& aHeaders) = 0;
  /// Returns the headers of an answer that the gateway itself gives.
  /// @pre aRetryAfter is empty if the caller should not retry.
  virtual HttpHeaders GatewayAnswerHeaders(
    const CallFields* aCallFields,
    std::optional<Duration> aRetryAfter) = 0;
};

} // namespace celeryspread
