#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "core/ids.h"
#include "http/caller_call.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace celeryspread {

/// Receives the calls of a CallerServer.
class CallHandler
{
public:
  virtual ~CallHandler() = default;
  /// Takes over one call. @pre aCall is not null. @thread loop thread.
  virtual void OnCall(std::unique_ptr<CallerCall> aCall) = 0;
};

/// Limits that a CallerServer puts on its connections.
struct CallerServerLimits
{
  size_t m_maxConnections = 10'000;
  size_t m_maxHeaderBytes = 32'768;
  size_t m_maxBodyBytes = 67'108'864;
  /// Longest time from the first byte of a request to its last.
  Duration m_receiveTimeout = std::chrono::seconds(20);
  /// Longest time between two requests of one connection.
  Duration m_idleTimeout = std::chrono::seconds(75);
  /// Longest time a reader may leave all pending bytes unread.
  Duration m_readerTimeout = std::chrono::seconds(60);
};

/// HTTP server on evhttp that keeps every time-out itself in one sweep, so an
/// idle or streaming connection costs no timer of its own.
/// @thread loop thread only.
class CallerServer
{
public:
  /// Prepares the server. @pre all arguments outlive the server.
  CallerServer(event_base* aBase,
               const Clock& aClock,
               CallerServerLimits aLimits,
               CallHandler& aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Binds and listens; port 0 takes an ephemeral port. @pre not listening.
  /// @error false when the address can't be bound.
  bool Listen(const std::string& aAddress, uint16_t aPort);
  /// Returns the bound port. @pre Listen() succeeded.
  [[nodiscard]] uint16_t Port() const { return m_port; }
  /// Takes limits that changed; sizes hold for connections opened later.
  /// @pre none.
  void SetLimits(const CallerServerLimits& aLimits);
  /// Tells callers to open no further request on their connections; answers
  /// close them. New connections are still accepted. @pre none.
  void AnnounceDrain() { m_isAnnouncing = true; }
  /// Stops accepting and closes idle connections; calls in progress go on.
  /// @pre none.
  void BeginDrain();
  /// Returns the open connections. @pre none.
  [[nodiscard]] size_t ConnectionCount() const { return m_connections.size(); }
  /// Returns connections that receive, answer or still have bytes to send.
  /// @pre none.
  [[nodiscard]] size_t BusyCount() const;
  /// Returns the bytes that wait for callers to read. @pre none.
  [[nodiscard]] size_t PendingBytes() const;
  /// Returns connections refused by the cap. @pre none.
  [[nodiscard]] uint64_t RefusedConnections() const { return m_refused; }

private:
  friend class EvhttpCallerCall;

  enum class Phase
  {
    Idle,
    Receiving,
    Answering
  };
  struct Connection
  {
    CallerServer* m_server = nullptr;
    bufferevent* m_bufferevent = nullptr;
    /// Null until the first request of the connection is whole.
    evhttp_connection* m_connection = nullptr;
    evbuffer_cb_entry* m_inputWatch = nullptr;
    Phase m_phase = Phase::Idle;
    TimePoint m_since;
    size_t m_pendingAtSweep = 0;
    bool m_isRefused = false;
    class EvhttpCallerCall* m_call = nullptr;
  };
  using ConnectionTable =
    std::unordered_map<bufferevent*, std::unique_ptr<Connection>>;

  static void OnRequest(evhttp_request* aRequest, void* aSelf);
  static bufferevent* OnNewConnection(event_base* aBase, void* aSelf);
  static void OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aConnection);
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnSweep(int aFd, short aWhat, void* aSelf);
  static void OnRefusal(int aFd, short aWhat, void* aSelf);
  Connection& Adopt(evhttp_connection* aConnection);
  void Sweep();
  void Release(bufferevent* aBufferevent);
  [[nodiscard]] bool IsOverdue(Connection& aState) const;
  bool IsReaderStuck(Connection& aState) const;
  static void Close(Connection& aState);
  void FinishCall(evhttp_connection* aConnection);

  event_base* m_base;
  const Clock& m_clock;
  CallerServerLimits m_limits;
  CallHandler& m_handler;
  evhttp* m_http;
  event* m_sweepTimer;
  event* m_refusal;
  evhttp_bound_socket* m_socket = nullptr;
  uint16_t m_port = 0;
  uint64_t m_refused = 0;
  bool m_isDraining = false;
  bool m_isAnnouncing = false;
  ConnectionTable m_connections;
};

} // namespace celeryspread
