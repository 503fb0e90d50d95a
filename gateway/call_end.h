#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"

namespace celeryspread {

/// Answers that the gateway itself gives to one call, and the records of the
/// call's end.
/// @thread loop thread only.
class CallEnd
{
public:
  /// Creates the end of one call. @pre both arguments outlive it.
  CallEnd(GatewayContext& aContext, const RoutedCall& aCall);

  /// Sends an answer of the gateway. @pre the caller has no answer yet;
  /// aRetryAfter is empty if the caller should not retry.
  void Reply(int aStatus, std::optional<Duration> aRetryAfter);
  /// Writes the log line of the call, with its attempts and the reason.
  /// @pre none.
  void Log(EventId aEvent,
           int aStatus,
           const std::string& aAttempts,
           const std::string& aReason);
  /// Counts the outcome and the duration of the call. @pre called once.
  void Count(int aStatus);

private:
  GatewayContext& m_context;
  const RoutedCall& m_call;
};

} // namespace celeryspread
