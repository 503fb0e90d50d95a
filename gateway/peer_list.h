#pragma once

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "routes/entry_peer.h"

namespace celeryspread {

/// The entries to which this one can forward calls, as the control instances
/// name them. An old list is better than none, so it stays when they are lost.
/// @thread loop thread only.
class PeerList
{
public:
  using DomainRegions = std::map<FailureDomainId, RegionId>;

  /// Creates an empty list for an entry in aOwnDomain. @pre aRandom outlives
  /// it.
  PeerList(FailureDomainId aOwnDomain,
           DomainRegions aRegions,
           RandomSource& aRandom);

  /// Replaces the peers. What is known of those that stay is kept. @pre none.
  void Set(std::vector<EntryPeer> aPeers);
  /// Returns the peer for the next forwarded call: none of aTried and none that
  /// failed a moment ago; of the others the one with the fewest calls in
  /// progress from here, near ones first. @pre none.
  [[nodiscard]] std::optional<EntryPeer> Choose(
    const std::set<InstanceId>& aTried,
    TimePoint aNow);
  /// Records that a call was forwarded. @pre none.
  void RecordStart(const InstanceId& aPeer);
  /// Records the end of a forwarded call; aHasFailed if the peer could not be
  /// reached or could not serve it. @pre RecordStart() was called for it.
  void RecordEnd(const InstanceId& aPeer, bool aHasFailed, TimePoint aNow);
  /// Returns the number of peers. @pre none.
  [[nodiscard]] size_t Size() const { return m_peers.size(); }

private:
  struct State
  {
    uint32_t m_calls = 0;
    TimePoint m_avoidUntil;
  };

  [[nodiscard]] bool IsInOwnRegion(const FailureDomainId& aDomain) const;

  FailureDomainId m_ownDomain;
  DomainRegions m_regions;
  RandomSource& m_random;
  std::vector<EntryPeer> m_peers;
  /// Also of peers that left the list while calls are in progress there.
  std::map<InstanceId, State> m_states;
};

} // namespace celeryspread
