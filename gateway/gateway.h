#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "gateway/gateway_call.h"
#include "http/caller_server.h"

namespace celeryspread {

/// Receives calls, matches them with routes, owns the calls in progress and
/// ends them at their deadlines.
/// @thread loop thread only.
class Gateway : public CallHandler
{
public:
  /// Creates the gateway. @pre aContext outlives it.
  explicit Gateway(GatewayContext& aContext);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Applies a configuration unless its version is not newer than the current
  /// one. @pre aConfig is not null.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);
  /// Returns the current configuration, null before the first. @pre none.
  [[nodiscard]] const std::shared_ptr<const RouteConfig>& Config() const
  {
    return m_config;
  }
  /// Returns whether a configuration is known that was proved to be the newest
  /// one since the start. Before that, the first document may have come from an
  /// instance that lags. @pre none.
  [[nodiscard]] bool HasProvenConfig() const;
  void OnCall(std::unique_ptr<CallerCall> aCall) override;
  /// Receives a call that another entry forwards. @pre aCall is not null.
  void OnForwardedCall(std::unique_ptr<CallerCall> aCall,
                       const ForwardedFields& aFields);
  /// Returns the headers of an answer that turns a call away for good.
  /// @pre none.
  [[nodiscard]] HttpHeaders RefusalHeaders(const CallerCall& aCall);
  /// Returns the number of calls in progress. @pre none.
  [[nodiscard]] size_t CallCount() const { return m_calls.size(); }

private:
  void Accept(std::unique_ptr<CallerCall> aCall,
              std::optional<ForwardedFields> aForwarded);
  void RefuseUnrouted(CallerCall& aCall,
                      int aStatus,
                      const CallFields* aCallFields,
                      std::optional<Duration> aRetryAfter,
                      const std::string& aReason);
  /// Refuses a call that no route matches.
  void RefuseUnmatched(CallerCall& aCall, const CallFields& aCallFields);
  [[nodiscard]] static const PoolId& ChoosePool(const Route& aRoute,
                                                const AttemptId& aAttempt);
  /// Identifies the caller's team; refuses the call if its key does not permit
  /// it. @return whether the call may run.
  bool IdentifyCaller(CallerCall& aCall,
                      const CallFields& aCallFields,
                      const Route& aRoute,
                      CallerIdentity& aIdentity);
  /// Returns what of a call may end engines.
  [[nodiscard]] PromptParts SuspectsOf(CallerCall& aCall,
                                       const CallFields& aCallFields) const;
  void RemoveCall(GatewayCall& aCall);
  void CheckDeadlines();
  /// Ends the calls with parts that are newly held back.
  void HandleHeldParts();

  GatewayContext& m_context;
  std::shared_ptr<const RouteConfig> m_config;
  /// Whether some configuration was proved; a former proof stays.
  mutable bool m_hasProvenConfig = false;
  std::unordered_map<GatewayCall*, std::unique_ptr<GatewayCall>> m_calls;
  std::multimap<TimePoint, GatewayCall*> m_deadlines;
  std::vector<std::unique_ptr<GatewayCall>> m_endedCalls;
  std::unique_ptr<Timer> m_deadlineTimer;
  std::unique_ptr<Timer> m_destroyTimer;
};

} // namespace celeryspread
