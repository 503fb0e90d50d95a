#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wire/celeryspread.capnp.h"
#include "wire/cluster_key.h"
#include "wire/event_loop_port.h"

struct evconnlistener;
struct sockaddr;

namespace celeryspread {

/// Accepts RPC links between instances of one cluster; gives access to the node
/// only after a proof that the peer has the cluster key.
/// @thread loop thread only.
class WireServer
{
public:
  /// Prepares to serve aNode. @pre aPort outlives the server.
  WireServer(EventLoopPort& aPort,
             ClusterKey aKey,
             wire::ControlNode::Client aNode);
  ~WireServer();
  KJ_DISALLOW_COPY(WireServer);

  /// Binds and listens; port 0 selects an ephemeral port. @pre not listening.
  /// @error false.
  bool Listen(const std::string& aAddress, uint16_t aPort);
  /// Returns the bound port. @pre Listen() succeeded.
  [[nodiscard]] uint16_t Port() const { return m_boundPort; }
  /// Returns the number of open links. @pre none.
  [[nodiscard]] size_t LinkCount() const { return m_links.size(); }

private:
  struct Link;

  static void OnAccept(evconnlistener* aListener,
                       int aFd,
                       sockaddr* aAddress,
                       int aLength,
                       void* aSelf);
  void Accept(int aFd);

  EventLoopPort& m_port;
  ClusterKey m_key;
  wire::ControlNode::Client m_node;
  evconnlistener* m_listener = nullptr;
  uint16_t m_boundPort = 0;
  std::map<uint64_t, std::unique_ptr<Link>> m_links;
  uint64_t m_nextLinkId = 0;
};

} // namespace celeryspread
