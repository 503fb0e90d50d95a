#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "routes/entry_peer.h"

namespace celeryspread {

/// What a control instance knows of the entries that take forwarded calls, and
/// which of them it names to whom.
///
/// An entry is not named all others: at hundreds of entries that would cost
/// too much. It is named a sample that differs from that of others and changes
/// from time to time, so that the forwarded calls of many entries spread over
/// all peers. A relay knows the entries that follow it and those that the owner
/// names to it.
/// @thread one thread at a time.
class PeerRoster
{
public:
  /// Most peers in one report of a relay.
  static constexpr size_t kMaxReported = 16;
  /// Most peers in one sample.
  static constexpr size_t kMaxSample = 8;

  /// Creates an empty roster. @pre aRandom outlives it.
  explicit PeerRoster(RandomSource& aRandom);

  /// Records that an entry follows and takes forwarded calls. @pre none.
  void RecordEntry(const EntryPeer& aPeer, TimePoint aNow);
  /// Records that an entry follows and takes none. @pre none.
  void RecordNoEntry(const InstanceId& aInstance, TimePoint aNow);
  /// Replaces what a relay reports of its entries. @pre none.
  void RecordRelayed(const InstanceId& aRelay,
                     std::vector<EntryPeer> aPeers,
                     TimePoint aNow);
  /// Replaces what the owner names to this relay. @pre none.
  void RecordNamed(std::vector<EntryPeer> aPeers, TimePoint aNow);

  /// Returns whether a relay should report its entries to the owner again.
  /// @pre none.
  [[nodiscard]] bool IsReportDue(TimePoint aNow) const;
  /// Returns some of the entries that follow this relay, others each time if
  /// there are more than fit. @pre none.
  [[nodiscard]] std::vector<EntryPeer> Report(TimePoint aNow);
  /// Returns the peers to name to an entry or a relay: never itself nor the
  /// relay's own entries, from as many failure domains as possible.
  /// @return empty if it was given peers a moment ago. @pre none.
  [[nodiscard]] std::optional<std::vector<EntryPeer>> Sample(
    const InstanceId& aRequester,
    const FailureDomainId& aDomain,
    TimePoint aNow);

private:
  struct Entry
  {
    EntryPeer m_peer;
    TimePoint m_seenAt;
  };
  struct RelayedList
  {
    std::vector<EntryPeer> m_peers;
    TimePoint m_seenAt;
  };
  /// A peer that can be named.
  struct Candidate
  {
    EntryPeer m_peer;
    /// The relay that reports it; empty for none.
    InstanceId m_relay;
  };

  /// Forgets what was not seen for too long.
  void Forget(TimePoint aNow);
  /// Lists the candidates anew if that was not done a moment ago.
  void UpdateCandidates(TimePoint aNow);
  void AddCandidates(const RelayedList& aList,
                     const InstanceId& aRelay,
                     std::map<InstanceId, Candidate>& aOut) const;

  RandomSource& m_random;
  /// Entries that follow this instance.
  std::map<InstanceId, Entry> m_entries;
  std::map<InstanceId, RelayedList> m_relayed;
  RelayedList m_named;
  /// When an entry said that it takes no forwarded calls. Lists of others may
  /// still have it.
  std::map<InstanceId, TimePoint> m_refusedAt;
  std::map<InstanceId, TimePoint> m_sampledAt;
  /// Last entry of the last report.
  InstanceId m_lastReported;
  std::optional<TimePoint> m_reportedAt;
  std::map<FailureDomainId, std::vector<Candidate>> m_candidates;
  /// Empty if the candidates have to be listed anew.
  std::optional<TimePoint> m_listedAt;
};

} // namespace celeryspread
