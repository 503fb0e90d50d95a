#include "http/evhttp_caller_call.h"

#include <sys/socket.h>

#include <array>
#include <cstdio>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace celeryspread {

namespace {

/// Bytes of pipelined requests buffered while a response is in progress.
constexpr size_t kMaxPipelinedBytes = 65'536;
constexpr size_t kMaxChunkHeaderChars = 24;

std::string_view MethodName(evhttp_cmd_type aType)
{
  switch (aType) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

/// A line break in a value would add header lines of its own.
bool IsSafeHeaderValue(const std::string& aValue)
{
  return aValue.find_first_of("\r\n") == std::string::npos;
}

} // namespace

EvhttpCallerCall::EvhttpCallerCall(CallerServer& aServer,
                                   evhttp_request* aRequest)
  : m_server(aServer)
  , m_request(aRequest)
  , m_connection(evhttp_request_get_connection(aRequest))
{
  WatchForClose();
}

EvhttpCallerCall::~EvhttpCallerCall()
{
  if (m_request != nullptr) {
    Abort();
  }
}

void EvhttpCallerCall::WatchForClose()
{
  // evhttp stops reading once a request is complete. A disconnect is only
  // detected while reading is enabled, so it is enabled again here, without
  // evhttp's read callback.
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  bufferevent_data_cb writeCallback = nullptr;
  bufferevent_event_cb eventCallback = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(bev, nullptr, &writeCallback, &eventCallback, &argument);
  bufferevent_setcb(bev, nullptr, writeCallback, eventCallback, argument);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_enable(bev, EV_READ);
}

std::string_view EvhttpCallerCall::Method() const
{
  return MethodName(evhttp_request_get_command(m_request));
}

std::string_view EvhttpCallerCall::RawTarget() const
{
  return evhttp_request_get_uri(m_request);
}

std::string_view EvhttpCallerCall::Path() const
{
  // evhttp reads what follows two slashes as a host and cuts off what follows a
  // number sign, which belong to the path of a request.
  if (RawTarget().starts_with('/')) {
    return RawTarget().substr(0, RawTarget().find('?'));
  }
  const char* path =
    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(m_request));
  return path == nullptr ? "/" : path;
}

std::string_view EvhttpCallerCall::Query() const
{
  if (RawTarget().starts_with('/')) {
    const size_t mark = RawTarget().find('?');
    return mark == std::string_view::npos ? "" : RawTarget().substr(mark + 1);
  }
  const char* query =
    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(m_request));
  return query == nullptr ? "" : query;
}

std::string EvhttpCallerCall::Target() const
{
  if (RawTarget().starts_with('/')) {
    return std::string(RawTarget());
  }
  std::string target(Path());
  if (RawTarget().find('?') != std::string_view::npos) {
    target += "?";
    target += Query();
  }
  return target;
}

std::optional<std::string_view> EvhttpCallerCall::Header(
  const char* aName) const
{
  const char* value =
    evhttp_find_header(evhttp_request_get_input_headers(m_request), aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  return value;
}

HttpHeaders EvhttpCallerCall::AllHeaders() const
{
  HttpHeaders headers;
  const evkeyvalq* queue = evhttp_request_get_input_headers(m_request);
  for (const evkeyval* pair = queue->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    headers.push_back({ pair->key, pair->value });
  }
  return headers;
}

std::string_view EvhttpCallerCall::Body()
{
  evbuffer* buffer = evhttp_request_get_input_buffer(m_request);
  const size_t length = evbuffer_get_length(buffer);
  const unsigned char* bytes = evbuffer_pullup(buffer, -1);
  return { reinterpret_cast<const char*>(bytes), length };
}

void EvhttpCallerCall::SetObserver(CallerObserver* aObserver)
{
  m_observer = aObserver;
}

void EvhttpCallerCall::AddHeaders(const HttpHeaders& aHeaders)
{
  evkeyvalq* out = evhttp_request_get_output_headers(m_request);
  for (const HttpHeader& header : aHeaders) {
    if (IsSafeHeaderValue(header.m_value)) {
      evhttp_add_header(out, header.m_name.c_str(), header.m_value.c_str());
    }
  }
  if (m_server.m_isDraining || m_server.m_isDrainAnnounced) {
    evhttp_add_header(out, "Connection", "close");
  }
}

void EvhttpCallerCall::Reply(int aStatus,
                             const HttpHeaders& aHeaders,
                             std::string_view aBody)
{
  if (m_request == nullptr) {
    return;
  }
  if (!m_server.MakeRoomForResponse(m_connection, aBody.size())) {
    Abort();
    return;
  }
  AddHeaders(aHeaders);
  // The caller would read the body of an answer to a HEAD request as its next
  // answer.
  if (evhttp_request_get_command(m_request) != EVHTTP_REQ_HEAD) {
    evbuffer* body = evhttp_request_get_output_buffer(m_request);
    evbuffer_add(body, aBody.data(), aBody.size());
  }
  // The received body, which aBody may be part of, is not needed any more, and
  // the client may read slowly.
  evbuffer* received = evhttp_request_get_input_buffer(m_request);
  evbuffer_drain(received, evbuffer_get_length(received));
  evhttp_request* request = m_request;
  m_request = nullptr;
  m_server.FinishCall(m_connection);
  evhttp_send_reply(request, aStatus, nullptr, nullptr);
}

void EvhttpCallerCall::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  evhttp_send_reply_start(m_request, aStatus, nullptr);
  const char* encoding = evhttp_find_header(
    evhttp_request_get_output_headers(m_request), "Transfer-Encoding");
  m_isChunked = encoding != nullptr;
}

void EvhttpCallerCall::OnChunkWritten(evhttp_connection* /*aConnection*/,
                                      void* aSelf)
{
  auto* self = static_cast<EvhttpCallerCall*>(aSelf);
  if (self->m_observer != nullptr) {
    self->m_observer->OnOutputDrained();
  }
}

size_t EvhttpCallerCall::SendDirectly(std::string_view aBytes)
{
  const evutil_socket_t fd =
    bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
  const ssize_t sent =
    send(fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent < 0 ? 0 : static_cast<size_t>(sent);
}

void EvhttpCallerCall::SendChunk(std::string_view aBytes)
{
  if (m_request == nullptr || aBytes.empty()) {
    return;
  }
  if (m_isChunked && PendingBytes() == 0) {
    // With nothing queued, the chunk is written directly to the socket.
    // Queueing costs two changes of the epoll set and a loop iteration per
    // chunk.
    std::array<char, kMaxChunkHeaderChars> header{};
    const int length =
      std::snprintf(header.data(), header.size(), "%zx\r\n", aBytes.size());
    m_frame.assign(header.data(), static_cast<size_t>(length));
    m_frame += aBytes;
    m_frame += "\r\n";
    const size_t sent = SendDirectly(m_frame);
    if (sent < m_frame.size()) {
      bufferevent_write(evhttp_connection_get_bufferevent(m_connection),
                        m_frame.data() + sent,
                        m_frame.size() - sent);
    }
    return;
  }
  evbuffer* chunk = evhttp_request_get_output_buffer(m_request);
  evbuffer_add(chunk, aBytes.data(), aBytes.size());
  evhttp_send_reply_chunk_with_cb(m_request, chunk, OnChunkWritten, this);
}

void EvhttpCallerCall::EndStream()
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_request* request = m_request;
  m_request = nullptr;
  m_server.FinishCall(m_connection);
  // While a drain is only announced, the connection stays open if the headers
  // left before: the caller knows of no close and may send its next request,
  // whose answer says so.
  if (m_server.m_isDraining) {
    // The headers may have been sent before the drain began, but evhttp reads
    // them again to decide whether to close the connection.
    evhttp_add_header(
      evhttp_request_get_output_headers(request), "Connection", "close");
  }
  evhttp_send_reply_end(request);
}

void EvhttpCallerCall::Abort()
{
  if (m_request == nullptr) {
    return;
  }
  evhttp_connection* connection = m_connection;
  m_request = nullptr;
  m_server.FinishCall(connection);
  evhttp_connection_free(connection);
}

size_t EvhttpCallerCall::PendingBytes() const
{
  if (m_request == nullptr) {
    return 0;
  }
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

void EvhttpCallerCall::HandleConnectionClosed()
{
  // When the peer closes during a response, evhttp detaches the request from
  // the connection and leaves freeing it to this call. A request that is still
  // attached is freed by evhttp.
  const bool ownsRequest =
    m_request != nullptr && evhttp_request_get_connection(m_request) == nullptr;
  if (ownsRequest) {
    evhttp_request_free(m_request);
  }
  m_request = nullptr;
  if (m_observer != nullptr) {
    m_observer->OnCallerDisconnected();
  }
}

} // namespace celeryspread
