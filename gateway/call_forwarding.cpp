#include "gateway/call_forwarding.h"

namespace celeryspread {

CallForwarding::CallForwarding(UpstreamReach& aReach,
                               PeerList& aPeers,
                               ForwardingProtocol aProtocol,
                               InstanceId aSelf)
  : m_reach(aReach)
  , m_peers(aPeers)
  , m_protocol(std::move(aProtocol))
  , m_self(std::move(aSelf))
{
}

std::optional<EntryPeer> CallForwarding::ChoosePeer(
  const std::set<InstanceId>& aTried,
  TimePoint aNow)
{
  std::set<InstanceId> excluded = aTried;
  excluded.insert(m_self);
  return m_peers.Choose(excluded, aNow);
}

} // namespace celeryspread
