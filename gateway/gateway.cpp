#include "gateway/gateway.h"

#include <algorithm>

#include "core/key_hash.h"
#include "gateway/forwarded_caller_call.h"
#include "http/http_status.h"

namespace celeryspread {

namespace {

/// Calls end at most this long after their deadline; callers tolerate half a
/// second.
constexpr Duration kDeadlineCheckPeriod = std::chrono::milliseconds(50);
/// After a restart of the whole deployment, a leader is elected and followed by
/// the entries in about this time (docs/design/heavy-days.md). A caller that
/// retried sooner would be refused again, and is late in either case.
constexpr Duration kStartupRetryAfter = std::chrono::milliseconds(1200);

} // namespace

Gateway::Gateway(GatewayContext& aContext)
  : m_context(aContext)
{
  m_deadlineTimer = m_context.m_timers.Every(kDeadlineCheckPeriod,
                                             [this] { CheckDeadlines(); });
  m_context.m_crashes.SetHoldListener([this] { HandleHeldParts(); });
}

Gateway::~Gateway()
{
  m_context.m_crashes.SetHoldListener({});
}

void Gateway::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  if (m_config != nullptr && aConfig->Version() <= m_config->Version()) {
    return;
  }
  m_config = std::move(aConfig);
  m_context.m_access.SetConfig(m_config);
  m_context.m_log.Write(
    EventId::RoutesInForce,
    "version=" + std::to_string(m_config->Version().Value()) +
      " routes=" + std::to_string(m_config->Routes().size()) +
      " pools=" + std::to_string(m_config->Pools().size()));
}

void Gateway::RefuseUnrouted(CallerCall& aCall,
                             int aStatus,
                             const CallFields* aCallFields,
                             std::optional<Duration> aRetryAfter,
                             const std::string& aReason)
{
  m_context.m_log.Write(
    EventId::CallRefused,
    "request=" +
      (aCallFields == nullptr ? "" : aCallFields->m_attempt.Value()) +
      " status=" + std::to_string(aStatus) +
      " path=" + std::string(aCall.Path()) + " reason=\"" + aReason + "\"");
  m_context.m_metrics.CountOutcome({ "", aStatus });
  aCall.Reply(aStatus,
              m_context.m_codec.GatewayAnswerHeaders(aCallFields, aRetryAfter),
              "");
}

bool Gateway::HasProvenConfig() const
{
  m_hasProvenConfig =
    m_hasProvenConfig ||
    (m_config != nullptr &&
     m_context.m_access.ProofAge(m_context.m_clock.Now()).has_value());
  return m_hasProvenConfig;
}

void Gateway::RefuseUnmatched(CallerCall& aCall, const CallFields& aCallFields)
{
  const std::string version = std::to_string(m_config->Version().Value());
  const auto proofAge = m_context.m_access.ProofAge(m_context.m_clock.Now());
  if (proofAge && *proofAge <= m_context.m_routeProofTime) {
    RefuseUnrouted(aCall,
                   HttpStatus::kNotFound,
                   &aCallFields,
                   std::nullopt,
                   "no route matches at version " + version);
    return;
  }
  // A newer version may have the route.
  RefuseUnrouted(aCall,
                 HttpStatus::kUnavailable,
                 &aCallFields,
                 AccessControl::kUnprovenRetryAfter,
                 "no route matches at version " + version +
                   ", which can't be proved to be current");
}

const PoolId& Gateway::ChoosePool(const Route& aRoute,
                                  const AttemptId& aAttempt)
{
  uint64_t totalWeight = 0;
  for (const PoolShare& share : aRoute.m_pools) {
    totalWeight += share.m_weight;
  }
  uint64_t point = ContentHash(aAttempt.Value()) % totalWeight;
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
  Accept(std::move(aCall), std::nullopt);
}

void Gateway::OnForwardedCall(std::unique_ptr<CallerCall> aCall,
                              const ForwardedFields& aFields)
{
  Accept(std::make_unique<ForwardedCallerCall>(std::move(aCall)), aFields);
}

HttpHeaders Gateway::RefusalHeaders(const CallerCall& aCall)
{
  const auto callFields = m_context.m_codec.ReadCall(aCall);
  return m_context.m_codec.GatewayAnswerHeaders(
    callFields ? &*callFields : nullptr, std::nullopt);
}

void Gateway::Accept(std::unique_ptr<CallerCall> aCall,
                     std::optional<ForwardedFields> aForwarded)
{
  const TimePoint now = m_context.m_clock.Now();
  auto callFields = m_context.m_codec.ReadCall(*aCall);
  if (!callFields) {
    RefuseUnrouted(*aCall,
                   HttpStatus::kBadRequest,
                   nullptr,
                   std::nullopt,
                   "the request's headers are malformed");
    return;
  }
  if (!HasProvenConfig()) {
    RefuseUnrouted(*aCall,
                   HttpStatus::kUnavailable,
                   &*callFields,
                   kStartupRetryAfter,
                   m_config == nullptr
                     ? "no route configuration is known yet"
                     : "no route configuration was proved to be current yet");
    return;
  }
  // The newer version may send the call elsewhere, and callers rely on it by
  // now.
  if (m_context.m_access.IsOutdated(m_context.m_routeProofTime, now)) {
    m_context.m_metrics.Count("celeryspread_gateway_outdated_routes_total");
    RefuseUnrouted(*aCall,
                   HttpStatus::kUnavailable,
                   &*callFields,
                   AccessControl::kUnprovenRetryAfter,
                   "a newer configuration than version " +
                     std::to_string(m_config->Version().Value()) +
                     " is overdue");
    return;
  }
  const Route* route =
    m_config->Find(aCall->Header("Host").value_or(""), aCall->Path());
  if (route == nullptr) {
    RefuseUnmatched(*aCall, *callFields);
    return;
  }
  GatewayCall::Input input;
  if (!IdentifyCaller(*aCall, *callFields, *route, input.m_identity)) {
    return;
  }
  input.m_suspects = SuspectsOf(*aCall, *callFields);
  input.m_caller = std::move(aCall);
  input.m_callFields = std::move(*callFields);
  input.m_config = m_config;
  input.m_route = route;
  input.m_pool = ChoosePool(*route, input.m_callFields.m_attempt);
  input.m_forwarded = std::move(aForwarded);
  input.m_arrivedAt = now;
  const Duration callerTimeout =
    input.m_callFields.m_callerTimeout.value_or(route->m_timeout);
  input.m_deadline = now + std::min(callerTimeout, route->m_timeout);
  auto call = std::make_unique<GatewayCall>(
    m_context, std::move(input), [this](GatewayCall& aEnded) {
      RemoveCall(aEnded);
    });
  GatewayCall* raw = call.get();
  m_calls.emplace(raw, std::move(call));
  m_deadlines.emplace(raw->Deadline(), raw);
  raw->Start();
}

bool Gateway::IdentifyCaller(CallerCall& aCall,
                             const CallFields& aCallFields,
                             const Route& aRoute,
                             CallerIdentity& aIdentity)
{
  const AccessControl::Verdict verdict =
    m_context.m_access.Identify(aRoute,
                                m_context.m_codec.ReadKey(aCall),
                                m_context.m_clock.Now(),
                                aIdentity);
  if (verdict == AccessControl::Verdict::Denied) {
    m_context.m_metrics.Count("celeryspread_gateway_unknown_keys_total");
    RefuseUnrouted(aCall,
                   HttpStatus::kUnauthorized,
                   &aCallFields,
                   std::nullopt,
                   "no team holds the caller's key at version " +
                     std::to_string(m_config->Version().Value()));
  } else if (verdict == AccessControl::Verdict::Unproven) {
    RefuseUnrouted(aCall,
                   HttpStatus::kUnavailable,
                   &aCallFields,
                   AccessControl::kUnprovenRetryAfter,
                   "the configuration can't be proved to be current");
  }
  return verdict == AccessControl::Verdict::Allowed;
}

PromptParts Gateway::SuspectsOf(CallerCall& aCall,
                                const CallFields& aCallFields) const
{
  PromptParts suspects = aCallFields.m_sharedParts;
  if (m_context.m_requests != nullptr) {
    const std::string target = aCall.Target();
    suspects.push_back(m_context.m_requests->Name(
      { aCall.Method(),
        aCall.Header("Host").value_or(""),
        target,
        m_context.m_codec.ReadKey(aCall).value_or(""),
        aCall.Body() }));
  }
  return suspects;
}

void Gateway::RemoveCall(GatewayCall& aCall)
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
  // One of the call's methods is on the stack, so it is destroyed later by a
  // timer.
  m_endedCalls.push_back(std::move(found->second));
  m_calls.erase(found);
  if (m_destroyTimer == nullptr) {
    m_destroyTimer = m_context.m_timers.After(Duration::zero(), [this] {
      std::vector<std::unique_ptr<GatewayCall>> ended;
      ended.swap(m_endedCalls);
      m_destroyTimer.reset();
    });
  }
}

void Gateway::HandleHeldParts()
{
  std::vector<GatewayCall*> calls;
  for (const auto& [call, owned] : m_calls) {
    calls.push_back(call);
  }
  // A call that ends leaves m_calls, and is destroyed later.
  for (GatewayCall* call : calls) {
    call->HandleHeldParts();
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
