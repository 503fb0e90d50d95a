#pragma once

#include <map>
#include <memory>

#include "control/replica_host.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// Connections to the other control instances, and the PeerTransport over them
/// by Cap'n Proto RPC.
/// @thread loop thread only.
class PeerLinks : public PeerTransport
{
public:
  /// Creates no link yet; links are opened on demand. aSelf is the address that
  /// peers reply to. @pre references outlive the links.
  PeerLinks(EventLoopPort& aPort,
            ClusterKey aKey,
            ReplicaAddress aSelf,
            EventLog& aLog);

  void Send(const RaftMessage& aMessage,
            const ReplicaAddress& aAddress) override;
  /// Returns the link to an instance, opening it if needed. @pre none.
  WireLink& LinkTo(const ReplicaAddress& aAddress);

private:
  struct Peer
  {
    ReplicaAddress m_address;
    std::unique_ptr<WireLink> m_link;
  };

  EventLoopPort& m_port;
  ClusterKey m_key;
  ReplicaAddress m_self;
  EventLog& m_log;
  std::map<InstanceId, Peer> m_peers;
};

} // namespace celeryspread
