#include "gateway/gateway.h"

#include <algorithm>

#include "core/key_hash.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Deadlines are kept this exactly; clients allow half a second.
constexpr Duration kDeadlinePeriod = std::chrono::milliseconds(50);
/// When everything was restarted, a leader is there and entries follow it after
/// about this time (docs/design/heavy-days.md). A client that came back sooner
/// would be refused again, and is late in either case.
constexpr Duration kStartingRetryAfter = std::chrono::milliseconds(1200);

} // namespace

Gateway::Gateway(GatewayContext& aContext)
  : m_context(aContext)
{
  m_deadlineTimer =
    m_context.m_timers.Every(kDeadlinePeriod, [this] { CheckDeadlines(); });
}

Gateway::~Gateway() = default;

void Gateway::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  if (m_config != nullptr && aConfig->Version() <= m_config->Version()) {
    return;
  }
  m_config = std::move(aConfig);
  m_context.m_log.Write(
    EventId::RoutesInForce,
    "version=" + std::to_string(m_config->Version().Value()) +
      " routes=" + std::to_string(m_config->Routes().size()) +
      " pools=" + std::to_string(m_config->Pools().size()));
}

void Gateway::RefuseEarly(CallerCall& aCall,
                          int aStatus,
                          const CallFacts* aFacts,
                          std::optional<Duration> aRetryAfter,
                          const std::string& aReason)
{
  m_context.m_log.Write(
    EventId::CallRefused,
    "request=" + (aFacts == nullptr ? "" : aFacts->m_attempt.Value()) +
      " status=" + std::to_string(aStatus) +
      " path=" + std::string(aCall.Path()) + " reason=\"" + aReason + "\"");
  m_context.m_metrics.CountOutcome({ "", aStatus });
  aCall.Reply(aStatus, m_context.m_codec.OwnHeaders(aFacts, aRetryAfter), "");
}

const PoolId& Gateway::ChoosePool(const Route& aRoute,
                                  const AttemptId& aAttempt)
{
  uint64_t total = 0;
  for (const PoolShare& share : aRoute.m_pools) {
    total += share.m_weight;
  }
  uint64_t point = ContentHash(aAttempt.Value()) % total;
  for (const PoolShare& share : aRoute.m_pools) {
    if (point < share.m_weight) {
      return share.m_pool;
    }
    point -= share.m_weight;
  }
  return aRoute.m_pools.front().m_pool;
}

void Gateway::OnCall(std::unique_ptr<CallerCall> aCall)
{
  const TimePoint now = m_context.m_clock.Now();
  auto facts = m_context.m_codec.ReadCall(*aCall);
  if (!facts) {
    RefuseEarly(*aCall,
                HttpStatus::kBadRequest,
                nullptr,
                std::nullopt,
                "the request's headers are malformed");
    return;
  }
  if (m_config == nullptr) {
    RefuseEarly(*aCall,
                HttpStatus::kUnavailable,
                &*facts,
                kStartingRetryAfter,
                "no route configuration is known yet");
    return;
  }
  const Route* route =
    m_config->Find(aCall->Header("Host").value_or(""), aCall->Path());
  if (route == nullptr) {
    RefuseEarly(*aCall,
                HttpStatus::kNotFound,
                &*facts,
                std::nullopt,
                "no route matches at version " +
                  std::to_string(m_config->Version().Value()));
    return;
  }
  GatewayCall::Parts parts;
  parts.m_caller = std::move(aCall);
  parts.m_facts = std::move(*facts);
  parts.m_config = m_config;
  parts.m_route = route;
  parts.m_pool = ChoosePool(*route, parts.m_facts.m_attempt);
  parts.m_arrivedAt = now;
  const Duration patience = parts.m_facts.m_patience.value_or(route->m_timeout);
  parts.m_deadline = now + std::min(patience, route->m_timeout);
  auto call = std::make_unique<GatewayCall>(
    m_context, std::move(parts), [this](GatewayCall& aEnded) {
      Retire(aEnded);
    });
  GatewayCall* raw = call.get();
  m_calls.emplace(raw, std::move(call));
  m_deadlines.emplace(raw->Deadline(), raw);
  raw->Start();
}

void Gateway::Retire(GatewayCall& aCall)
{
  const auto range = m_deadlines.equal_range(aCall.Deadline());
  for (auto it = range.first; it != range.second; ++it) {
    if (it->second == &aCall) {
      m_deadlines.erase(it);
      break;
    }
  }
  const auto found = m_calls.find(&aCall);
  if (found == m_calls.end()) {
    return;
  }
  // The call is on the stack, so it is destroyed from the loop.
  m_retired.push_back(std::move(found->second));
  m_calls.erase(found);
  if (m_retireTimer == nullptr) {
    m_retireTimer = m_context.m_timers.After(Duration::zero(), [this] {
      std::vector<std::unique_ptr<GatewayCall>> retired;
      retired.swap(m_retired);
      m_retireTimer.reset();
    });
  }
}

void Gateway::CheckDeadlines()
{
  const TimePoint now = m_context.m_clock.Now();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    GatewayCall* call = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    call->HandleDeadline();
  }
}

} // namespace celeryspread
