#include "wire/peer_codec.h"

#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// Returns whether forwarded calls can be sent to an entry.
bool IsComplete(const EntryPeer& aPeer)
{
  return !aPeer.m_instance.IsEmpty() && !aPeer.m_address.m_address.empty() &&
         aPeer.m_address.m_port != 0;
}

} // namespace

void WritePeers(const std::vector<EntryPeer>& aPeers,
                capnp::List<wire::PeerEntry>::Builder aOut)
{
  for (unsigned i = 0; i < aOut.size(); ++i) {
    aOut[i].setInstance(aPeers[i].m_instance.Value());
    aOut[i].setAddress(aPeers[i].m_address.m_address);
    aOut[i].setPort(aPeers[i].m_address.m_port);
    aOut[i].setFailureDomain(aPeers[i].m_domain.Value());
  }
}

std::vector<EntryPeer> ReadPeers(capnp::List<wire::PeerEntry>::Reader aIn,
                                 size_t aMax)
{
  std::vector<EntryPeer> peers;
  for (const auto in : aIn) {
    if (peers.size() == aMax) {
      break;
    }
    EntryPeer peer{ InstanceId(TextOf(in.getInstance())),
                    { TextOf(in.getAddress()), in.getPort() },
                    FailureDomainId(TextOf(in.getFailureDomain())) };
    if (IsComplete(peer)) {
      peers.push_back(std::move(peer));
    }
  }
  return peers;
}

std::optional<EntryPeer> ReadForwardAddress(wire::FollowRequest::Reader aIn)
{
  EntryPeer peer{ InstanceId(TextOf(aIn.getInstance())),
                  { TextOf(aIn.getForwardAddress()), aIn.getForwardPort() },
                  FailureDomainId(TextOf(aIn.getFailureDomain())) };
  return IsComplete(peer) ? std::optional(std::move(peer)) : std::nullopt;
}

} // namespace celeryspread
