#include "http/caller_server.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "core/socket_address.h"
#include "http/evhttp_caller_call.h"
#include "http/loop_turns.h"

namespace celeryspread {

namespace {

constexpr timeval kSweepPeriod = { 1, 0 };
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnavailable = 503;
constexpr int kListenBacklog = 4'096;

/// Returns the memory of the largest request.
size_t FinishBytes(const CallerServerLimits& aLimits)
{
  return CallerServer::kInputFactor *
         (aLimits.m_maxHeaderBytes + aLimits.m_maxBodyBytes);
}

/// Returns whether two HTTP parsers could disagree about where the body ends,
/// which would allow request smuggling.
bool HasAmbiguousFraming(evhttp_request* aRequest)
{
  size_t lengths = 0;
  size_t encodings = 0;
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* pair = headers->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    lengths += evutil_ascii_strcasecmp(pair->key, "Content-Length") == 0;
    const bool isEncoding =
      evutil_ascii_strcasecmp(pair->key, "Transfer-Encoding") == 0;
    if (isEncoding && evutil_ascii_strcasecmp(pair->value, "chunked") != 0) {
      return true;
    }
    encodings += isEncoding;
  }
  return lengths + encodings > 1;
}

/// Returns whether the target holds characters that no target may hold. The
/// upstream's parser could read what follows them as a header or as another
/// request.
bool HasUnsafeTarget(evhttp_request* aRequest)
{
  const std::string_view target = evhttp_request_get_uri(aRequest);
  return std::any_of(target.begin(), target.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    constexpr unsigned char kDelete = 0x7f;
    return byte <= ' ' || byte == kDelete;
  });
}

/// Returns whether a request has a body that evhttp does not read because of
/// its method. It would take the body for the next request of the connection.
bool HasUnreadBody(evhttp_request* aRequest)
{
  if (evhttp_request_get_command(aRequest) != EVHTTP_REQ_HEAD) {
    return false;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  const char* length = evhttp_find_header(headers, "Content-Length");
  const bool isEmpty = length == nullptr || std::string_view(length) == "0";
  return !isEmpty ||
         evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace

CallerServer::CallerServer(event_base* aBase,
                           const Clock& aClock,
                           CallerServerLimits aLimits,
                           CallHandler& aHandler,
                           ClientLimitObserver* aObserver,
                           LoopTurns* aTurns)
  : m_base(aBase)
  , m_clock(aClock)
  , m_limits(aLimits)
  , m_handler(aHandler)
  , m_observer(aObserver)
  , m_turns(aTurns)
  , m_budget(aLimits.m_maxHeldBytes, FinishBytes(aLimits))
  , m_http(evhttp_new(aBase))
  , m_sweepTimer(event_new(aBase, -1, EV_PERSIST, OnSweep, this))
  , m_refusalEvent(event_new(aBase, -1, 0, OnRefusal, this))
{
  evhttp_set_gencb(m_http, OnRequest, this);
  evhttp_set_bevcb(m_http, OnNewConnection, this);
  SetLimits(aLimits);
  constexpr int kAllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;
  evhttp_set_allowed_methods(m_http, kAllowedMethods);
  evhttp_set_default_content_type(m_http, nullptr);
  // Sweep() enforces the timeouts; evhttp's own timeout would cut long streams,
  // so it is set far beyond them.
  constexpr int kEvhttpTimeoutSeconds = 7 * 86'400;
  evhttp_set_timeout(m_http, kEvhttpTimeoutSeconds);
  event_add(m_sweepTimer, &kSweepPeriod);
}

void CallerServer::SetLimits(const CallerServerLimits& aLimits)
{
  m_limits = aLimits;
  m_budget.SetLimit(aLimits.m_maxHeldBytes, FinishBytes(aLimits));
  evhttp_set_max_headers_size(
    m_http, static_cast<ev_ssize_t>(aLimits.m_maxHeaderBytes));
  evhttp_set_max_body_size(m_http,
                           static_cast<ev_ssize_t>(aLimits.m_maxBodyBytes));
}

CallerServer::~CallerServer()
{
  event_free(m_sweepTimer);
  event_free(m_refusalEvent);
  std::vector<evhttp_connection*> open;
  for (const auto& [bev, state] : m_connections) {
    if (state->m_connection != nullptr) {
      open.push_back(state->m_connection);
    }
  }
  for (evhttp_connection* connection : open) {
    evhttp_connection_free(connection);
  }
  evhttp_free(m_http);
  for (const auto& [bev, state] : m_connections) {
    bufferevent_decref(bev);
  }
}

bool CallerServer::Listen(const std::string& aAddress, uint16_t aPort)
{
  const auto address = MakeSocketAddress(aAddress, aPort);
  if (!address) {
    return false;
  }
  // evhttp's own listener has a short backlog, which a burst of connections
  // overflows.
  evconnlistener* listener = evconnlistener_new_bind(
    m_base,
    nullptr,
    nullptr,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kListenBacklog,
    address->Get(),
    static_cast<int>(address->m_length));
  if (listener == nullptr) {
    return false;
  }
  m_listener = listener;
  m_boundSocket = evhttp_bind_listener(m_http, listener);
  m_port = BoundPort(evhttp_bound_socket_get_fd(m_boundSocket));
  return true;
}

bufferevent* CallerServer::OnNewConnection(event_base* aBase, void* aSelf)
{
  auto* self = static_cast<CallerServer*>(aSelf);
  bufferevent* bev = bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE);
  // The reference keeps the pointer valid until the first request reveals the
  // evhttp_connection: until then evhttp has no callback for when it frees it.
  bufferevent_incref(bev);
  auto state = std::make_unique<Connection>(*self, bev);
  state->m_lastProgress = self->m_clock.Now();
  state->m_inputCallback =
    evbuffer_add_cb(bufferevent_get_input(bev), OnInput, state.get());
  state->m_outputCallback =
    evbuffer_add_cb(bufferevent_get_output(bev), OnOutput, state.get());
  const size_t count = self->m_connections.size() + 1;
  const bool isFull = count >= self->m_limits.m_maxConnections;
  if (self->HasBudget() && isFull && self->m_listener != nullptr) {
    // The kernel keeps further connections until idle ones were closed.
    evconnlistener_disable(self->m_listener);
    self->m_isListenerPaused = true;
    self->ScheduleRoom();
  }
  if (count > self->m_limits.m_maxConnections) {
    ++self->m_refusedConnections;
    state->m_isRefused = true;
    event_active(self->m_refusalEvent, 0, 0);
  }
  self->m_connections.emplace(bev, std::move(state));
  return bev;
}

void CallerServer::OnInput(evbuffer* aBuffer,
                           const evbuffer_cb_info* aInfo,
                           void* aConnection)
{
  auto* state = static_cast<Connection*>(aConnection);
  if (aInfo->n_added > 0 && state->m_server->m_turns != nullptr) {
    state->m_server->m_turns->Begin("caller",
                                    bufferevent_getfd(state->m_bufferevent));
  }
  state->m_server->CountInput(*state, *aInfo, evbuffer_get_length(aBuffer));
  if (state->m_phase == Phase::Responding) {
    return;
  }
  // evhttp reads a body only once it is there in full, so the limit on what may
  // be pipelined ends when evhttp reads the next request, and not before.
  bufferevent_data_cb readCallback = nullptr;
  bufferevent_getcb(
    state->m_bufferevent, &readCallback, nullptr, nullptr, nullptr);
  if (state->m_isInputLimited && readCallback != nullptr &&
      !state->m_isPaused) {
    state->m_isInputLimited = false;
    bufferevent_setwatermark(state->m_bufferevent, EV_READ, 0, 0);
  }
  if (aInfo->n_added > 0 && state->m_phase == Phase::Idle) {
    state->m_phase = Phase::Receiving;
    state->m_lastProgress = state->m_server->m_clock.Now();
  }
}

CallerServer::Connection& CallerServer::AttachConnection(
  evhttp_connection* aConnection)
{
  bufferevent* bev = evhttp_connection_get_bufferevent(aConnection);
  Connection& state = *m_connections.at(bev);
  if (state.m_connection == nullptr) {
    state.m_connection = aConnection;
    evhttp_connection_set_closecb(aConnection, OnConnectionClosed, this);
    bufferevent_decref(bev);
  }
  return state;
}

void CallerServer::OnConnectionClosed(evhttp_connection* aConnection,
                                      void* aSelf)
{
  auto* self = static_cast<CallerServer*>(aSelf);
  bufferevent* bev = evhttp_connection_get_bufferevent(aConnection);
  const auto found = self->m_connections.find(bev);
  if (found == self->m_connections.end()) {
    return;
  }
  EvhttpCallerCall* call = found->second->m_call;
  self->Forget(found);
  if (call != nullptr) {
    call->HandleConnectionClosed();
  }
}

void CallerServer::Forget(ConnectionTable::iterator aFound)
{
  const Connection& state = *aFound->second;
  evbuffer_remove_cb_entry(bufferevent_get_input(state.m_bufferevent),
                           state.m_inputCallback);
  evbuffer_remove_cb_entry(bufferevent_get_output(state.m_bufferevent),
                           state.m_outputCallback);
  m_pausedCount -= state.m_isPaused ? 1 : 0;
  m_connections.erase(aFound);
  ScheduleRoom();
}

void CallerServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  auto* self = static_cast<CallerServer*>(aSelf);
  Connection& state =
    self->AttachConnection(evhttp_request_get_connection(aRequest));
  const char* fault = HasAmbiguousFraming(aRequest) ? "ambiguous framing"
                      : HasUnsafeTarget(aRequest)   ? "malformed target"
                      : HasUnreadBody(aRequest)     ? "body in a HEAD request"
                                                    : nullptr;
  if (fault != nullptr) {
    evhttp_add_header(
      evhttp_request_get_output_headers(aRequest), "Connection", "close");
    evhttp_send_error(aRequest, kHttpBadRequest, fault);
    return;
  }
  if (self->m_budget.Used() > self->m_budget.Limit()) {
    self->NotifyLimited(ClientLimit::NoRoom, state.m_account.Held());
    evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
    evhttp_add_header(headers, "Retry-After", "1");
    evhttp_add_header(headers, "Connection", "close");
    evhttp_send_reply(aRequest, kHttpUnavailable, nullptr, nullptr);
    return;
  }
  state.m_account.ReleaseFinish();
  self->ScheduleRoom();
  auto call = std::make_unique<EvhttpCallerCall>(*self, aRequest);
  state.m_phase = Phase::Responding;
  state.m_lastProgress = self->m_clock.Now();
  state.m_pendingAtLastSweep = 0;
  state.m_call = call.get();
  state.m_isInputLimited = true;
  self->m_handler.OnCall(std::move(call));
}

void CallerServer::FinishCall(evhttp_connection* aConnection)
{
  const auto found =
    m_connections.find(evhttp_connection_get_bufferevent(aConnection));
  if (found != m_connections.end()) {
    Connection& state = *found->second;
    state.m_call = nullptr;
    state.m_phase = Phase::Idle;
    state.m_lastProgress = m_clock.Now();
    // What is left was pipelined.
    state.m_received =
      evbuffer_get_length(bufferevent_get_input(state.m_bufferevent));
    state.m_account.SetInput(state.m_received * kInputFactor);
    ScheduleRoom();
  }
}

void CallerServer::BeginDrain()
{
  if (m_isDraining) {
    return;
  }
  m_isDraining = true;
  if (m_boundSocket != nullptr) {
    evhttp_del_accept_socket(m_http, m_boundSocket);
    m_boundSocket = nullptr;
    m_listener = nullptr;
  }
  Sweep();
}

size_t CallerServer::PendingBytes() const
{
  size_t bytes = 0;
  for (const auto& [bev, state] : m_connections) {
    bytes += evbuffer_get_length(bufferevent_get_output(bev));
  }
  return bytes;
}

size_t CallerServer::BusyConnectionCount() const
{
  size_t count = 0;
  for (const auto& [bev, state] : m_connections) {
    const bool hasOutput = evbuffer_get_length(bufferevent_get_output(bev)) > 0;
    count += state->m_phase != Phase::Idle || hasOutput ? 1 : 0;
  }
  return count;
}

void CallerServer::OnSweep(int /*aFd*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<CallerServer*>(aSelf);
  self->Sweep();
  if (self->HasBudget()) {
    self->CountStalledSweeps();
  }
}

void CallerServer::OnRefusal(int /*aFd*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<CallerServer*>(aSelf);
  self->Sweep();
  self->CloseTooLarge();
  self->MakeRoomForPaused(true);
  self->MakeRoomForConnections();
}

bool CallerServer::HasSendTimedOut(Connection& aState) const
{
  const size_t pending =
    evbuffer_get_length(bufferevent_get_output(aState.m_bufferevent));
  const bool isStalled = pending > 0 && aState.m_pendingAtLastSweep > 0 &&
                         pending >= aState.m_pendingAtLastSweep;
  if (!isStalled) {
    aState.m_lastProgress = m_clock.Now();
  }
  aState.m_pendingAtLastSweep = pending;
  return isStalled &&
         m_clock.Now() - aState.m_lastProgress > m_limits.m_sendTimeout;
}

bool CallerServer::ShouldClose(Connection& aState) const
{
  const Duration age = m_clock.Now() - aState.m_lastProgress;
  const bool hasOutput =
    evbuffer_get_length(bufferevent_get_output(aState.m_bufferevent)) > 0;
  if (aState.m_phase == Phase::Responding || hasOutput) {
    return HasSendTimedOut(aState);
  }
  if (aState.m_phase == Phase::Receiving) {
    return age > m_limits.m_receiveTimeout;
  }
  return m_isDraining || age > m_limits.m_idleTimeout;
}

void CallerServer::Close(Connection& aState)
{
  if (aState.m_connection != nullptr) {
    evhttp_connection_free(aState.m_connection);
    return;
  }
  bufferevent_trigger_event(
    aState.m_bufferevent, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

void CallerServer::ReleaseBufferevent(bufferevent* aBufferevent)
{
  Forget(m_connections.find(aBufferevent));
  bufferevent_decref(aBufferevent);
}

void CallerServer::Sweep()
{
  std::vector<Connection*> toClose;
  std::vector<bufferevent*> toRelease;
  for (auto& [bev, state] : m_connections) {
    bufferevent_event_cb eventCallback = nullptr;
    bufferevent_getcb(bev, nullptr, nullptr, &eventCallback, nullptr);
    // bufferevent_free() clears the callbacks, so without one evhttp has freed
    // the bufferevent.
    const bool isFreed =
      state->m_connection == nullptr && eventCallback == nullptr;
    if (isFreed) {
      toRelease.push_back(bev);
    } else if (state->m_isRefused || ShouldClose(*state)) {
      toClose.push_back(state.get());
    }
  }
  for (bufferevent* bev : toRelease) {
    ReleaseBufferevent(bev);
  }
  CloseAll(toClose);
}

void CallerServer::CloseAll(const std::vector<Connection*>& aConnections)
{
  for (Connection* state : aConnections) {
    bufferevent* bev = state->m_bufferevent;
    const bool holdsReference = state->m_connection == nullptr;
    Close(*state);
    if (holdsReference) {
      ReleaseBufferevent(bev);
    }
  }
}

} // namespace celeryspread
