#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/caller_budget.h"
#include "core/clock.h"
#include "core/ids.h"
#include "http/caller_call.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evconnlistener;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace celeryspread {

class LoopTurns;

/// Receives the calls of a CallerServer.
class CallHandler
{
public:
  virtual ~CallHandler() = default;
  /// Receives a call and owns it from here on. @pre aCall is not null.
  /// @thread loop thread.
  virtual void OnCall(std::unique_ptr<CallerCall> aCall) = 0;
};

/// Why a client outside the limits was refused or closed.
enum class ClientLimit
{
  /// The request is longer than allowed.
  TooLarge,
  /// The client made no progress while others waited for room.
  NoProgress,
  /// There was no room for the request or its response.
  NoRoom,
  /// The connection was idle while a new one had to wait.
  TooManyConnections
};

/// Is notified of clients that are refused or closed because of limits.
/// @thread loop thread only.
class ClientLimitObserver
{
public:
  virtual ~ClientLimitObserver() = default;
  /// @pre none. @unit aHeldBytes: bytes.
  virtual void OnClientLimited(ClientLimit aLimit, size_t aHeldBytes) = 0;
};

/// Limits on the connections of a CallerServer.
struct CallerServerLimits
{
  size_t m_maxConnections = 10'000;
  /// Memory of all connections together, see CallerBudget. With a limit, idle
  /// connections are closed for new ones beyond m_maxConnections; without it,
  /// the new ones are refused. @unit bytes.
  size_t m_maxHeldBytes = SIZE_MAX;
  size_t m_maxHeaderBytes = 32'768;
  size_t m_maxBodyBytes = 67'108'864;
  /// Longest time from the first byte of a request to its last.
  Duration m_receiveTimeout = std::chrono::seconds(20);
  /// Longest time between two requests of one connection.
  Duration m_idleTimeout = std::chrono::seconds(75);
  /// Longest time without progress in sending queued bytes.
  Duration m_sendTimeout = std::chrono::seconds(60);
};

/// HTTP server based on evhttp. One periodic sweep enforces the timeouts of all
/// connections, so that an idle or streaming connection needs no timer of
/// its own.
/// @thread loop thread only.
class CallerServer
{
public:
  /// A request is copied to be forwarded.
  static constexpr size_t kInputFactor = 2;

  /// Prepares the server. @pre all arguments outlive the server; aObserver and
  /// aTurns may be null.
  CallerServer(event_base* aBase,
               const Clock& aClock,
               CallerServerLimits aLimits,
               CallHandler& aHandler,
               ClientLimitObserver* aObserver = nullptr,
               LoopTurns* aTurns = nullptr);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Binds and listens; port 0 selects an ephemeral port. @pre not listening.
  /// @error false when the address can't be bound.
  bool Listen(const std::string& aAddress, uint16_t aPort);
  /// Returns the bound port. @pre Listen() succeeded.
  [[nodiscard]] uint16_t Port() const { return m_port; }
  /// Replaces the limits. The size limits apply to connections opened later.
  /// @pre none.
  void SetLimits(const CallerServerLimits& aLimits);
  /// From now on each response closes its connection. New connections are still
  /// accepted. @pre none.
  void AnnounceDrain() { m_isDrainAnnounced = true; }
  /// Stops accepting and closes idle connections; calls in progress continue.
  /// @pre none.
  void BeginDrain();
  /// Returns the number of open connections. @pre none.
  [[nodiscard]] size_t ConnectionCount() const { return m_connections.size(); }
  /// Returns the number of connections that receive a request, respond to one
  /// or have unsent bytes.
  /// @pre none.
  [[nodiscard]] size_t BusyConnectionCount() const;
  /// Returns the bytes queued for callers but not yet sent. @pre none.
  [[nodiscard]] size_t PendingBytes() const;
  /// Returns the number of connections refused because of m_maxConnections.
  /// @pre none.
  [[nodiscard]] uint64_t RefusedConnections() const
  {
    return m_refusedConnections;
  }
  /// Returns the memory that is held for clients. @pre none. @unit bytes.
  [[nodiscard]] size_t HeldBytes() const { return m_budget.Used(); }

private:
  friend class EvhttpCallerCall;

  enum class Phase
  {
    Idle,
    Receiving,
    Responding
  };
  struct Connection
  {
    Connection(CallerServer& aServer, bufferevent* aBufferevent)
      : m_server(&aServer)
      , m_account(aServer.m_budget)
      , m_bufferevent(aBufferevent)
    {
    }

    CallerServer* m_server;
    CallerBudget::Account m_account;
    bufferevent* m_bufferevent;
    /// Null until the first request of the connection is complete.
    evhttp_connection* m_connection = nullptr;
    evbuffer_cb_entry* m_inputCallback = nullptr;
    evbuffer_cb_entry* m_outputCallback = nullptr;
    /// Bytes received since the last response.
    size_t m_received = 0;
    /// Bytes received and sent since the last sweep.
    size_t m_moved = 0;
    unsigned m_stalledSweeps = 0;
    /// Last time at which the client took queued bytes.
    TimePoint m_lastSent;
    /// Whether reading is paused for want of room. What was read already is not
    /// parsed until then.
    bool m_isPaused = false;
    bool m_isTooLarge = false;
    /// Whether the input is limited to what may be pipelined.
    bool m_isInputLimited = false;
    Phase m_phase = Phase::Idle;
    /// Start of the phase, or the last progress in sending.
    TimePoint m_lastProgress;
    size_t m_pendingAtLastSweep = 0;
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
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aConnection);
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnSweep(int aFd, short aWhat, void* aSelf);
  static void OnRefusal(int aFd, short aWhat, void* aSelf);
  /// Returns the state of a connection; links the two on its first request.
  Connection& AttachConnection(evhttp_connection* aConnection);
  /// Closes refused connections and those past a timeout.
  void Sweep();
  /// Closes connections and releases those that evhttp has freed.
  void CloseAll(const std::vector<Connection*>& aConnections);
  /// Counts what was added to or taken from the input, and pauses reading
  /// without room for more.
  void CountInput(Connection& aState,
                  const evbuffer_cb_info& aInfo,
                  size_t aLength);
  /// Returns whether the client has yet to send or to take bytes.
  [[nodiscard]] static bool IsAwaited(const Connection& aState);
  /// Counts the sweeps in which clients made no progress.
  void CountStalledSweeps();
  /// Reads again from paused connections, and closes others for them.
  void MakeRoomForPaused(bool aMayGetRoom);
  void Pause(Connection& aState);
  void Resume(Connection& aState);
  /// Returns the memory that it may take to parse what is in the input and to
  /// read once. @unit bytes.
  [[nodiscard]] size_t NeededBytes(const Connection& aState,
                                   size_t aLength) const;
  /// Closes stalled connections until there is room for a response.
  /// @error false if there is none.
  bool MakeRoomForResponse(evhttp_connection* aConnection, size_t aBytes);
  /// Closes idle connections for those that wait to be accepted.
  void MakeRoomForConnections();
  /// Closes clients whose request is too large.
  void CloseTooLarge();
  /// Lets waiting clients go on from the loop.
  void ScheduleRoom();
  void NotifyLimited(ClientLimit aLimit, size_t aHeldBytes);
  [[nodiscard]] bool HasBudget() const
  {
    return m_limits.m_maxHeldBytes != SIZE_MAX;
  }
  /// Removes the state of a connection that ends.
  void Forget(ConnectionTable::iterator aFound);
  /// Removes a connection that ended before its first request.
  void ReleaseBufferevent(bufferevent* aBufferevent);
  [[nodiscard]] bool ShouldClose(Connection& aState) const;
  /// Records the progress in sending and checks the send timeout.
  bool HasSendTimedOut(Connection& aState) const;
  static void Close(Connection& aState);
  void FinishCall(evhttp_connection* aConnection);

  event_base* m_base;
  const Clock& m_clock;
  CallerServerLimits m_limits;
  CallHandler& m_handler;
  ClientLimitObserver* m_observer;
  LoopTurns* m_turns;
  CallerBudget m_budget;
  evhttp* m_http;
  event* m_sweepTimer;
  event* m_refusalEvent;
  evhttp_bound_socket* m_boundSocket = nullptr;
  evconnlistener* m_listener = nullptr;
  bool m_isListenerPaused = false;
  size_t m_pausedCount = 0;
  uint16_t m_port = 0;
  uint64_t m_refusedConnections = 0;
  bool m_isDraining = false;
  bool m_isDrainAnnounced = false;
  ConnectionTable m_connections;
};

} // namespace celeryspread
