#pragma once

#include "http/evhttp_upstream_client.h"
#include "http/response_head_check.h"

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_request;

namespace celeryspread {

/// UpstreamCall based on an evhttp client request.
/// @thread loop thread only.
class EvhttpUpstreamCall : public UpstreamCall
{
public:
  /// Sends aRequest on aConnection. @pre the connection has no other request.
  EvhttpUpstreamCall(EvhttpUpstreamClient& aClient,
                     EvhttpUpstreamClient::Connection aConnection,
                     UpstreamRequest aRequest,
                     UpstreamObserver& aObserver);
  ~EvhttpUpstreamCall() override;
  EvhttpUpstreamCall(const EvhttpUpstreamCall&) = delete;
  EvhttpUpstreamCall& operator=(const EvhttpUpstreamCall&) = delete;

  void Pause() override;
  void Resume() override;
  [[nodiscard]] bool IsConnectionReused() const override
  {
    return m_isConnectionReused;
  }
  [[nodiscard]] bool HasCarried(std::string_view aExchange) const override
  {
    return m_history.Contains(aExchange);
  }
  bool DiscardAnswer() override;

private:
  friend class EvhttpUpstreamClient;

  /// Argument of evhttp's callbacks. It outlives a cancelled call; m_call is
  /// then null.
  struct CallbackArgument
  {
    EvhttpUpstreamCall* m_call;
  };

  static int OnHeaders(evhttp_request* aRequest, void* aSelf);
  static void OnChunk(evhttp_request* aRequest, void* aSelf);
  static void OnDone(evhttp_request* aRequest, void* aSelf);
  static void OnError(int aError, void* aSelf);
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aSelf);
  static void OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf);
  static void OnDeferred(int aFd, short aWhat, void* aSelf);
  void Send();
  void Complete(evhttp_request* aRequest);
  /// Passes received body bytes to the observer. @return false when the
  /// observer destroyed this call.
  bool DeliverBody(evhttp_request* aRequest);
  void Fail(UpstreamFailureKind aKind, std::string aReason);
  void RemoveBufferCallbacks();
  void SetTimeout(Duration aTimeout);
  /// Stops reading until evhttp begins with another head.
  void HoldReading();
  /// Makes evhttp read another head after the answer that is discarded.
  void AwaitNextAnswer();
  /// Drops bytes of the body of a discarded answer.
  void SkipBody(evbuffer* aInput);
  /// Checks the bytes of the head that a read added at the end of the input.
  void CheckHead(evbuffer* aInput, size_t aAdded);

  EvhttpUpstreamClient& m_client;
  evhttp_connection* m_connection;
  bool m_isConnectionReused;
  /// Earlier calls of the connection.
  ExchangeHistory m_history;
  UpstreamRequest m_request;
  UpstreamObserver& m_observer;
  evbuffer_cb_entry* m_outputCallback = nullptr;
  evbuffer_cb_entry* m_inputCallback = nullptr;
  /// Belongs to evhttp, which frees it when the call ends.
  evhttp_request* m_evhttpRequest = nullptr;
  size_t m_bytesBeforeHeaders = 0;
  /// Answers that were discarded, and what is to come of the last one's body.
  unsigned m_discardedAnswers = 0;
  bool m_isDiscarding = false;
  size_t m_skippedBytes = 0;
  ResponseHeadCheck m_headCheck;
  /// What came is no response that could be passed on.
  bool m_isInvalid = false;
  /// What evhttp holds back of the response.
  ByteBudget::Holding m_buffered;
  event* m_deferredEvent;
  std::unique_ptr<CallbackArgument> m_callbackArgument;
  bool m_hasEnded = false;
  bool m_hasStarted = false;
  bool m_hasHeaders = false;
  bool m_hasSentBytes = false;
  bool m_isPaused = false;
  /// evhttp is about to read another head, and would drop what has arrived at
  /// the end of the connection before that.
  bool m_awaitsNextHead = false;
  /// The upstream sends more bytes than an answer may hold back.
  bool m_isOversized = false;
  /// An evhttp_request_error; -1 without an error.
  int m_evhttpError = -1;
  /// While the observer runs: points to a local that the destructor sets.
  bool* m_deletedFlag = nullptr;
};

} // namespace celeryspread
