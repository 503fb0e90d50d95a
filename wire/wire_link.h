#pragma once

#include <functional>
#include <memory>
#include <string>

#include <kj/debug.h>

#include "core/clock.h"
#include "wire/celeryspread.capnp.h"
#include "wire/cluster_key.h"
#include "wire/loop_port.h"

namespace celeryspread {

/// Where a link leads.
struct WireEndpoint
{
  std::string m_address;
  uint16_t m_port = 0;
};

/// A link to one control instance that replaces itself: it pings, and a
/// connection that misses a ping is dropped and opened anew, so that one
/// which went silent never outlives its deadline.
/// @thread loop thread only.
class WireLink
{
public:
  using StateListener = std::function<void(bool aIsUp)>;

  /// Starts connecting. @pre aPort outlives the link.
  WireLink(LoopPort& aPort,
           ClusterKey aKey,
           WireEndpoint aEndpoint,
           StateListener aListener);
  ~WireLink();
  KJ_DISALLOW_COPY(WireLink);

  /// Tells whether the link works. @pre none.
  [[nodiscard]] bool IsUp() const;
  /// Returns the node at the other end. @pre IsUp().
  wire::ControlNode::Client& Node();
  /// Returns bytes read and written on all connections so far. @pre none.
  [[nodiscard]] uint64_t BytesMoved() const;
  /// Adds a deadline to a call's promise. @pre none.
  template<typename Result>
  kj::Promise<Result> WithDeadline(kj::Promise<Result>&& aPromise,
                                   Duration aDeadline)
  {
    auto timeout = PromiseAfter(m_port.Base(), aDeadline.count())
                     .then([]() -> kj::Promise<Result> {
                       return KJ_EXCEPTION(OVERLOADED, "the deadline passed");
                     });
    return aPromise.exclusiveJoin(kj::mv(timeout));
  }

private:
  struct Connection;

  void Connect();
  void Drop();
  void ScheduleConnect();
  void Enter();
  kj::Promise<void> PingLoop();
  void SetUp(bool aIsUp);

  LoopPort& m_port;
  ClusterKey m_key;
  WireEndpoint m_endpoint;
  StateListener m_listener;
  std::unique_ptr<Connection> m_connection;
  kj::Promise<void> m_retry;
  kj::Promise<void> m_task;
  bool m_isUp = false;
  uint64_t m_earlierBytes = 0;
};

} // namespace celeryspread
