#pragma once

#include "gateway/forwarding_protocol.h"
#include "gateway/peer_list.h"
#include "gateway/upstream_reach.h"

namespace celeryspread {

/// What an entry needs to forward calls while it is cut off from upstreams: the
/// pools that are out of reach, the entries that may serve instead, and the
/// protocol between entries. See docs/design/call-forwarding.md.
/// @thread loop thread only.
class CallForwarding
{
public:
  /// @pre aReach and aPeers outlive it.
  CallForwarding(UpstreamReach& aReach,
                 PeerList& aPeers,
                 ForwardingProtocol aProtocol,
                 InstanceId aSelf);

  /// Returns what attempts tell about the upstreams in reach. @pre none.
  [[nodiscard]] UpstreamReach& Reach() { return m_reach; }
  /// Returns the entries that may serve. @pre none.
  [[nodiscard]] PeerList& Peers() { return m_peers; }
  /// Returns the protocol between the entries. @pre none.
  [[nodiscard]] const ForwardingProtocol& Protocol() const
  {
    return m_protocol;
  }
  /// Returns the name of this entry. @pre none.
  [[nodiscard]] const InstanceId& Self() const { return m_self; }
  /// Returns the peer to which a call may be forwarded; empty if there is none.
  /// @pre none.
  [[nodiscard]] std::optional<EntryPeer> ChoosePeer(
    const std::set<InstanceId>& aTried,
    TimePoint aNow);

private:
  UpstreamReach& m_reach;
  PeerList& m_peers;
  ForwardingProtocol m_protocol;
  InstanceId m_self;
};

} // namespace celeryspread
