#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "http/caller_call.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// What a client's request says of itself.
struct CallFacts
{
  AttemptId m_attempt;
  /// How long the client waits, from the arrival of the request.
  std::optional<Duration> m_patience;
  /// Empty model for calls to plain services.
  ModelTarget m_target;
  uint32_t m_promptTokens = 0;
};

/// Load of an upstream as told by one of its answers.
struct LoadReading
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  /// How long work takes there now, in percent of the usual.
  uint32_t m_slownessPercent = 100;
};

/// What an upstream's answer says of itself.
struct AnswerFacts
{
  AttemptId m_attempt;
  /// The upstream proves that the request has not run and will not.
  bool m_isNotRun = false;
  /// The address belongs to another upstream, or the target is not loaded.
  bool m_isMisdirected = false;
  /// The answer is the upstream's own work and bears its signature.
  bool m_isSigned = false;
  std::optional<LoadReading> m_load;
};

/// What an attempt adds to the client's request.
struct AttemptFields
{
  UpstreamId m_upstream;
  Duration m_timeLeft{};
  /// 0 is admitted first; empty leaves the upstream's default.
  std::optional<uint32_t> m_priority;
  /// Last event of the stream that reached the client; empty for none.
  std::string m_lastEvent;
};

/// Translates between a protocol's headers and the product's types.
/// @thread loop thread only.
class CallCodec
{
public:
  virtual ~CallCodec() = default;
  /// Reads a client's request. @pre none.
  /// @error empty when a field that must be there is malformed.
  virtual std::optional<CallFacts> ReadCall(const CallerCall& aCall) = 0;
  /// Returns the headers of a request to an upstream. @pre none.
  virtual HttpHeaders AttemptHeaders(const CallerCall& aCall,
                                     const AttemptFields& aFields) = 0;
  /// Reads an upstream's answer. @pre none.
  virtual AnswerFacts ReadAnswer(int aStatus, const HttpHeaders& aHeaders) = 0;
  /// Returns the headers of an upstream's answer that the client gets.
  /// @pre none.
  virtual HttpHeaders AnswerHeaders(const HttpHeaders& aHeaders) = 0;
  /// Returns the headers of an answer of the gateway's own.
  /// @pre aRetryAfter is empty when the client should not come back.
  virtual HttpHeaders OwnHeaders(const CallFacts* aFacts,
                                 std::optional<Duration> aRetryAfter) = 0;
};

} // namespace celeryspread
