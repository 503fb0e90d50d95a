#include "control/fleet_service.h"

#include "wire/engine_codec.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// A follow call that finds no update is answered after this time. Entries
/// report their demand with each call, so this is also the report period.
constexpr int64_t kLongPollMicros = 700'000;
/// Time after which every entry that can reach a new leader follows it.
constexpr Duration kEntryCountDelay = std::chrono::milliseconds(2000);
/// An entry whose last follow call is older than this is no longer counted.
constexpr Duration kMaxEntryAge = std::chrono::seconds(6);

} // namespace

FleetService::FleetService(Dependencies aDeps)
  : m_deps(aDeps)
{
}

void FleetService::ApplyRoutes()
{
  const RouteChange& routes = m_deps.m_host.State().Routes();
  if (routes.m_version <= m_appliedRouteVersion) {
    return;
  }
  m_appliedRouteVersion = routes.m_version;
  std::string reason;
  auto config = m_deps.m_reader.Read(routes.m_document, reason);
  if (config == nullptr) {
    m_deps.m_log.Write(EventId::RoutesRefused, "reason=\"" + reason + "\"");
    return;
  }
  m_deps.m_log.Write(EventId::RoutesInForce,
                     "version=" + std::to_string(routes.m_version.Value()));
  m_deps.m_owner.SetConfig(std::move(config));
}

void FleetService::UpdateOwnership()
{
  const bool hasLease = m_deps.m_host.HasLease();
  const FencingToken term(m_deps.m_host.Replica().CurrentTerm().Value());
  const bool isOwner = m_deps.m_owner.Term().has_value();
  if (hasLease && m_deps.m_owner.Term() != term) {
    m_deps.m_owner.AcquireOwnership(term);
    m_ownerSince = m_deps.m_clock.Now();
  } else if (isOwner && !m_deps.m_host.Replica().IsLeader()) {
    m_deps.m_owner.LoseOwnership();
  }
}

void FleetService::Tick()
{
  ApplyRoutes();
  UpdateOwnership();
  m_deps.m_owner.Tick();
  WakeFollowers();
}

bool FleetService::HasUpdate(Revision aRouteVersion,
                             uint64_t aEpoch,
                             uint64_t aDirectoryVersion) const
{
  if (m_deps.m_host.State().Routes().m_version > aRouteVersion) {
    return true;
  }
  const auto term = m_deps.m_owner.Term();
  if (!term) {
    return true;
  }
  const EngineDirectory& directory = m_deps.m_owner.Directory();
  return directory.HasList() &&
         (aEpoch != term->Value() || directory.Version() > aDirectoryVersion);
}

void FleetService::WakeFollowers()
{
  for (auto it = m_waitingFollows.begin(); it != m_waitingFollows.end();) {
    const bool isGone = !it->m_fulfiller->isWaiting();
    if (!isGone &&
        !HasUpdate(it->m_routeVersion, it->m_epoch, it->m_directoryVersion)) {
      ++it;
      continue;
    }
    if (!isGone) {
      it->m_fulfiller->fulfill();
    }
    it = m_waitingFollows.erase(it);
  }
}

kj::Promise<void> FleetService::Follow(
  wire::FollowRequest::Reader aRequest,
  const std::function<wire::FollowReply::Builder()>& aReply)
{
  const TimePoint now = m_deps.m_clock.Now();
  m_entriesSeenAt[InstanceId(TextOf(aRequest.getInstance()))] = now;
  for (const auto demand : aRequest.getDemand()) {
    m_deps.m_owner.RecordDemand(
      { PoolId(TextOf(demand.getPool())),
        { TextOf(demand.getModel()), TextOf(demand.getAdapter()) } },
      { demand.getCalls(),
        Duration(static_cast<int64_t>(demand.getWorkMicros())),
        Duration(static_cast<int64_t>(demand.getPrefillMicros())) });
  }
  for (const auto engine : aRequest.getFailingEngines()) {
    m_deps.m_owner.CheckEngine(UpstreamId(TextOf(engine)));
  }
  const Revision routeVersion(aRequest.getRouteVersion());
  const uint64_t epoch = aRequest.getEpoch();
  const uint64_t directoryVersion = aRequest.getDirectoryVersion();
  const auto answer = [this, routeVersion, epoch, directoryVersion, aReply] {
    WriteReply(routeVersion, epoch, directoryVersion, aReply());
  };
  if (HasUpdate(routeVersion, epoch, directoryVersion)) {
    answer();
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_waitingFollows.push_back(
    { routeVersion, epoch, directoryVersion, kj::mv(paf.fulfiller) });
  return paf.promise
    .exclusiveJoin(PromiseAfter(m_deps.m_port.Base(), kLongPollMicros))
    .then([answer] { answer(); });
}

uint32_t FleetService::EntryCount(TimePoint aNow)
{
  if (aNow < m_ownerSince + kEntryCountDelay) {
    // Not all entries have found the new leader yet.
    return 0;
  }
  std::erase_if(m_entriesSeenAt, [&](const auto& aEntry) {
    return aEntry.second + kMaxEntryAge < aNow;
  });
  return static_cast<uint32_t>(m_entriesSeenAt.size());
}

void FleetService::WriteControlInstances(wire::FollowReply::Builder aOut) const
{
  const auto& voters = m_deps.m_host.Replica().Replicas().m_voters;
  auto controls = aOut.initControls(static_cast<unsigned>(voters.size()));
  unsigned at = 0;
  for (const auto& [id, address] : voters) {
    auto control = controls[at++];
    control.setInstance(address.m_instance.Value());
    control.setAddress(address.m_address);
    control.setPort(address.m_port);
  }
}

void FleetService::WriteEngines(bool aIsWhole,
                                uint64_t aKnownVersion,
                                wire::FollowReply::Builder aOut) const
{
  std::vector<const EngineDirectory::Entry*> changed;
  for (const auto& [id, entry] : m_deps.m_owner.Directory().All()) {
    const bool isSent =
      aIsWhole ? !entry.m_isGone : entry.m_changedInVersion > aKnownVersion;
    if (isSent) {
      changed.push_back(&entry);
    }
  }
  auto engines = aOut.initEngines(static_cast<unsigned>(changed.size()));
  for (unsigned i = 0; i < engines.size(); ++i) {
    WriteEngine(changed[i]->m_record, engines[i]);
    engines[i].setIsGone(changed[i]->m_isGone);
  }
}

void FleetService::WriteReply(Revision aRouteVersion,
                              uint64_t aEpoch,
                              uint64_t aDirectoryVersion,
                              wire::FollowReply::Builder aOut)
{
  WriteControlInstances(aOut);
  const RouteChange& routes = m_deps.m_host.State().Routes();
  if (routes.m_version > aRouteVersion) {
    auto out = aOut.initRoutes();
    out.setVersion(routes.m_version.Value());
    out.setDocument(DataOf(routes.m_document));
  }
  const auto term = m_deps.m_owner.Term();
  if (!term) {
    const ReplicaAddress* leader = m_deps.m_host.LeaderAddress();
    if (leader != nullptr && !m_deps.m_host.Replica().IsLeader()) {
      auto out = aOut.initLeader();
      out.setInstance(leader->m_instance.Value());
      out.setAddress(leader->m_address);
      out.setPort(leader->m_port);
    }
    return;
  }
  aOut.setIsLeader(true);
  aOut.setEntryCount(EntryCount(m_deps.m_clock.Now()));
  const EngineDirectory& directory = m_deps.m_owner.Directory();
  aOut.setHasDirectory(directory.HasList());
  if (!directory.HasList()) {
    return;
  }
  const bool isWhole = aEpoch != term->Value();
  aOut.setIsWhole(isWhole);
  aOut.setEpoch(term->Value());
  aOut.setDirectoryVersion(directory.Version());
  WriteEngines(isWhole, aDirectoryVersion, aOut);
}

kj::Promise<std::string> FleetService::LoadAdapter(
  wire::AdapterRequest::Reader aRequest)
{
  auto paf = kj::newPromiseAndFulfiller<std::string>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<std::string>>>(
    kj::mv(paf.fulfiller));
  m_deps.m_owner.LoadAdapter(
    { PoolId(TextOf(aRequest.getPool())),
      { TextOf(aRequest.getModel()), TextOf(aRequest.getAdapter()) } },
    FailureDomainId(TextOf(aRequest.getFailureDomain())),
    UpstreamId(TextOf(aRequest.getEngine())),
    [fulfiller](const UpstreamId& aEngine) {
      if ((*fulfiller)->isWaiting()) {
        (*fulfiller)->fulfill(std::string(aEngine.Value()));
      }
    });
  return kj::mv(paf.promise);
}

} // namespace celeryspread
