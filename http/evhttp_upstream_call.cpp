#include "http/evhttp_upstream_call.h"

#include <algorithm>
#include <charconv>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "http/http_status.h"
#include "http/loop_turns.h"

namespace celeryspread {

namespace {

constexpr int64_t kMicrosPerSecond = 1'000'000;
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr ev_ssize_t kMaxResponseHeaderBytes = 65'536;
/// Bytes before the headers of the answer, interim answers included.
constexpr size_t kMaxBytesBeforeHeaders = 2 * kMaxResponseHeaderBytes;
/// Bytes that evhttp may hold back, as of a chunk that is not complete or a
/// line without an end.
constexpr size_t kMaxBufferedBytes = 4'194'304;
/// A line with the size of a chunk. evhttp searches all of it again after each
/// read.
constexpr size_t kMaxChunkLineBytes = 16'384;

/// Body of an answer that may be discarded.
constexpr size_t kMaxDiscardedBytes = 65'536;
constexpr unsigned kMaxDiscardedAnswers = 4;

constexpr int kFirstErrorStatus = 400;

timeval ToTimeval(Duration aDuration)
{
  return { aDuration.count() / kMicrosPerSecond,
           aDuration.count() % kMicrosPerSecond };
}

evhttp_cmd_type ToEvhttpMethod(const std::string& aMethod)
{
  struct Method
  {
    const char* m_name;
    evhttp_cmd_type m_type;
  };
  static constexpr Method kMethods[] = {
    { "GET", EVHTTP_REQ_GET },       { "POST", EVHTTP_REQ_POST },
    { "HEAD", EVHTTP_REQ_HEAD },     { "PUT", EVHTTP_REQ_PUT },
    { "DELETE", EVHTTP_REQ_DELETE }, { "OPTIONS", EVHTTP_REQ_OPTIONS },
    { "PATCH", EVHTTP_REQ_PATCH },
  };
  for (const Method& method : kMethods) {
    if (aMethod == method.m_name) {
      return method.m_type;
    }
  }
  return EVHTTP_REQ_GET;
}

/// Returns whether a header says where the body ends. Only the length of the
/// body that is sent may say so, not a header that came with the request.
bool IsFramingHeader(const std::string& aName)
{
  return evutil_ascii_strcasecmp(aName.c_str(), "Content-Length") == 0 ||
         evutil_ascii_strcasecmp(aName.c_str(), "Transfer-Encoding") == 0;
}

HttpHeaders ReadHeaders(evhttp_request* aRequest)
{
  HttpHeaders headers;
  const evkeyvalq* queue = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* pair = queue->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    headers.push_back({ pair->key, pair->value });
  }
  return headers;
}

/// An idle connection is dropped this much before the server's keep-alive
/// timeout, so that no request is in flight while the server closes it.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

const char* FindHeader(evhttp_request* aRequest, const char* aName)
{
  return evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName);
}

/// Returns whether the response marks its own end. A response that ends with
/// its connection leaves no connection to reuse.
bool IsSelfDelimited(evhttp_request* aRequest)
{
  const char* encoding = FindHeader(aRequest, "Transfer-Encoding");
  const bool isChunked =
    encoding != nullptr && evutil_ascii_strcasecmp(encoding, "chunked") == 0;
  return isChunked || FindHeader(aRequest, "Content-Length") != nullptr;
}

/// Returns the length of the response's body; empty unless it is stated.
std::optional<size_t> BodyLength(evhttp_request* aRequest)
{
  const char* text = FindHeader(aRequest, "Content-Length");
  if (text == nullptr || FindHeader(aRequest, "Transfer-Encoding") != nullptr) {
    return std::nullopt;
  }
  const std::string_view digits = text;
  size_t length = 0;
  const auto result =
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
  return result.ec == std::errc() ? std::optional(length) : std::nullopt;
}

/// Returns whether evhttp waits for the line with the size of the next chunk.
bool AwaitsChunkLine(const evhttp_request& aRequest)
{
  return aRequest.chunked != 0 && aRequest.ntoread < 0;
}

/// Returns how long the connection may stay idle according to the server's
/// Keep-Alive header; Duration::max() without one.
Duration KeepAliveTimeout(evhttp_request* aRequest)
{
  constexpr std::string_view kParameter = "timeout=";
  const char* value = FindHeader(aRequest, "Keep-Alive");
  const std::string_view text = value == nullptr ? "" : value;
  const size_t at = text.find(kParameter);
  int64_t seconds = 0;
  if (at == std::string_view::npos) {
    return Duration::max();
  }
  const std::string_view digits = text.substr(at + kParameter.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  constexpr int64_t kMaxSeconds = 86'400;
  return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, kMaxSeconds)) -
         kKeepAliveMargin;
}

/// Returns whether the server closes the connection after the response.
bool AsksToClose(evhttp_request* aRequest)
{
  const char* value = evhttp_find_header(
    evhttp_request_get_input_headers(aRequest), "Connection");
  return value != nullptr && evutil_ascii_strcasecmp(value, "close") == 0;
}

} // namespace

EvhttpUpstreamCall::EvhttpUpstreamCall(
  EvhttpUpstreamClient& aClient,
  EvhttpUpstreamClient::Connection aConnection,
  UpstreamRequest aRequest,
  UpstreamObserver& aObserver)
  : m_client(aClient)
  , m_connection(aConnection.m_connection)
  , m_isConnectionReused(aConnection.m_isReused)
  , m_history(std::move(aConnection.m_history))
  , m_request(std::move(aRequest))
  , m_observer(aObserver)
  , m_buffered(aClient.HeldBytes())
  , m_deferredEvent(event_new(aClient.m_base, -1, 0, OnDeferred, this))
  , m_callbackArgument(
      std::make_unique<CallbackArgument>(CallbackArgument{ this }))
{
  Send();
}

EvhttpUpstreamCall::~EvhttpUpstreamCall()
{
  event_free(m_deferredEvent);
  if (m_deletedFlag != nullptr) {
    *m_deletedFlag = true;
  }
  if (m_hasEnded) {
    return;
  }
  RemoveBufferCallbacks();
  m_callbackArgument->m_call = nullptr;
  m_client.FreeLater(m_connection, std::move(m_callbackArgument));
}

void EvhttpUpstreamCall::Send()
{
  evhttp_request* request =
    evhttp_request_new(OnDone, m_callbackArgument.get());
  m_evhttpRequest = request;
  evhttp_request_set_header_cb(request, OnHeaders);
  evhttp_request_set_chunked_cb(request, OnChunk);
  evhttp_request_set_error_cb(request,
                              [](evhttp_request_error aError, void* aSelf) {
                                OnError(static_cast<int>(aError), aSelf);
                              });
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const HttpHeader& header : m_request.m_headers) {
    if (!IsFramingHeader(header.m_name)) {
      evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
    }
  }
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", m_request.m_address.m_address.c_str());
  }
  if (!m_request.m_body.empty()) {
    // evhttp states the length for POST and PUT only. The upstream would read
    // the body of any other request as the next request of the connection.
    evhttp_add_header(headers,
                      "Content-Length",
                      std::to_string(m_request.m_body.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               m_request.m_body.data(),
               m_request.m_body.size());
  m_request.m_body.clear();
  m_request.m_body.shrink_to_fit();
  evhttp_connection_set_max_headers_size(m_connection, kMaxResponseHeaderBytes);
  const timeval connectTimeout = ToTimeval(kConnectTimeout);
  evhttp_connection_set_timeout_tv(m_connection, &connectTimeout);
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  m_outputCallback =
    evbuffer_add_cb(bufferevent_get_output(bev), OnOutput, this);
  m_inputCallback = evbuffer_add_cb(bufferevent_get_input(bev), OnInput, this);
  const int result = evhttp_make_request(m_connection,
                                         request,
                                         ToEvhttpMethod(m_request.m_method),
                                         m_request.m_path.c_str());
  m_hasStarted = result == 0;
  if (!m_hasStarted) {
    event_active(m_deferredEvent, 0, 0);
  }
}

void EvhttpUpstreamCall::SetTimeout(Duration aTimeout)
{
  const timeval timeout = ToTimeval(aTimeout);
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  bufferevent_set_timeouts(bev, &timeout, &timeout);
}

void EvhttpUpstreamCall::OnOutput(evbuffer* /*aBuffer*/,
                                  const evbuffer_cb_info* aInfo,
                                  void* aSelf)
{
  auto* self = static_cast<EvhttpUpstreamCall*>(aSelf);
  if (aInfo->n_deleted == 0 || self->m_hasSentBytes) {
    return;
  }
  self->m_hasSentBytes = true;
  event_active(self->m_deferredEvent, 0, 0);
}

void EvhttpUpstreamCall::OnInput(evbuffer* aBuffer,
                                 const evbuffer_cb_info* aInfo,
                                 void* aSelf)
{
  auto* self = static_cast<EvhttpUpstreamCall*>(aSelf);
  if (aInfo->n_added > 0 && self->m_skippedBytes > 0) {
    self->SkipBody(aBuffer);
  } else if (!self->m_hasHeaders) {
    self->m_bytesBeforeHeaders += aInfo->n_added;
    self->CheckHead(aBuffer, aInfo->n_added);
  }
  const bool isRead = aInfo->n_added > 0;
  if (isRead && self->m_client.m_turns != nullptr) {
    self->m_client.m_turns->Begin(
      "upstream",
      bufferevent_getfd(evhttp_connection_get_bufferevent(self->m_connection)));
  }
  // A single read may bring the headers and some of the body.
  const bool isEndlessHead =
    !self->m_hasHeaders && self->m_bytesBeforeHeaders > kMaxBytesBeforeHeaders;
  const size_t buffered = evbuffer_get_length(aBuffer);
  const bool isWithinBudget = self->m_buffered.Set(buffered);
  // Once evhttp has freed the request, it only drains the buffer.
  const size_t maxBuffered = isRead && AwaitsChunkLine(*self->m_evhttpRequest)
                               ? kMaxChunkLineBytes
                               : kMaxBufferedBytes;
  if (isEndlessHead || !isWithinBudget || buffered > maxBuffered) {
    // The connection can't be freed while evhttp reads from it.
    self->m_isOversized = true;
    event_active(self->m_deferredEvent, 0, 0);
  }
}

void EvhttpUpstreamCall::CheckHead(evbuffer* aInput, size_t aAdded)
{
  if (aAdded == 0) {
    return;
  }
  evbuffer_ptr begin;
  const size_t before = evbuffer_get_length(aInput) - aAdded;
  if (evbuffer_ptr_set(aInput, &begin, before, EVBUFFER_PTR_SET) != 0) {
    return;
  }
  std::string bytes(aAdded, '\0');
  evbuffer_copyout_from(aInput, &begin, bytes.data(), bytes.size());
  m_headCheck.Feed(bytes);
}

int EvhttpUpstreamCall::OnHeaders(evhttp_request* aRequest, void* aSelf)
{
  constexpr int kEndConnection = -1;
  EvhttpUpstreamCall* self = static_cast<CallbackArgument*>(aSelf)->m_call;
  if (self == nullptr) {
    return 0;
  }
  const int status = evhttp_request_get_response_code(aRequest);
  if (status == HttpStatus::kContinue && self->m_headCheck.IsValid()) {
    // An interim answer; evhttp would add the fields of the final one to its.
    evhttp_clear_headers(evhttp_request_get_input_headers(aRequest));
    self->HoldReading();
    return 0;
  }
  self->m_hasHeaders = true;
  self->SetTimeout(self->m_request.m_progressTimeout);
  const HttpHeaders headers = ReadHeaders(aRequest);
  self->m_isInvalid = !self->m_headCheck.IsValid() ||
                      !HttpStatus::IsFinal(status) ||
                      !ResponseHeadCheck::AreValidFields(headers);
  if (self->m_isInvalid) {
    return kEndConnection;
  }
  bool isDeleted = false;
  self->m_deletedFlag = &isDeleted;
  self->m_observer.OnUpstreamHeaders(status, headers);
  if (isDeleted) {
    return 0;
  }
  self->m_deletedFlag = nullptr;
  if (self->m_isDiscarding) {
    self->AwaitNextAnswer();
  }
  return 0;
}

bool EvhttpUpstreamCall::DiscardAnswer()
{
  const int status = evhttp_request_get_response_code(m_evhttpRequest);
  const auto length = HttpStatus::HasNoBody(status)
                        ? std::optional<size_t>(0)
                        : BodyLength(m_evhttpRequest);
  if (!length || *length > kMaxDiscardedBytes ||
      m_discardedAnswers >= kMaxDiscardedAnswers) {
    return false;
  }
  ++m_discardedAnswers;
  m_isDiscarding = true;
  m_skippedBytes = *length;
  return true;
}

void EvhttpUpstreamCall::HoldReading()
{
  m_awaitsNextHead = true;
  event_active(m_deferredEvent, 0, 0);
}

void EvhttpUpstreamCall::AwaitNextAnswer()
{
  m_isDiscarding = false;
  m_hasHeaders = false;
  m_bytesBeforeHeaders = 0;
  m_headCheck = ResponseHeadCheck();
  evhttp_clear_headers(evhttp_request_get_input_headers(m_evhttpRequest));
  // evhttp reads another head after an interim answer.
  m_evhttpRequest->response_code = HttpStatus::kContinue;
  SetTimeout(m_request.m_firstByteTimeout);
  HoldReading();
  SkipBody(
    bufferevent_get_input(evhttp_connection_get_bufferevent(m_connection)));
}

void EvhttpUpstreamCall::SkipBody(evbuffer* aInput)
{
  const size_t skipped = std::min(m_skippedBytes, evbuffer_get_length(aInput));
  m_skippedBytes -= skipped;
  evbuffer_drain(aInput, skipped);
  // What is left belongs to the head of the next answer.
  m_bytesBeforeHeaders = evbuffer_get_length(aInput);
  CheckHead(aInput, m_bytesBeforeHeaders);
}

bool EvhttpUpstreamCall::DeliverBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return true;
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  bool isDeleted = false;
  m_deletedFlag = &isDeleted;
  m_observer.OnUpstreamBody({ bytes, length });
  if (isDeleted) {
    return false;
  }
  m_deletedFlag = nullptr;
  return true;
}

void EvhttpUpstreamCall::OnChunk(evhttp_request* aRequest, void* aSelf)
{
  EvhttpUpstreamCall* self = static_cast<CallbackArgument*>(aSelf)->m_call;
  if (self == nullptr || !self->DeliverBody(aRequest)) {
    return;
  }
  if (self->m_isPaused) {
    event_active(self->m_deferredEvent, 0, 0);
  }
}

void EvhttpUpstreamCall::OnError(int aError, void* aSelf)
{
  EvhttpUpstreamCall* self = static_cast<CallbackArgument*>(aSelf)->m_call;
  if (self != nullptr) {
    self->m_evhttpError = aError;
  }
}

void EvhttpUpstreamCall::RemoveBufferCallbacks()
{
  if (m_outputCallback != nullptr) {
    bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(bev), m_outputCallback);
    evbuffer_remove_cb_entry(bufferevent_get_input(bev), m_inputCallback);
    m_outputCallback = nullptr;
    m_inputCallback = nullptr;
  }
}

void EvhttpUpstreamCall::Fail(UpstreamFailureKind aKind, std::string aReason)
{
  RemoveBufferCallbacks();
  m_hasEnded = true;
  m_client.FreeLater(m_connection, std::move(m_callbackArgument));
  m_observer.OnUpstreamFailed(
    { aKind, m_hasSentBytes, std::move(aReason), m_bytesBeforeHeaders > 0 });
}

void EvhttpUpstreamCall::Complete(evhttp_request* aRequest)
{
  if (!DeliverBody(aRequest)) {
    return;
  }
  RemoveBufferCallbacks();
  m_hasEnded = true;
  // Bytes after the response would be read as the response to the next request,
  // so such a connection is not reused.
  bufferevent* bev = evhttp_connection_get_bufferevent(m_connection);
  const bool hasExtraBytes =
    evbuffer_get_length(bufferevent_get_input(bev)) > 0;
  // Without ids, nothing tells a late copy of an error from the next answer.
  const bool mayBringCopy =
    m_request.m_exchange.empty() &&
    evhttp_request_get_response_code(aRequest) >= kFirstErrorStatus;
  m_history.Add(m_request.m_exchange);
  // A copy of the answer to a HEAD request states a length without a body.
  const bool hasBodilessAnswer = m_request.m_method == "HEAD";
  if (AsksToClose(aRequest) || !IsSelfDelimited(aRequest) || hasExtraBytes ||
      mayBringCopy || hasBodilessAnswer || m_history.IsFull()) {
    m_client.FreeLater(m_connection, std::move(m_callbackArgument));
  } else {
    m_client.KeepIdle(m_request.m_address,
                      { m_connection, true, std::move(m_history) },
                      KeepAliveTimeout(aRequest));
  }
  m_observer.OnUpstreamEnd();
}

void EvhttpUpstreamCall::OnDone(evhttp_request* aRequest, void* aSelf)
{
  EvhttpUpstreamCall* self = static_cast<CallbackArgument*>(aSelf)->m_call;
  if (self == nullptr) {
    return;
  }
  const bool isComplete = aRequest != nullptr && self->m_evhttpError < 0 &&
                          evhttp_request_get_response_code(aRequest) != 0;
  if (isComplete) {
    self->Complete(aRequest);
    return;
  }
  if (!self->m_hasSentBytes) {
    self->Fail(UpstreamFailureKind::ConnectFailed,
               "no connection to the upstream");
    return;
  }
  if (self->m_isInvalid) {
    self->Fail(UpstreamFailureKind::InvalidResponse,
               "the head of the upstream's answer is not valid HTTP");
    return;
  }
  switch (self->m_evhttpError) {
    case EVREQ_HTTP_TIMEOUT:
      self->Fail(UpstreamFailureKind::Timeout, "the upstream fell silent");
      return;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
      self->Fail(UpstreamFailureKind::InvalidResponse,
                 "the upstream's answer is not valid HTTP");
      return;
    default:
      self->Fail(UpstreamFailureKind::ConnectionLost,
                 "the upstream closed the connection early");
  }
}

void EvhttpUpstreamCall::Pause()
{
  if (m_hasEnded || m_isPaused) {
    return;
  }
  m_isPaused = true;
  // evhttp enables reading again when its callback returns, so reading is
  // disabled from a separate event.
  event_active(m_deferredEvent, 0, 0);
}

void EvhttpUpstreamCall::Resume()
{
  if (m_hasEnded || !m_isPaused) {
    return;
  }
  m_isPaused = false;
  bufferevent_enable(evhttp_connection_get_bufferevent(m_connection), EV_READ);
}

void EvhttpUpstreamCall::OnDeferred(int /*aFd*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<EvhttpUpstreamCall*>(aSelf);
  if (self->m_hasEnded) {
    return;
  }
  if (self->m_awaitsNextHead) {
    // evhttp enables reading again when it begins with the head.
    self->m_awaitsNextHead = false;
    bufferevent_disable(evhttp_connection_get_bufferevent(self->m_connection),
                        EV_READ);
  }
  if (!self->m_hasStarted) {
    self->Fail(UpstreamFailureKind::ConnectFailed,
               "no connection to the upstream");
    return;
  }
  if (self->m_isOversized) {
    self->Fail(UpstreamFailureKind::InvalidResponse,
               "the upstream's answer has no end");
    return;
  }
  if (self->m_isPaused) {
    bufferevent_disable(evhttp_connection_get_bufferevent(self->m_connection),
                        EV_READ);
    return;
  }
  if (self->m_hasSentBytes && !self->m_hasHeaders) {
    self->SetTimeout(self->m_request.m_firstByteTimeout);
  }
}

} // namespace celeryspread
