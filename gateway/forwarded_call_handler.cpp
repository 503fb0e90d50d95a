#include "gateway/forwarded_call_handler.h"

#include "http/http_status.h"

namespace celeryspread {

ForwardedCallHandler::ForwardedCallHandler(const ForwardingProtocol& aProtocol,
                                           Gateway& aGateway,
                                           std::function<bool()> aTakesCalls,
                                           Metrics& aMetrics)
  : m_protocol(aProtocol)
  , m_gateway(aGateway)
  , m_takesCalls(std::move(aTakesCalls))
  , m_metrics(aMetrics)
{
}

void ForwardedCallHandler::OnCall(std::unique_ptr<CallerCall> aCall)
{
  const auto fields = m_protocol.ReadCall(*aCall);
  if (!fields) {
    m_metrics.Count("celeryspread_gateway_unproven_forwarded_calls_total");
    aCall->Reply(HttpStatus::kForbidden, {}, "");
    return;
  }
  if (!m_takesCalls()) {
    HttpHeaders headers = m_gateway.RefusalHeaders(*aCall);
    ForwardingProtocol::WriteUnable(headers);
    aCall->Reply(HttpStatus::kUnavailable, headers, "");
    return;
  }
  m_metrics.Count("celeryspread_gateway_calls_for_others_total");
  m_gateway.OnForwardedCall(std::move(aCall), *fields);
}

} // namespace celeryspread
