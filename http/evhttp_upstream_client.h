#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "http/exchange_history.h"
#include "http/upstream_client.h"

struct event;
struct event_base;
struct evhttp_connection;

namespace celeryspread {

class LoopTurns;

/// UpstreamClient based on evhttp with a pool of idle keep-alive connections.
/// @thread loop thread only.
class EvhttpUpstreamClient : public UpstreamClient
{
public:
  /// Prepares the client. Responses of all calls together may take up
  /// aMaxHeldBytes. @pre all arguments outlive the client; aTurns may be null.
  EvhttpUpstreamClient(event_base* aBase,
                       const Clock& aClock,
                       size_t aMaxHeldBytes = SIZE_MAX,
                       LoopTurns* aTurns = nullptr);
  ~EvhttpUpstreamClient() override;
  EvhttpUpstreamClient(const EvhttpUpstreamClient&) = delete;
  EvhttpUpstreamClient& operator=(const EvhttpUpstreamClient&) = delete;

  std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                      UpstreamObserver& aObserver) override;

  /// Returns the number of idle connections kept for reuse. @pre none.
  [[nodiscard]] size_t IdleConnectionCount() const;

private:
  friend class EvhttpUpstreamCall;

  /// A connection that carries one call at a time.
  struct Connection
  {
    evhttp_connection* m_connection = nullptr;
    /// Whether it has carried a call before.
    bool m_isReused = false;
    ExchangeHistory m_history;
  };

  struct IdleConnection
  {
    Connection m_connection;
    TimePoint m_expiresAt;
  };

  /// A connection that waits to be freed.
  struct RetiredConnection
  {
    evhttp_connection* m_connection;
    std::shared_ptr<void> m_callbackArgument;
  };

  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnExpiryTimer(int aFd, short aWhat, void* aSelf);
  /// Takes an idle connection that has not carried aExchange; empty if there is
  /// none.
  std::optional<Connection> TakeIdle(const UpstreamAddress& aAddress,
                                     std::string_view aExchange);
  evhttp_connection* Connect(const UpstreamAddress& aAddress);
  /// Keeps a connection for reuse, for at most aIdleTimeout. @pre its last
  /// response is complete and it has no call.
  void KeepIdle(const UpstreamAddress& aAddress,
                Connection aConnection,
                Duration aIdleTimeout);
  /// Frees a connection once evhttp is no longer inside one of its callbacks;
  /// aArgument, the argument of these callbacks, is kept until then.
  void FreeLater(evhttp_connection* aConnection,
                 std::shared_ptr<void> aArgument = nullptr);
  void CloseExpired(std::deque<IdleConnection>& aIdle);
  void CloseAllExpired();
  void FreeRetired();

  event_base* m_base;
  const Clock& m_clock;
  LoopTurns* m_turns;
  event* m_expiryTimer;
  event* m_freeEvent;
  std::map<UpstreamAddress, std::deque<IdleConnection>> m_idle;
  std::vector<RetiredConnection> m_retired;
};

} // namespace celeryspread
