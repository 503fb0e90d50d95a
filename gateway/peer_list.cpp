#include "gateway/peer_list.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// A peer that could not serve is not asked again for this long.
constexpr Duration kAvoidance = std::chrono::seconds(1);

} // namespace

PeerList::PeerList(FailureDomainId aOwnDomain,
                   DomainRegions aRegions,
                   RandomSource& aRandom)
  : m_ownDomain(std::move(aOwnDomain))
  , m_regions(std::move(aRegions))
  , m_random(aRandom)
{
}

void PeerList::Set(std::vector<EntryPeer> aPeers)
{
  m_peers = std::move(aPeers);
  std::erase_if(m_states, [&](const auto& aEntry) {
    const bool isListed =
      std::any_of(m_peers.begin(), m_peers.end(), [&](const EntryPeer& aPeer) {
        return aPeer.m_instance == aEntry.first;
      });
    return !isListed && aEntry.second.m_calls == 0;
  });
}

bool PeerList::IsInOwnRegion(const FailureDomainId& aDomain) const
{
  const auto own = m_regions.find(m_ownDomain);
  const auto other = m_regions.find(aDomain);
  return own != m_regions.end() && other != m_regions.end() &&
         own->second == other->second;
}

std::optional<EntryPeer> PeerList::Choose(const std::set<InstanceId>& aTried,
                                          TimePoint aNow)
{
  const EntryPeer* best = nullptr;
  // Fewest calls, then near ones, then by chance.
  std::tuple<uint32_t, bool, uint64_t> bestRank;
  for (const EntryPeer& peer : m_peers) {
    const auto found = m_states.find(peer.m_instance);
    const State state = found == m_states.end() ? State() : found->second;
    if (aTried.contains(peer.m_instance) || aNow < state.m_avoidUntil) {
      continue;
    }
    const std::tuple rank{ state.m_calls,
                           !IsInOwnRegion(peer.m_domain),
                           m_random.Below(UINT32_MAX) };
    if (best == nullptr || rank < bestRank) {
      best = &peer;
      bestRank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void PeerList::RecordStart(const InstanceId& aPeer)
{
  ++m_states[aPeer].m_calls;
}

void PeerList::RecordEnd(const InstanceId& aPeer,
                         bool aHasFailed,
                         TimePoint aNow)
{
  State& state = m_states[aPeer];
  state.m_calls -= state.m_calls > 0 ? 1 : 0;
  if (aHasFailed) {
    state.m_avoidUntil = aNow + kAvoidance;
  }
}

} // namespace celeryspread
