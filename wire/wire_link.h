#pragma once

#include <functional>
#include <memory>
#include <string>

#include <kj/debug.h>

#include "core/clock.h"
#include "wire/celeryspread.capnp.h"
#include "wire/cluster_key.h"
#include "wire/event_loop_port.h"

namespace celeryspread {

/// Address of a control instance.
struct WireEndpoint
{
  std::string m_address;
  uint16_t m_port = 0;
};

/// An RPC link to one control instance that reconnects by itself. It pings, and
/// replaces a connection on which a ping times out, so that a peer that stopped
/// answering without closing the connection is noticed.
/// @thread loop thread only.
class WireLink
{
public:
  using StateListener = std::function<void(bool aIsUp)>;

  /// Starts connecting. aListener is notified of each change of IsUp().
  /// @pre aPort outlives the link.
  WireLink(EventLoopPort& aPort,
           ClusterKey aKey,
           WireEndpoint aEndpoint,
           StateListener aListener);
  ~WireLink();
  KJ_DISALLOW_COPY(WireLink);

  /// Returns whether the link is connected and authenticated. @pre none.
  [[nodiscard]] bool IsUp() const;
  /// Returns the RPC interface of the control instance. @pre IsUp().
  wire::ControlNode::Client& Node();
  /// Returns the bytes read and written on all connections so far.
  /// @pre none.
  [[nodiscard]] uint64_t BytesTransferred() const;
  /// Makes a call's promise fail after a timeout. @pre none.
  template<typename Result>
  kj::Promise<Result> WithTimeout(kj::Promise<Result>&& aPromise,
                                  Duration aTimeout)
  {
    auto expired = PromiseAfter(m_port.Base(), aTimeout.count())
                     .then([]() -> kj::Promise<Result> {
                       return KJ_EXCEPTION(OVERLOADED, "the deadline passed");
                     });
    return aPromise.exclusiveJoin(kj::mv(expired));
  }

private:
  struct Connection;

  void Connect();
  void HandleConnectionLost();
  void ScheduleConnect();
  void Authenticate();
  kj::Promise<void> PingLoop();
  void SetIsUp(bool aIsUp);

  EventLoopPort& m_port;
  ClusterKey m_key;
  WireEndpoint m_endpoint;
  StateListener m_listener;
  std::unique_ptr<Connection> m_connection;
  kj::Promise<void> m_reconnect;
  kj::Promise<void> m_session;
  bool m_isUp = false;
  uint64_t m_closedConnectionBytes = 0;
};

} // namespace celeryspread
