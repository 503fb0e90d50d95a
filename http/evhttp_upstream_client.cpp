#include "http/evhttp_upstream_client.h"

#include <algorithm>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "http/evhttp_upstream_call.h"

namespace celeryspread {

namespace {

constexpr timeval kExpiryCheckPeriod = { 1, 0 };
/// Shorter than the common keep-alive timeouts of upstreams, so that the client
/// closes an idle connection first.
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
constexpr size_t kMaxIdlePerUpstream = 64;

} // namespace

EvhttpUpstreamClient::EvhttpUpstreamClient(event_base* aBase,
                                           const Clock& aClock,
                                           size_t aMaxHeldBytes,
                                           LoopTurns* aTurns)
  : UpstreamClient(aMaxHeldBytes)
  , m_base(aBase)
  , m_clock(aClock)
  , m_turns(aTurns)
  , m_expiryTimer(event_new(aBase, -1, EV_PERSIST, OnExpiryTimer, this))
  , m_freeEvent(event_new(
      aBase,
      -1,
      0,
      [](int, short, void* aSelf) {
        static_cast<EvhttpUpstreamClient*>(aSelf)->FreeRetired();
      },
      this))
{
  event_add(m_expiryTimer, &kExpiryCheckPeriod);
}

EvhttpUpstreamClient::~EvhttpUpstreamClient()
{
  event_free(m_expiryTimer);
  event_free(m_freeEvent);
  for (auto& [address, connections] : m_idle) {
    for (const IdleConnection& idle : connections) {
      evhttp_connection_set_closecb(idle.m_connection, nullptr, nullptr);
      evhttp_connection_free(idle.m_connection);
    }
  }
  FreeRetired();
}

size_t EvhttpUpstreamClient::IdleConnectionCount() const
{
  size_t count = 0;
  for (const auto& [address, connections] : m_idle) {
    count += connections.size();
  }
  return count;
}

evhttp_connection* EvhttpUpstreamClient::Connect(
  const UpstreamAddress& aAddress)
{
  return evhttp_connection_base_bufferevent_new(
    m_base, nullptr, nullptr, aAddress.m_address.c_str(), aAddress.m_port);
}

evhttp_connection* EvhttpUpstreamClient::TakeIdle(
  const UpstreamAddress& aAddress)
{
  const auto found = m_idle.find(aAddress);
  if (found == m_idle.end()) {
    return nullptr;
  }
  CloseExpired(found->second);
  if (found->second.empty()) {
    m_idle.erase(found);
    return nullptr;
  }
  // The most recently used connection is the least likely to be closed by the
  // upstream.
  evhttp_connection* connection = found->second.back().m_connection;
  found->second.pop_back();
  if (found->second.empty()) {
    m_idle.erase(found);
  }
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  return connection;
}

void EvhttpUpstreamClient::KeepIdle(const UpstreamAddress& aAddress,
                                    evhttp_connection* aConnection,
                                    Duration aIdleTimeout)
{
  std::deque<IdleConnection>& idle = m_idle[aAddress];
  if (idle.size() >= kMaxIdlePerUpstream) {
    FreeLater(aConnection);
    return;
  }
  evhttp_connection_set_closecb(aConnection, OnIdleClosed, this);
  idle.push_back(
    { aConnection, m_clock.Now() + std::min(aIdleTimeout, kMaxIdleTime) });
}

void EvhttpUpstreamClient::OnIdleClosed(evhttp_connection* aConnection,
                                        void* aSelf)
{
  auto* self = static_cast<EvhttpUpstreamClient*>(aSelf);
  for (auto it = self->m_idle.begin(); it != self->m_idle.end(); ++it) {
    auto& idle = it->second;
    const auto found =
      std::find_if(idle.begin(), idle.end(), [&](const IdleConnection& aEntry) {
        return aEntry.m_connection == aConnection;
      });
    if (found == idle.end()) {
      continue;
    }
    idle.erase(found);
    if (idle.empty()) {
      self->m_idle.erase(it);
    }
    self->FreeLater(aConnection);
    return;
  }
}

void EvhttpUpstreamClient::FreeLater(evhttp_connection* aConnection,
                                     std::shared_ptr<void> aArgument)
{
  evhttp_connection_set_closecb(aConnection, nullptr, nullptr);
  m_retired.push_back({ aConnection, std::move(aArgument) });
  event_active(m_freeEvent, 0, 0);
}

void EvhttpUpstreamClient::FreeRetired()
{
  std::vector<RetiredConnection> retired;
  retired.swap(m_retired);
  for (const RetiredConnection& entry : retired) {
    evhttp_connection_free(entry.m_connection);
  }
}

void EvhttpUpstreamClient::OnExpiryTimer(int /*aFd*/,
                                         short /*aWhat*/,
                                         void* aSelf)
{
  static_cast<EvhttpUpstreamClient*>(aSelf)->CloseAllExpired();
}

void EvhttpUpstreamClient::CloseExpired(std::deque<IdleConnection>& aIdle)
{
  const TimePoint now = m_clock.Now();
  std::erase_if(aIdle, [&](const IdleConnection& aEntry) {
    const bool isExpired = aEntry.m_expiresAt <= now;
    if (isExpired) {
      FreeLater(aEntry.m_connection);
    }
    return isExpired;
  });
}

void EvhttpUpstreamClient::CloseAllExpired()
{
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    CloseExpired(it->second);
    it = it->second.empty() ? m_idle.erase(it) : std::next(it);
  }
}

std::unique_ptr<UpstreamCall> EvhttpUpstreamClient::Start(
  UpstreamRequest aRequest,
  UpstreamObserver& aObserver)
{
  evhttp_connection* connection = nullptr;
  if (aRequest.m_mayReuseConnection) {
    connection = TakeIdle(aRequest.m_address);
  }
  const bool isReused = connection != nullptr;
  if (!isReused) {
    connection = Connect(aRequest.m_address);
  }
  return std::make_unique<EvhttpUpstreamCall>(
    *this, connection, isReused, std::move(aRequest), aObserver);
}

} // namespace celeryspread
