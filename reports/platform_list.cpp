#include "reports/platform_list.h"

#include "core/json_text.h"

namespace celeryspread {

namespace {

constexpr Duration kPollTimeout = std::chrono::seconds(2);
constexpr size_t kMaxListBytes = 4'194'304;

} // namespace

std::optional<std::set<UpstreamId>> ParsePlatformList(std::string_view aText)
{
  JsonReader reader(JsonLimits{});
  const auto document = reader.Parse(aText);
  if (!document || !document->is_object() || !document->contains("leaving") ||
      !(*document)["leaving"].is_array()) {
    return std::nullopt;
  }
  std::set<UpstreamId> leaving;
  for (const nlohmann::json& id : (*document)["leaving"]) {
    if (!id.is_string()) {
      return std::nullopt;
    }
    leaving.insert(UpstreamId(id.get<std::string>()));
  }
  return leaving;
}

PlatformList::PlatformList(ReportPoller::Dependencies aDependencies,
                           UpstreamAddress aAddress,
                           std::string aPath,
                           Duration aPeriod,
                           Listener aListener)
  : m_deps(aDependencies)
  , m_address(std::move(aAddress))
  , m_path(std::move(aPath))
  , m_listener(std::move(aListener))
  , m_timer(aDependencies.m_timers.Every(aPeriod, [this] { Poll(); }))
{
  Poll();
}

void PlatformList::Poll()
{
  if (m_isPolling) {
    return;
  }
  m_isPolling = true;
  m_body.clear();
  UpstreamRequest request;
  request.m_address = m_address;
  request.m_method = "GET";
  request.m_path = m_path;
  request.m_firstByteTimeout = kPollTimeout;
  request.m_progressTimeout = kPollTimeout;
  m_call = m_deps.m_client.Start(std::move(request), *this);
}

void PlatformList::OnUpstreamHeaders(int /*aStatus*/,
                                     const HttpHeaders& /*aHeaders*/)
{
}

void PlatformList::OnUpstreamBody(std::string_view aBytes)
{
  if (m_body.size() + aBytes.size() <= kMaxListBytes) {
    m_body += aBytes;
  }
}

void PlatformList::OnUpstreamEnd()
{
  m_isPolling = false;
  const auto leaving = ParsePlatformList(m_body);
  if (!leaving) {
    m_deps.m_log.Write(EventId::PlatformListLost, "the list is malformed");
    return;
  }
  for (const UpstreamId& id : *leaving) {
    m_listener(id);
  }
}

void PlatformList::OnUpstreamFailed(const UpstreamFailure& aFailure)
{
  m_isPolling = false;
  m_deps.m_log.Write(EventId::PlatformListLost, aFailure.m_reason);
}

} // namespace celeryspread
