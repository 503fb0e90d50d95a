#include "http/caller_server.h"

#include <sys/socket.h>

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

// The part of CallerServer that keeps clients within the budget.

namespace celeryspread {

namespace {

/// Memory of a name or a value of a header beyond its bytes. evhttp allocates
/// each on its own; lines of five bytes take twenty times their size.
constexpr size_t kHeaderPartBytes = 96;
constexpr size_t kMinHeaderLineBytes = 5;
constexpr size_t kPartsOfHeaderLine = 2;
/// Memory of a buffer that a read into an empty input allocates. It stays when
/// the read brings a short chunk of a body.
constexpr size_t kBufferBytes = 1'024;
/// Bytes of framing within a request that is not too large.
constexpr size_t kMaxFramingBytes = 65'536;
/// Share of the connections that are closed at once for new ones.
constexpr size_t kClosedConnectionsDivisor = 16;
/// A client that takes no queued byte, or sends no request, for as long gives
/// room to others.
constexpr Duration kMinStallTime = std::chrono::milliseconds(250);
constexpr char kTooLargeResponse[] =
  "HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\n"
  "Connection: close\r\n\r\n";

} // namespace

void CallerServer::CountInput(Connection& aState,
                              const evbuffer_cb_info& aInfo,
                              size_t aLength)
{
  if (!HasBudget()) {
    return;
  }
  // evhttp takes two parts out of the input for each line. Lines of chunks are
  // not kept, so only as many bytes count as a header may have.
  const bool mayBeHeader = aState.m_phase != Phase::Responding &&
                           aState.m_received <= m_limits.m_maxHeaderBytes;
  if (aInfo.n_deleted > 0 && mayBeHeader) {
    aState.m_account.AddInput(kHeaderPartBytes);
  }
  if (aInfo.n_added == 0) {
    return;
  }
  aState.m_received += aInfo.n_added;
  aState.m_moved += aInfo.n_added;
  aState.m_account.AddInput(kInputFactor * aInfo.n_added +
                            (aInfo.orig_size == 0 ? kBufferBytes : 0));
  if (!aState.m_account.TakeRoomFor(NeededBytes(aState, aLength))) {
    Pause(aState);
  }
  // evhttp keeps a line with the length of a chunk until it ends.
  const size_t maxLength =
    m_limits.m_maxHeaderBytes + m_limits.m_maxBodyBytes + kMaxFramingBytes;
  if (aState.m_phase != Phase::Responding && aLength > maxLength) {
    bufferevent_disable(aState.m_bufferevent, EV_READ);
    aState.m_isTooLarge = true;
    event_active(m_refusalEvent, 0, 0);
  }
}

size_t CallerServer::NeededBytes(const Connection& aState, size_t aLength) const
{
  const bool mayBeHeader = aState.m_phase != Phase::Responding &&
                           aState.m_received <= m_limits.m_maxHeaderBytes;
  const size_t lines = mayBeHeader ? aLength / kMinHeaderLineBytes : 0;
  return CallerBudget::kReadBytes +
         lines * kPartsOfHeaderLine * kHeaderPartBytes;
}

void CallerServer::Pause(Connection& aState)
{
  // evhttp enables reading by itself after a response.
  m_pausedCount += aState.m_isPaused ? 0 : 1;
  aState.m_isPaused = true;
  bufferevent_disable(aState.m_bufferevent, EV_READ);
  if (aState.m_phase != Phase::Responding) {
    // Below the low watermark evhttp does not get what was read.
    bufferevent_setwatermark(aState.m_bufferevent, EV_READ, SIZE_MAX, 0);
  }
}

void CallerServer::Resume(Connection& aState)
{
  aState.m_isPaused = false;
  --m_pausedCount;
  bufferevent* bev = aState.m_bufferevent;
  if (aState.m_phase != Phase::Responding) {
    bufferevent_setwatermark(bev, EV_READ, 0, 0);
    bufferevent_trigger(
      bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  bufferevent_enable(bev, EV_READ);
}

void CallerServer::OnOutput(evbuffer* aBuffer,
                            const evbuffer_cb_info* aInfo,
                            void* aConnection)
{
  auto* state = static_cast<Connection*>(aConnection);
  if (!state->m_server->HasBudget()) {
    return;
  }
  state->m_moved += aInfo->n_deleted;
  state->m_account.SetOutput(evbuffer_get_length(aBuffer));
  if (aInfo->n_deleted > 0 || aInfo->orig_size == 0) {
    state->m_lastSent = state->m_server->m_clock.Now();
  }
  if (aInfo->n_deleted > 0) {
    state->m_server->ScheduleRoom();
  }
}

void CallerServer::ScheduleRoom()
{
  if (m_pausedCount > 0 || m_isListenerPaused) {
    event_active(m_refusalEvent, 0, 0);
  }
}

void CallerServer::NotifyLimited(ClientLimit aLimit, size_t aHeldBytes)
{
  if (m_observer != nullptr) {
    m_observer->OnClientLimited(aLimit, aHeldBytes);
  }
}

bool CallerServer::IsAwaited(const Connection& aState)
{
  const bool hasOutput =
    evbuffer_get_length(bufferevent_get_output(aState.m_bufferevent)) > 0;
  return hasOutput || aState.m_phase == Phase::Receiving;
}

void CallerServer::CountStalledSweeps()
{
  // Small requests come and go; they give little room back.
  bool mayGetRoom = false;
  for (auto& [bev, state] : m_connections) {
    const bool isStalled =
      state->m_moved == 0 && (state->m_isPaused || IsAwaited(*state));
    state->m_stalledSweeps = isStalled ? state->m_stalledSweeps + 1 : 0;
    // A call in progress that waits for an engine ends without its client.
    const bool isActive =
      state->m_moved > 0 ||
      (state->m_phase == Phase::Responding && !IsAwaited(*state));
    const bool isLarge =
      state->m_account.Held() >
      CallerBudget::kConnectionBytes + CallerBudget::kSmallBytes;
    mayGetRoom = mayGetRoom || (isActive && isLarge);
    state->m_moved = 0;
  }
  MakeRoomForPaused(mayGetRoom);
  MakeRoomForConnections();
}

void CallerServer::MakeRoomForPaused(bool aMayGetRoom)
{
  if (m_pausedCount == 0) {
    return;
  }
  std::vector<Connection*> connections;
  std::vector<RoomHolder> holders;
  for (auto& [bev, state] : m_connections) {
    connections.push_back(state.get());
    const size_t length = evbuffer_get_length(bufferevent_get_input(bev));
    holders.push_back({ state->m_account.Held(),
                        state->m_account.Input(),
                        state->m_isPaused,
                        state->m_account.IsFinishing(),
                        NeededBytes(*state, length),
                        state->m_stalledSweeps });
  }
  const RoomPlan plan = PlanRoom(m_budget, holders, aMayGetRoom);
  for (const size_t index : plan.m_toResume) {
    Resume(*connections[index]);
  }
  std::vector<Connection*> toClose;
  for (const size_t index : plan.m_toClose) {
    NotifyLimited(ClientLimit::NoProgress, holders[index].m_heldBytes);
    toClose.push_back(connections[index]);
  }
  CloseAll(toClose);
}

bool CallerServer::MakeRoomForResponse(evhttp_connection* aConnection,
                                       size_t aBytes)
{
  Connection& own =
    *m_connections.at(evhttp_connection_get_bufferevent(aConnection));
  while (!own.m_account.HasRoomForResponse(aBytes)) {
    Connection* stalled = nullptr;
    for (auto& [bev, state] : m_connections) {
      const bool hasOutput =
        evbuffer_get_length(bufferevent_get_output(bev)) > 0;
      const bool isStalled =
        hasOutput && m_clock.Now() - state->m_lastSent >= kMinStallTime;
      const bool isWorse =
        stalled == nullptr || state->m_lastSent < stalled->m_lastSent;
      if (state.get() != &own && isStalled && isWorse) {
        stalled = state.get();
      }
    }
    if (stalled == nullptr) {
      NotifyLimited(ClientLimit::NoRoom, own.m_account.Held());
      return false;
    }
    NotifyLimited(ClientLimit::NoProgress, stalled->m_account.Held());
    CloseAll({ stalled });
  }
  return true;
}

void CallerServer::MakeRoomForConnections()
{
  if (!m_isListenerPaused) {
    return;
  }
  if (m_connections.size() >= m_limits.m_maxConnections) {
    std::vector<Connection*> idle;
    for (auto& [bev, state] : m_connections) {
      // A new client has not had the time to send its request.
      const bool isUnused =
        state->m_phase == Phase::Idle && !IsAwaited(*state) &&
        m_clock.Now() - state->m_lastProgress >= kMinStallTime;
      if (isUnused || state->m_stalledSweeps > 1) {
        idle.push_back(state.get());
      }
    }
    const size_t count = std::min(
      idle.size(), 1 + m_limits.m_maxConnections / kClosedConnectionsDivisor);
    std::partial_sort(idle.begin(),
                      idle.begin() + static_cast<ptrdiff_t>(count),
                      idle.end(),
                      [](const Connection* aLeft, const Connection* aRight) {
                        return aLeft->m_lastProgress < aRight->m_lastProgress;
                      });
    idle.resize(count);
    for (const Connection* state : idle) {
      NotifyLimited(ClientLimit::TooManyConnections, state->m_account.Held());
    }
    CloseAll(idle);
  }
  if (m_connections.size() < m_limits.m_maxConnections) {
    m_isListenerPaused = false;
    if (m_listener != nullptr) {
      evconnlistener_enable(m_listener);
    }
  }
}

void CallerServer::CloseTooLarge()
{
  std::vector<Connection*> tooLarge;
  for (auto& [bev, state] : m_connections) {
    if (state->m_isTooLarge) {
      send(bufferevent_getfd(bev),
           kTooLargeResponse,
           sizeof(kTooLargeResponse) - 1,
           MSG_NOSIGNAL | MSG_DONTWAIT);
      NotifyLimited(ClientLimit::TooLarge, state->m_account.Held());
      tooLarge.push_back(state.get());
    }
  }
  CloseAll(tooLarge);
}

} // namespace celeryspread
