#include "control/directory_relay.h"

#include <algorithm>
#include <utility>

#include "wire/crash_codec.h"
#include "wire/demand_codec.h"
#include "wire/engine_codec.h"
#include "wire/message_bytes.h"
#include "wire/peer_codec.h"
#include "wire/retry_loop.h"

namespace celeryspread {

namespace {

/// Longer than the owner's long poll for relays and a round trip between
/// regions.
constexpr Duration kFollowTimeout = std::chrono::milliseconds(1000);
/// A copy that the owner has not confirmed for this long is not served, so that
/// entries turn to another instance well within the time in which a
/// configuration must be in force.
constexpr Duration kMaxCopyAge = std::chrono::milliseconds(1500);
/// Delay before the next request after a failed one.
constexpr int64_t kRetryDelayMicros = 100'000;

} // namespace

DirectoryRelay::DirectoryRelay(Dependencies aDependencies,
                               InstanceId aSelf,
                               FailureDomainId aDomain)
  : m_deps(aDependencies)
  , m_self(std::move(aSelf))
  , m_domain(std::move(aDomain))
  , m_follow(nullptr)
{
  m_follow = RepeatForever(m_deps.m_port,
                           { [this] { return FollowOnce(); },
                             [](const kj::Exception&) {},
                             Duration(kRetryDelayMicros) })
               .eagerlyEvaluate(nullptr);
}

const EngineDirectory* DirectoryRelay::Directory() const
{
  const bool isRecent =
    m_directory.HasList() && m_deps.m_clock.Now() < m_confirmedAt + kMaxCopyAge;
  return isRecent ? &m_directory : nullptr;
}

void DirectoryRelay::RecordDemand(const DemandKey& aKey,
                                  const CallDemand& aDemand)
{
  m_demand[aKey] += aDemand;
}

kj::Promise<void> DirectoryRelay::FollowOnce()
{
  const ReplicaAddress* leader = m_deps.m_host.LeaderAddress();
  if (leader == nullptr || m_deps.m_host.Replica().IsLeader()) {
    return PromiseAfter(m_deps.m_port.Base(), kRetryDelayMicros);
  }
  WireLink& link = m_deps.m_peers.LinkTo(*leader);
  if (!link.IsUp()) {
    return PromiseAfter(m_deps.m_port.Base(), kRetryDelayMicros);
  }
  auto call = link.Node().followRequest();
  WriteRequest(call.initRequest());
  const TimePoint sentAt = m_deps.m_clock.Now();
  auto reply = call.send().then([this, sentAt](auto&& aResponse) {
    RecordProof(aResponse.getReply(), sentAt);
    Apply(aResponse.getReply());
    m_confirmedAt = sentAt;
  });
  return link.WithTimeout<void>(kj::mv(reply), kFollowTimeout);
}

void DirectoryRelay::RecordProof(wire::FollowReply::Reader aReply,
                                 TimePoint aSentAt)
{
  if (aReply.getRouteProofAgeMicros() < 0) {
    return;
  }
  const TimePoint provenAt =
    aSentAt - Duration(aReply.getRouteProofAgeMicros());
  if (!m_proof || m_proof->m_provenAt < provenAt) {
    m_proof = { Revision(aReply.getProvenRouteVersion()), provenAt };
  }
}

void DirectoryRelay::WriteRequest(wire::FollowRequest::Builder aOut)
{
  aOut.setInstance(m_self.Value());
  aOut.setFailureDomain(m_domain.Value());
  // Routes come with the replicated log.
  aOut.setRouteVersion(UINT64_MAX);
  aOut.setEpoch(m_epoch);
  aOut.setDirectoryVersion(m_directory.Version());
  aOut.setSuspectEpoch(m_suspectEpoch);
  aOut.setSuspectVersion(m_suspectVersion);
  aOut.setIsRelay(true);
  aOut.setRelayedEntries(m_followerCount);
  WriteDemand(std::exchange(m_demand, {}), aOut);
  const auto failing = std::exchange(m_failing, {});
  auto failingList =
    aOut.initFailingEngines(static_cast<unsigned>(failing.size()));
  unsigned at = 0;
  for (const UpstreamId& engine : failing) {
    failingList.set(at++, engine.Value());
  }
  const TimePoint now = m_deps.m_clock.Now();
  if (m_deps.m_roster.IsReportDue(now)) {
    const std::vector<EntryPeer> peers = m_deps.m_roster.Report(now);
    WritePeers(peers, aOut.initPeers(static_cast<unsigned>(peers.size())));
  }
}

void DirectoryRelay::Apply(wire::FollowReply::Reader aReply)
{
  KJ_REQUIRE(aReply.getIsLeader() && aReply.getHasDirectory(),
             "the instance does not own the engines");
  // A former leader may not know yet that it was replaced.
  KJ_REQUIRE(aReply.getEpoch() >= m_epoch, "the leader was replaced");
  KJ_REQUIRE(aReply.getIsWhole() || aReply.getEpoch() == m_epoch,
             "changes of another term");
  std::vector<EngineDirectory::Entry> entries;
  for (const auto engine : aReply.getEngines()) {
    EngineDirectory::Entry entry;
    entry.m_record = ReadEngine(engine);
    entry.m_isGone = engine.getIsGone();
    entries.push_back(std::move(entry));
  }
  m_directory.ApplyUpdate(
    aReply.getIsWhole(), aReply.getDirectoryVersion(), std::move(entries));
  m_listReadAt = m_deps.m_clock.Now() -
                 Duration(std::max<int64_t>(0, aReply.getListAgeMicros()));
  m_epoch = aReply.getEpoch();
  m_entryCount = aReply.getEntryCount();
  if (aReply.getHasSuspects()) {
    m_suspects = ReadSuspects(aReply.getSuspects(), m_deps.m_clock.Now());
    m_suspectEpoch = aReply.getSuspectEpoch();
    m_suspectVersion = aReply.getSuspectVersion();
  }
  if (aReply.getHasPeers()) {
    m_deps.m_roster.RecordNamed(
      ReadPeers(aReply.getPeers(), PeerRoster::kMaxSample),
      m_deps.m_clock.Now());
  }
  m_relays.clear();
  for (const auto relay : aReply.getRelays()) {
    m_relays.push_back({ TextOf(relay.getAddress()),
                         FailureDomainId(TextOf(relay.getFailureDomain())) });
  }
}

} // namespace celeryspread
