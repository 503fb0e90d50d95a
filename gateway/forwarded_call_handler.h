#pragma once

#include <functional>

#include "gateway/forwarding_protocol.h"
#include "gateway/gateway.h"

namespace celeryspread {

/// Receives the calls that other entries forward, on an address that callers do
/// not reach, and passes those with a valid proof on to the gateway.
/// @thread loop thread only.
class ForwardedCallHandler : public CallHandler
{
public:
  /// aTakesCalls tells whether this entry can serve now. @pre all arguments
  /// outlive it.
  ForwardedCallHandler(const ForwardingProtocol& aProtocol,
                       Gateway& aGateway,
                       std::function<bool()> aTakesCalls,
                       Metrics& aMetrics);

  void OnCall(std::unique_ptr<CallerCall> aCall) override;

private:
  const ForwardingProtocol& m_protocol;
  Gateway& m_gateway;
  std::function<bool()> m_takesCalls;
  Metrics& m_metrics;
};

} // namespace celeryspread
