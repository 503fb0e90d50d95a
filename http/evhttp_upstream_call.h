#pragma once

#include "http/evhttp_upstream_client.h"

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_request;

namespace celeryspread {

/// One evhttp client request in progress.
/// @thread loop thread only.
class EvhttpUpstreamCall : public UpstreamCall
{
public:
  /// Sends aRequest on aConnection. @pre the connection carries no other.
  EvhttpUpstreamCall(EvhttpUpstreamClient& aClient,
                     evhttp_connection* aConnection,
                     UpstreamRequest aRequest,
                     UpstreamObserver& aObserver);
  ~EvhttpUpstreamCall() override;
  EvhttpUpstreamCall(const EvhttpUpstreamCall&) = delete;
  EvhttpUpstreamCall& operator=(const EvhttpUpstreamCall&) = delete;

  void Pause() override;
  void Resume() override;

private:
  friend class EvhttpUpstreamClient;

  /// Argument of evhttp's callbacks; outlives a call that was cancelled.
  struct Link
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
  static void OnDeferred(int aFd, short aWhat, void* aSelf);
  void Send();
  void Complete(evhttp_request* aRequest);
  bool DeliverBody(evhttp_request* aRequest);
  void Fail(UpstreamFailureKind aKind, std::string aReason);
  void Detach();
  void SetTimeout(Duration aTimeout);

  EvhttpUpstreamClient& m_client;
  evhttp_connection* m_connection;
  UpstreamRequest m_request;
  UpstreamObserver& m_observer;
  evbuffer_cb_entry* m_outputWatch = nullptr;
  event* m_deferred;
  std::unique_ptr<Link> m_link;
  bool m_isOver = false;
  bool m_hasStarted = false;
  bool m_hasHeaders = false;
  bool m_hasSentBytes = false;
  bool m_isPaused = false;
  int m_error = -1;
  /// Points at a local of the callback that runs now, to learn of deletion.
  bool* m_deletedFlag = nullptr;
};

} // namespace celeryspread
