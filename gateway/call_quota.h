#pragma once

#include <memory>

#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"

namespace celeryspread {

/// The part of its team's quota that one call takes.
/// @thread loop thread only.
class CallQuota
{
public:
  /// Creates the part of one call. @pre both arguments outlive it.
  CallQuota(GatewayContext& aContext, const RoutedCall& aCall);
  ~CallQuota();
  CallQuota(const CallQuota&) = delete;
  CallQuota& operator=(const CallQuota&) = delete;

  /// Takes the cost of the call. aDone is called once, perhaps before the
  /// method returns, unless the call is destroyed or Release() is called
  /// before.
  /// @pre called once.
  void Take(QuotaGate::Done aDone);
  /// Gives the cost back, also if it is admitted later. @pre the call certainly
  /// did not run and will not run.
  void Release();

private:
  /// Shared with the callback, which may come after the call has ended.
  struct State
  {
    bool m_isAdmitted = false;
    bool m_isReleased = false;
    bool m_isAlive = true;
  };

  GatewayContext& m_context;
  const RoutedCall& m_call;
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace celeryspread
