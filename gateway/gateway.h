#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "gateway/gateway_call.h"
#include "http/caller_server.h"

namespace celeryspread {

/// The front door for routed calls: matches routes, owns the calls in
/// progress and ends them when their time is over.
/// @thread loop thread only.
class Gateway : public CallHandler
{
public:
  /// Assembles the gateway. @pre aContext outlives it.
  explicit Gateway(GatewayContext& aContext);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Puts a configuration in force; an older one is ignored. @pre not null.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);
  /// Returns the configuration in force, null before the first. @pre none.
  [[nodiscard]] const std::shared_ptr<const RouteConfig>& Config() const
  {
    return m_config;
  }
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Returns the calls in progress. @pre none.
  [[nodiscard]] size_t CallCount() const { return m_calls.size(); }

private:
  void RefuseEarly(CallerCall& aCall,
                   int aStatus,
                   const CallFacts* aFacts,
                   std::optional<Duration> aRetryAfter,
                   const std::string& aReason);
  [[nodiscard]] static const PoolId& ChoosePool(const Route& aRoute,
                                                const AttemptId& aAttempt);
  void Retire(GatewayCall& aCall);
  void CheckDeadlines();

  GatewayContext& m_context;
  std::shared_ptr<const RouteConfig> m_config;
  std::unordered_map<GatewayCall*, std::unique_ptr<GatewayCall>> m_calls;
  std::multimap<TimePoint, GatewayCall*> m_deadlines;
  std::vector<std::unique_ptr<GatewayCall>> m_retired;
  std::unique_ptr<Timer> m_deadlineTimer;
  std::unique_ptr<Timer> m_retireTimer;
};

} // namespace celeryspread
