#include "control/peer_links.h"

#include "wire/codec.h"

namespace celeryspread {

namespace {

constexpr Duration kMessageTimeout = std::chrono::seconds(2);

} // namespace

PeerLinks::PeerLinks(EventLoopPort& aPort,
                     ClusterKey aKey,
                     ReplicaAddress aSelf,
                     EventLog& aLog)
  : m_port(aPort)
  , m_key(std::move(aKey))
  , m_self(std::move(aSelf))
  , m_log(aLog)
{
}

WireLink& PeerLinks::LinkTo(const ReplicaAddress& aAddress)
{
  Peer& peer = m_peers[aAddress.m_instance];
  if (peer.m_link == nullptr || peer.m_address != aAddress) {
    peer.m_address = aAddress;
    const std::string name = aAddress.m_instance.Value();
    peer.m_link = std::make_unique<WireLink>(
      m_port,
      m_key,
      WireEndpoint{ aAddress.m_address, aAddress.m_port },
      [this, name](bool aIsUp) {
        m_log.Write(aIsUp ? EventId::ControlLinkUp : EventId::ControlLinkLost,
                    "peer=" + name);
      });
  }
  return *peer.m_link;
}

void PeerLinks::Send(const RaftMessage& aMessage,
                     const ReplicaAddress& aAddress)
{
  WireLink& link = LinkTo(aAddress);
  if (!link.IsUp()) {
    return;
  }
  auto request = link.Node().raftRequest();
  WriteRaftMessage(aMessage, request.initMessage());
  auto from = request.initFrom();
  from.setInstance(m_self.m_instance.Value());
  from.setAddress(m_self.m_address);
  from.setPort(m_self.m_port);
  link.WithTimeout<void>(request.send().ignoreResult(), kMessageTimeout)
    .detach([](kj::Exception&&) {});
}

} // namespace celeryspread
