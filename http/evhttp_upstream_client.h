#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "http/upstream_client.h"

struct event;
struct event_base;
struct evhttp_connection;

namespace celeryspread {

/// UpstreamClient on evhttp with a pool of idle kept-alive connections.
/// @thread loop thread only.
class EvhttpUpstreamClient : public UpstreamClient
{
public:
  /// Prepares the client. @pre aBase and aClock outlive the client.
  EvhttpUpstreamClient(event_base* aBase, const Clock& aClock);
  ~EvhttpUpstreamClient() override;
  EvhttpUpstreamClient(const EvhttpUpstreamClient&) = delete;
  EvhttpUpstreamClient& operator=(const EvhttpUpstreamClient&) = delete;

  std::unique_ptr<UpstreamCall> Start(UpstreamRequest aRequest,
                                      UpstreamObserver& aObserver) override;

  /// Returns idle connections kept for reuse. @pre none.
  [[nodiscard]] size_t IdleCount() const;

private:
  friend class EvhttpUpstreamCall;

  struct IdleConnection
  {
    evhttp_connection* m_connection;
    TimePoint m_until;
  };

  struct DoomedConnection
  {
    evhttp_connection* m_connection;
    std::shared_ptr<void> m_argument;
  };

  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnHousekeeping(int aFd, short aWhat, void* aSelf);
  evhttp_connection* TakeIdle(const UpstreamAddress& aAddress);
  evhttp_connection* Connect(const UpstreamAddress& aAddress);
  /// Keeps a connection whose answer ended cleanly, for at most aIdleLimit.
  /// @pre it has no call.
  void Keep(const UpstreamAddress& aAddress,
            evhttp_connection* aConnection,
            Duration aIdleLimit);
  /// Frees a connection once evhttp is no longer inside its callback.
  /// aArgument is kept for its callbacks until then.
  void FreeLater(evhttp_connection* aConnection,
                 std::shared_ptr<void> aArgument = nullptr);
  void CloseExpired(std::deque<IdleConnection>& aIdle);
  void CloseAllExpired();
  void FreeDoomed();

  event_base* m_base;
  const Clock& m_clock;
  event* m_housekeeping;
  event* m_reaper;
  std::map<UpstreamAddress, std::deque<IdleConnection>> m_idle;
  std::vector<DoomedConnection> m_doomed;
};

} // namespace celeryspread
