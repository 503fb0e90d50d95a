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
      evhttp_connection* connection = idle.m_connection.m_connection;
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      evhttp_connection_free(connection);
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

std::optional<EvhttpUpstreamClient::Connection> EvhttpUpstreamClient::TakeIdle(
  const UpstreamAddress& aAddress,
  std::string_view aExchange)
{
  const auto found = m_idle.find(aAddress);
  if (found == m_idle.end()) {
    return std::nullopt;
  }
  std::deque<IdleConnection>& idle = found->second;
  CloseExpired(idle);
  // The most recently used connection is the least likely to be closed by the
  // upstream.
  const auto usable =
    std::find_if(idle.rbegin(), idle.rend(), [&](const IdleConnection& aEntry) {
      return !aEntry.m_connection.m_history.Contains(aExchange);
    });
  std::optional<Connection> taken;
  if (usable != idle.rend()) {
    taken = std::move(usable->m_connection);
    taken->m_isReused = true;
    evhttp_connection_set_closecb(taken->m_connection, nullptr, nullptr);
    idle.erase(std::next(usable).base());
  }
  if (idle.empty()) {
    m_idle.erase(found);
  }
  return taken;
}

void EvhttpUpstreamClient::KeepIdle(const UpstreamAddress& aAddress,
                                    Connection aConnection,
                                    Duration aIdleTimeout)
{
  std::deque<IdleConnection>& idle = m_idle[aAddress];
  if (idle.size() >= kMaxIdlePerUpstream) {
    FreeLater(aConnection.m_connection);
    return;
  }
  evhttp_connection_set_closecb(aConnection.m_connection, OnIdleClosed, this);
  idle.push_back({ std::move(aConnection),
                   m_clock.Now() + std::min(aIdleTimeout, kMaxIdleTime) });
}

void EvhttpUpstreamClient::OnIdleClosed(evhttp_connection* aConnection,
                                        void* aSelf)
{
  auto* self = static_cast<EvhttpUpstreamClient*>(aSelf);
  for (auto it = self->m_idle.begin(); it != self->m_idle.end(); ++it) {
    auto& idle = it->second;
    const auto found =
      std::find_if(idle.begin(), idle.end(), [&](const IdleConnection& aEntry) {
        return aEntry.m_connection.m_connection == aConnection;
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
      FreeLater(aEntry.m_connection.m_connection);
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
  std::optional<Connection> connection;
  if (aRequest.m_mayReuseConnection) {
    connection = TakeIdle(aRequest.m_address, aRequest.m_exchange);
  }
  if (!connection) {
    connection = Connection{ Connect(aRequest.m_address), false, {} };
  }
  return std::make_unique<EvhttpUpstreamCall>(
    *this, std::move(*connection), std::move(aRequest), aObserver);
}

} // namespace celeryspread
