#include "control/fleet_service.h"

#include "wire/engine_codec.h"
#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// A follow call without news is answered after this time; entries tell their
/// demand as often.
constexpr int64_t kFollowMicros = 700'000;
/// Time in which every entry that can reach a new leader follows it.
constexpr Duration kCountingTime = std::chrono::milliseconds(2000);
/// An entry that has not followed for this long is not counted any more.
constexpr Duration kEntryLife = std::chrono::seconds(6);

} // namespace

FleetService::FleetService(Parts aParts)
  : m_parts(aParts)
{
}

void FleetService::TakeRoutes()
{
  const RouteChange& routes = m_parts.m_host.State().Routes();
  if (routes.m_version <= m_takenRoutes) {
    return;
  }
  m_takenRoutes = routes.m_version;
  std::string reason;
  auto config = m_parts.m_reader.Read(routes.m_document, reason);
  if (config == nullptr) {
    m_parts.m_log.Write(EventId::RoutesRefused, "reason=\"" + reason + "\"");
    return;
  }
  m_parts.m_log.Write(EventId::RoutesInForce,
                      "version=" + std::to_string(routes.m_version.Value()));
  m_parts.m_owner.SetConfig(std::move(config));
}

void FleetService::NoteLeadership()
{
  const bool hasLease = m_parts.m_host.HasLease();
  const FencingToken term(m_parts.m_host.Replica().CurrentTerm().Value());
  const bool isOwner = m_parts.m_owner.Term().has_value();
  if (hasLease && m_parts.m_owner.Term() != term) {
    m_parts.m_owner.Begin(term);
    m_ownerSince = m_parts.m_clock.Now();
  } else if (isOwner && !m_parts.m_host.Replica().IsLeader()) {
    m_parts.m_owner.End();
  }
}

void FleetService::Tick()
{
  TakeRoutes();
  NoteLeadership();
  m_parts.m_owner.Tick();
  WakeWaiters();
}

bool FleetService::IsNews(Revision aRoutes,
                          uint64_t aEpoch,
                          uint64_t aDirectory) const
{
  if (m_parts.m_host.State().Routes().m_version > aRoutes) {
    return true;
  }
  const auto term = m_parts.m_owner.Term();
  if (!term) {
    return true;
  }
  const EngineDirectory& directory = m_parts.m_owner.Directory();
  return directory.IsKnown() &&
         (aEpoch != term->Value() || directory.Version() > aDirectory);
}

void FleetService::WakeWaiters()
{
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool isGone = !it->m_fulfiller->isWaiting();
    if (!isGone &&
        !IsNews(it->m_routeVersion, it->m_epoch, it->m_directoryVersion)) {
      ++it;
      continue;
    }
    if (!isGone) {
      it->m_fulfiller->fulfill();
    }
    it = m_waiting.erase(it);
  }
}

kj::Promise<void> FleetService::Follow(
  wire::FollowRequest::Reader aRequest,
  const std::function<wire::FollowReply::Builder()>& aReply)
{
  const TimePoint now = m_parts.m_clock.Now();
  m_entries[InstanceId(TextOf(aRequest.getInstance()))] = now;
  for (const auto demand : aRequest.getDemand()) {
    m_parts.m_owner.NoteDemand(
      { PoolId(TextOf(demand.getPool())),
        { TextOf(demand.getModel()), TextOf(demand.getAdapter()) } },
      demand.getCalls(),
      Duration(static_cast<int64_t>(demand.getWorkMicros())));
  }
  const Revision routes(aRequest.getRouteVersion());
  const uint64_t epoch = aRequest.getEpoch();
  const uint64_t directory = aRequest.getDirectoryVersion();
  const auto answer = [this, routes, epoch, directory, aReply] {
    WriteReply(routes, epoch, directory, aReply());
  };
  if (IsNews(routes, epoch, directory)) {
    answer();
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_waiting.push_back({ routes, epoch, directory, kj::mv(paf.fulfiller) });
  return paf.promise
    .exclusiveJoin(PromiseAfter(m_parts.m_port.Base(), kFollowMicros))
    .then([answer] { answer(); });
}

uint32_t FleetService::EntryCount(TimePoint aNow)
{
  if (aNow < m_ownerSince + kCountingTime) {
    // The first entries to follow a new leader are not all there are.
    return 0;
  }
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return aEntry.second + kEntryLife < aNow;
  });
  return static_cast<uint32_t>(m_entries.size());
}

void FleetService::WriteControls(wire::FollowReply::Builder aOut) const
{
  const auto& voters = m_parts.m_host.Replica().Replicas().m_voters;
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
                                uint64_t aKnown,
                                wire::FollowReply::Builder aOut) const
{
  std::vector<const EngineDirectory::Entry*> changed;
  for (const auto& [id, entry] : m_parts.m_owner.Directory().All()) {
    const bool isSent = aIsWhole ? !entry.m_isGone : entry.m_changedAt > aKnown;
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

void FleetService::WriteReply(Revision aRoutes,
                              uint64_t aEpoch,
                              uint64_t aDirectory,
                              wire::FollowReply::Builder aOut)
{
  WriteControls(aOut);
  const RouteChange& routes = m_parts.m_host.State().Routes();
  if (routes.m_version > aRoutes) {
    auto out = aOut.initRoutes();
    out.setVersion(routes.m_version.Value());
    out.setDocument(DataOf(routes.m_document));
  }
  const auto term = m_parts.m_owner.Term();
  if (!term) {
    const ReplicaAddress* leader = m_parts.m_host.LeaderAddress();
    if (leader != nullptr && !m_parts.m_host.Replica().IsLeader()) {
      auto out = aOut.initLeader();
      out.setInstance(leader->m_instance.Value());
      out.setAddress(leader->m_address);
      out.setPort(leader->m_port);
    }
    return;
  }
  aOut.setIsLeader(true);
  aOut.setEntryCount(EntryCount(m_parts.m_clock.Now()));
  const EngineDirectory& directory = m_parts.m_owner.Directory();
  aOut.setHasDirectory(directory.IsKnown());
  if (!directory.IsKnown()) {
    return;
  }
  const bool isWhole = aEpoch != term->Value();
  aOut.setIsWhole(isWhole);
  aOut.setEpoch(term->Value());
  aOut.setDirectoryVersion(directory.Version());
  WriteEngines(isWhole, aDirectory, aOut);
}

kj::Promise<std::string> FleetService::LoadAdapter(
  wire::AdapterRequest::Reader aRequest)
{
  auto paf = kj::newPromiseAndFulfiller<std::string>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<std::string>>>(
    kj::mv(paf.fulfiller));
  m_parts.m_owner.LoadAdapter(
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
