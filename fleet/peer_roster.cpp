#include "fleet/peer_roster.h"

#include <algorithm>
#include <utility>

namespace celeryspread {

namespace {

/// An entry follows several times in this time.
constexpr Duration kEntryMemory = std::chrono::milliseconds(2500);
/// Longer, so that a report that gets lost does not matter.
constexpr Duration kListMemory = std::chrono::seconds(5);
constexpr Duration kReportPeriod = std::chrono::seconds(1);
constexpr Duration kSamplePeriod = std::chrono::seconds(1);
/// Bounds the work for hundreds of entries that ask one after another. What is
/// too old may be named for this much longer.
constexpr Duration kListPeriod = std::chrono::milliseconds(250);

bool IsOver(Duration aTime, TimePoint aBegin, TimePoint aNow)
{
  return aBegin + aTime <= aNow;
}

} // namespace

PeerRoster::PeerRoster(RandomSource& aRandom)
  : m_random(aRandom)
{
}

void PeerRoster::RecordEntry(const EntryPeer& aPeer, TimePoint aNow)
{
  m_entries[aPeer.m_instance] = { aPeer, aNow };
  m_refusedAt.erase(aPeer.m_instance);
}

void PeerRoster::RecordNoEntry(const InstanceId& aInstance, TimePoint aNow)
{
  const bool isNew = m_refusedAt.insert_or_assign(aInstance, aNow).second;
  m_entries.erase(aInstance);
  if (isNew) {
    m_listedAt.reset();
  }
}

void PeerRoster::RecordRelayed(const InstanceId& aRelay,
                               std::vector<EntryPeer> aPeers,
                               TimePoint aNow)
{
  m_relayed[aRelay] = { std::move(aPeers), aNow };
}

void PeerRoster::RecordNamed(std::vector<EntryPeer> aPeers, TimePoint aNow)
{
  m_named = { std::move(aPeers), aNow };
}

void PeerRoster::Forget(TimePoint aNow)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return IsOver(kEntryMemory, aEntry.second.m_seenAt, aNow);
  });
  std::erase_if(m_relayed, [&](const auto& aList) {
    return IsOver(kListMemory, aList.second.m_seenAt, aNow);
  });
  if (IsOver(kListMemory, m_named.m_seenAt, aNow)) {
    m_named.m_peers.clear();
  }
  std::erase_if(m_refusedAt, [&](const auto& aEntry) {
    return IsOver(kListMemory, aEntry.second, aNow);
  });
  std::erase_if(m_sampledAt, [&](const auto& aEntry) {
    return IsOver(kSamplePeriod, aEntry.second, aNow);
  });
}

bool PeerRoster::IsReportDue(TimePoint aNow) const
{
  return !m_reportedAt || IsOver(kReportPeriod, *m_reportedAt, aNow);
}

std::vector<EntryPeer> PeerRoster::Report(TimePoint aNow)
{
  Forget(aNow);
  m_reportedAt = aNow;
  std::vector<EntryPeer> report;
  auto at = m_entries.upper_bound(m_lastReported);
  while (report.size() < std::min(m_entries.size(), kMaxReported)) {
    at = at == m_entries.end() ? m_entries.begin() : at;
    m_lastReported = at->first;
    report.push_back((at++)->second.m_peer);
  }
  return report;
}

void PeerRoster::AddCandidates(const RelayedList& aList,
                               const InstanceId& aRelay,
                               std::map<InstanceId, Candidate>& aOut) const
{
  for (const EntryPeer& peer : aList.m_peers) {
    if (!m_refusedAt.contains(peer.m_instance)) {
      aOut.try_emplace(peer.m_instance, Candidate{ peer, aRelay });
    }
  }
}

void PeerRoster::UpdateCandidates(TimePoint aNow)
{
  if (m_listedAt && !IsOver(kListPeriod, *m_listedAt, aNow)) {
    return;
  }
  m_listedAt = aNow;
  Forget(aNow);
  std::map<InstanceId, Candidate> candidates;
  for (const auto& [instance, entry] : m_entries) {
    candidates.try_emplace(instance, Candidate{ entry.m_peer, InstanceId() });
  }
  for (const auto& [relay, list] : m_relayed) {
    AddCandidates(list, relay, candidates);
  }
  AddCandidates(m_named, InstanceId(), candidates);
  m_candidates.clear();
  for (auto& [instance, candidate] : candidates) {
    m_candidates[candidate.m_peer.m_domain].push_back(std::move(candidate));
  }
}

std::optional<std::vector<EntryPeer>> PeerRoster::Sample(
  const InstanceId& aRequester,
  const FailureDomainId& aDomain,
  TimePoint aNow)
{
  const auto sampled = m_sampledAt.find(aRequester);
  if (sampled != m_sampledAt.end() &&
      !IsOver(kSamplePeriod, sampled->second, aNow)) {
    return std::nullopt;
  }
  m_sampledAt[aRequester] = aNow;
  UpdateCandidates(aNow);
  // Candidates of a domain; those before m_next were looked at.
  struct Domain
  {
    std::vector<Candidate>* m_candidates;
    size_t m_next;
  };
  std::vector<Domain> domains;
  for (auto& [domain, candidates] : m_candidates) {
    domains.push_back({ &candidates, 0 });
    std::swap(domains.back(), domains[m_random.Below(domains.size())]);
  }
  // What cuts the requester off probably cuts off its domain, so that comes
  // last.
  std::stable_partition(
    domains.begin(), domains.end(), [&](const Domain& aOther) {
      return aOther.m_candidates->front().m_peer.m_domain != aDomain;
    });
  const auto takeFrom = [&](Domain& aFrom) -> const EntryPeer* {
    while (aFrom.m_next < aFrom.m_candidates->size()) {
      const size_t left = aFrom.m_candidates->size() - aFrom.m_next;
      Candidate& next = (*aFrom.m_candidates)[aFrom.m_next];
      std::swap(next,
                (*aFrom.m_candidates)[aFrom.m_next + m_random.Below(left)]);
      ++aFrom.m_next;
      if (next.m_peer.m_instance != aRequester && next.m_relay != aRequester) {
        return &next.m_peer;
      }
    }
    return nullptr;
  };
  std::vector<EntryPeer> sample;
  // One of each domain in turn, until there are enough or a turn finds no more.
  bool hasMore = true;
  while (hasMore) {
    hasMore = false;
    for (Domain& domain : domains) {
      if (sample.size() == kMaxSample) {
        return sample;
      }
      if (const EntryPeer* peer = takeFrom(domain)) {
        sample.push_back(*peer);
        hasMore = true;
      }
    }
  }
  return sample;
}

} // namespace celeryspread
