#include "gateway/call_end.h"

namespace celeryspread {

namespace {

std::string PartsText(const PromptParts& aParts)
{
  std::string text;
  for (const PromptPartId& part : aParts) {
    text += (text.empty() ? "" : ",") + part.Value();
  }
  return text;
}

/// Returns what a line says about a call for the rest of a stream: the attempt
/// that began it, and the software version at which it may go on.
std::string ResumeText(const RoutedCall& aCall)
{
  if (!aCall.m_callFields.m_isResumed) {
    return {};
  }
  return " resumes=" + aCall.m_callFields.m_resumedAttempt.Value() +
         " software=" +
         (aCall.m_software ? aCall.m_software->Value() : "unknown");
}

} // namespace

CallEnd::CallEnd(GatewayContext& aContext, const RoutedCall& aCall)
  : m_context(aContext)
  , m_call(aCall)
{
}

void CallEnd::Reply(int aStatus, std::optional<Duration> aRetryAfter)
{
  m_call.m_caller->Reply(
    aStatus,
    m_context.m_codec.GatewayAnswerHeaders(&m_call.m_callFields, aRetryAfter),
    "");
}

void CallEnd::Log(EventId aEvent,
                  int aStatus,
                  const std::string& aAttempts,
                  const std::string& aReason)
{
  const CallFields& callFields = m_call.m_callFields;
  const Team* team = m_call.m_identity.m_team;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_context.m_clock.Now() - m_call.m_arrivedAt);
  m_context.m_log.Write(
    aEvent,
    "request=" + callFields.m_attempt.Value() +
      (team == nullptr ? "" : " team=" + team->m_id.Value()) +
      " route=" + m_call.m_route->m_id.Value() +
      " routes_version=" + std::to_string(m_call.m_config->Version().Value()) +
      " pool=" + m_call.m_pool.Value() +
      " model=" + callFields.m_target.m_model +
      " adapter=" + callFields.m_target.m_adapter +
      " parts=" + PartsText(callFields.m_sharedParts) +
      " status=" + std::to_string(aStatus) +
      " age_ms=" + std::to_string(age.count()) + ResumeText(m_call) +
      " attempts=\"" + aAttempts + "\" reason=\"" + aReason + "\"");
}

void CallEnd::Count(int aStatus)
{
  m_context.m_metrics.CountOutcome({ m_call.m_route->m_id.Value(), aStatus });
  m_context.m_metrics.ObserveLatency({ m_call.m_pool.Value(), "call" },
                                     m_context.m_clock.Now() -
                                       m_call.m_arrivedAt);
}

} // namespace celeryspread
