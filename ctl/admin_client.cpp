#include "ctl/admin_client.h"

#include <event2/event.h>

#include "core/system_clock.h"
#include "http/evhttp_upstream_client.h"

namespace celeryspread {

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(15);

/// Collects the response to one request, then stops the event loop.
class ResponseCollector : public UpstreamObserver
{
public:
  explicit ResponseCollector(event_base* aBase)
    : m_base(aBase)
  {
  }
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }
  void OnUpstreamBody(std::string_view aBytes) override { m_body += aBytes; }
  void OnUpstreamEnd() override { event_base_loopbreak(m_base); }
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    m_failure = aFailure.m_reason;
    event_base_loopbreak(m_base);
  }

  int m_status = 0;
  std::string m_body;
  std::string m_failure;

private:
  event_base* m_base;
};

} // namespace

AdminClient::AdminClient(UpstreamAddress aAddress, std::string aKey)
  : m_address(std::move(aAddress))
  , m_key(std::move(aKey))
  , m_base(event_base_new())
{
}

AdminClient::~AdminClient()
{
  event_base_free(m_base);
}

std::optional<AdminResponse> AdminClient::Send(const std::string& aMethod,
                                               const std::string& aPath,
                                               const std::string& aBody)
{
  const SystemClock clock;
  EvhttpUpstreamClient client(m_base, clock);
  ResponseCollector responseCollector(m_base);
  UpstreamRequest request;
  request.m_address = m_address;
  request.m_method = aMethod;
  request.m_path = aPath;
  request.m_headers = { { "Authorization", "Bearer " + m_key },
                        { "Content-Type", "application/json" } };
  request.m_body = aBody;
  request.m_firstByteTimeout = kRequestTimeout;
  request.m_progressTimeout = kRequestTimeout;
  const auto call = client.Start(std::move(request), responseCollector);
  event_base_dispatch(m_base);
  if (!responseCollector.m_failure.empty()) {
    m_lastReason = responseCollector.m_failure + " (" + m_address.m_address +
                   ":" + std::to_string(m_address.m_port) + ")";
    return std::nullopt;
  }
  AdminResponse response{ responseCollector.m_status,
                          nlohmann::json::parse(
                            responseCollector.m_body, nullptr, false) };
  if (response.m_body.is_discarded()) {
    m_lastReason = "the response is not valid JSON";
    return std::nullopt;
  }
  return response;
}

} // namespace celeryspread
