#pragma once

#include "http/caller_server.h"

namespace celeryspread {

/// CallerCall based on an evhttp request.
/// @thread loop thread only.
class EvhttpCallerCall : public CallerCall
{
public:
  /// Wraps a fully received request. @pre aRequest has a connection.
  EvhttpCallerCall(CallerServer& aServer, evhttp_request* aRequest);
  ~EvhttpCallerCall() override;
  EvhttpCallerCall(const EvhttpCallerCall&) = delete;
  EvhttpCallerCall& operator=(const EvhttpCallerCall&) = delete;

  [[nodiscard]] std::string_view Method() const override;
  [[nodiscard]] std::string_view Path() const override;
  [[nodiscard]] std::string_view Query() const override;
  [[nodiscard]] std::string Target() const override;
  [[nodiscard]] std::optional<std::string_view> Header(
    const char* aName) const override;
  [[nodiscard]] HttpHeaders AllHeaders() const override;
  [[nodiscard]] std::string_view Body() override;
  void SetObserver(CallerObserver* aObserver) override;
  void Reply(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody) override;
  void StartStream(int aStatus, const HttpHeaders& aHeaders) override;
  void SendChunk(std::string_view aBytes) override;
  void EndStream() override;
  void Abort() override;
  [[nodiscard]] size_t PendingBytes() const override;

  /// Is called when the connection closed. @pre called once.
  void HandleConnectionClosed();

private:
  static void OnChunkWritten(evhttp_connection* aConnection, void* aSelf);
  /// Returns the target of the request line as it came.
  [[nodiscard]] std::string_view RawTarget() const;
  void AddHeaders(const HttpHeaders& aHeaders);
  void WatchForClose();
  /// Writes to the socket without queueing. @return bytes written.
  size_t SendDirectly(std::string_view aBytes);

  CallerServer& m_server;
  evhttp_request* m_request;
  evhttp_connection* m_connection;
  CallerObserver* m_observer = nullptr;
  /// Whether the streamed response uses chunked transfer encoding.
  bool m_isChunked = false;
  std::string m_frame;
};

} // namespace celeryspread
