#include "control/fleet_service.h"

#include "wire/crash_codec.h"
#include "wire/demand_codec.h"
#include "wire/engine_codec.h"
#include "wire/message_bytes.h"
#include "wire/peer_codec.h"

namespace celeryspread {

namespace {

/// A follow call that finds no update is answered after this time. Entries
/// report their demand with each call, so this is also the report period.
constexpr int64_t kLongPollMicros = 700'000;
/// The same for a follow call of a relay, which reports demand for many entries
/// and has to confirm its copy of the directory.
constexpr int64_t kRelayLongPollMicros = 250'000;
/// A follow call that needs the whole directory waits this long for its turn,
/// less than an entry waits for an answer.
constexpr int64_t kMaxWholeDelayMicros = 1'000'000;
/// Time after which every entry that can reach a new leader follows it.
constexpr Duration kEntryCountDelay = std::chrono::milliseconds(2000);
/// An entry whose last follow call is older than this is no longer counted.
constexpr Duration kMaxEntryAge = std::chrono::seconds(6);
/// A relay whose last follow call is older than this is not named to entries.
constexpr Duration kMaxRelayAge = std::chrono::milliseconds(1500);
/// A replica that lacks a proved route version for longer is logged, and how
/// often.
constexpr Duration kReplicaLagLogPeriod = std::chrono::seconds(1);

} // namespace

FleetService::FleetService(Dependencies aDeps,
                           InstanceId aSelf,
                           FailureDomainId aDomain,
                           QuotaBounds aQuotaBounds)
  : m_deps(aDeps)
  , m_self(std::move(aSelf))
  , m_domain(std::move(aDomain))
  , m_roster(aDeps.m_random)
  , m_relay(
      { aDeps.m_port, aDeps.m_clock, aDeps.m_host, aDeps.m_peers, m_roster },
      m_self,
      m_domain)
  , m_quotas(aDeps.m_clock, aQuotaBounds)
  , m_streams(aDeps.m_clock, aDeps.m_host, aDeps.m_log)
  , m_routeFetch(
      aDeps.m_port,
      [this] { return LeaderLink(); },
      [this](const RouteArrival& aArrival) {
        m_routes.SetFetched(aArrival.m_document);
        return true;
      })
{
}

WireLink* FleetService::LeaderLink()
{
  const ReplicaAddress* leader = m_deps.m_host.LeaderAddress();
  if (leader == nullptr || m_deps.m_host.Replica().IsLeader()) {
    return nullptr;
  }
  WireLink& link = m_deps.m_peers.LinkTo(*leader);
  return link.IsUp() ? &link : nullptr;
}

void FleetService::FetchRoutes()
{
  const TimePoint now = m_deps.m_clock.Now();
  if (const auto& proof = m_relay.Proof()) {
    m_routes.RecordProven(proof->m_version, now);
  }
  if (m_routes.NeedsFetch(now)) {
    m_routeFetch.Want(m_routes.Proven());
  }
}

void FleetService::ReadRoutes(const RouteTransfer& aTransfer,
                              uint64_t aOffset,
                              wire::RoutePiece::Builder aOut)
{
  KJ_REQUIRE(m_routes.Version() != Revision(), "no routes are known yet");
  const RoutePiece piece = m_routes.Read(aTransfer, aOffset);
  aOut.setVersion(piece.m_transfer.m_version.Value());
  aOut.setBase(piece.m_transfer.m_base.Value());
  aOut.setIsEncoded(piece.m_transfer.m_isEncoded);
  aOut.setTotalBytes(piece.m_totalBytes);
  aOut.setOffset(piece.m_offset);
  aOut.setBytes(DataOf(piece.m_bytes));
}

void FleetService::ApplyRoutes()
{
  const RouteChange& routes = m_deps.m_host.State().Routes();
  if (routes.m_version <= m_appliedRouteVersion) {
    return;
  }
  m_appliedRouteVersion = routes.m_version;
  m_routes.SetReplicated(routes);
  m_routeFetch.RecordHeld(m_routes.Version(), m_routes.Document());
  std::string reason;
  auto config = m_deps.m_reader.Read(routes.m_document, reason);
  if (config == nullptr) {
    m_deps.m_log.Write(EventId::RoutesRefused, "reason=\"" + reason + "\"");
    return;
  }
  m_deps.m_log.Write(EventId::RoutesInForce,
                     "version=" + std::to_string(routes.m_version.Value()));
  m_quotas.SetTeams(config->Teams());
  m_deps.m_owner.SetConfig(std::move(config));
}

void FleetService::LogReplicaLag()
{
  const TimePoint now = m_deps.m_clock.Now();
  const Revision held = m_deps.m_host.State().Routes().m_version;
  const auto& proof = m_relay.Proof();
  if (!proof || proof->m_version <= held) {
    m_replicaBehindSince.reset();
    return;
  }
  m_replicaBehindSince = m_replicaBehindSince.value_or(now);
  const Duration lag = now - *m_replicaBehindSince;
  if (lag < kReplicaLagLogPeriod || now < m_lagLogDue) {
    return;
  }
  m_lagLogDue = now + kReplicaLagLogPeriod;
  m_deps.m_log.Write(
    EventId::ReplicaRoutesOutdated,
    "version=" + std::to_string(held.Value()) +
      " proven=" + std::to_string(proof->m_version.Value()) +
      " lag_ms=" + std::to_string(lag / std::chrono::milliseconds(1)) +
      " suspended=" + (m_deps.m_host.IsSuspended() ? "yes" : "no"));
}

void FleetService::UpdateOwnership()
{
  const bool hasLease = m_deps.m_host.HasLease();
  const FencingToken term(m_deps.m_host.Replica().CurrentTerm().Value());
  const bool isOwner = m_deps.m_owner.Term().has_value();
  if (hasLease && m_deps.m_owner.Term() != term) {
    m_deps.m_owner.AcquireOwnership(term);
    for (const auto& [id, part] : m_relay.Suspects()) {
      m_deps.m_owner.RestoreSuspect(part);
    }
    m_quotas.Begin(term);
    m_streams.Begin();
    m_ownerSince = m_deps.m_clock.Now();
    m_relays.clear();
  } else if (isOwner && !m_deps.m_host.Replica().IsLeader()) {
    m_deps.m_owner.LoseOwnership();
  }
}

void FleetService::Tick()
{
  ApplyRoutes();
  FetchRoutes();
  LogReplicaLag();
  UpdateOwnership();
  m_deps.m_owner.Tick();
  if (m_deps.m_owner.Term()) {
    m_streams.Tick(m_deps.m_owner.Versions());
  }
  m_relay.SetFollowerCount(OwnFollowerCount(m_deps.m_clock.Now()));
  WakeFollowers();
}

const EngineDirectory* FleetService::ServedDirectory() const
{
  if (!m_deps.m_owner.Term()) {
    return m_relay.Directory();
  }
  const EngineDirectory& directory = m_deps.m_owner.Directory();
  return directory.HasList() ? &directory : nullptr;
}

uint64_t FleetService::ServedEpoch() const
{
  const auto term = m_deps.m_owner.Term();
  return term ? term->Value() : m_relay.Epoch();
}

uint64_t FleetService::ServedSuspectVersion() const
{
  return m_deps.m_owner.Term() ? m_deps.m_owner.Crashes().Version()
                               : m_relay.SuspectVersion();
}

bool FleetService::HasNewSuspects(const FollowState& aState) const
{
  return aState.m_suspectEpoch != ServedEpoch() ||
         aState.m_suspectVersion < ServedSuspectVersion();
}

bool FleetService::HasUpdate(const FollowState& aState) const
{
  if (m_routes.Version() > aState.m_routeVersion) {
    return true;
  }
  const EngineDirectory* directory = ServedDirectory();
  if (directory == nullptr) {
    // The owner reads the list soon; any other instance sends the caller on.
    return !m_deps.m_owner.Term();
  }
  return aState.m_epoch != ServedEpoch() ||
         directory->Version() > aState.m_directoryVersion ||
         HasNewSuspects(aState);
}

std::optional<uint64_t> FleetService::KnownVersion(
  const FollowState& aState) const
{
  return aState.m_epoch == ServedEpoch()
           ? std::optional<uint64_t>(aState.m_directoryVersion)
           : std::nullopt;
}

bool FleetService::NeedsWhole(const FollowState& aState) const
{
  const EngineDirectory* directory = ServedDirectory();
  return directory != nullptr && directory->NeedsWhole(KnownVersion(aState));
}

bool FleetService::IsAnswerDue(const FollowState& aState) const
{
  if (!HasUpdate(aState)) {
    return false;
  }
  const bool isUrgent =
    aState.m_isRelay || m_routes.Version() > aState.m_routeVersion;
  return isUrgent || !NeedsWhole(aState) ||
         m_pacer.MaySend(m_deps.m_clock.Now());
}

void FleetService::WakeFollowers()
{
  for (auto it = m_waitingFollows.begin(); it != m_waitingFollows.end();) {
    const bool isGone = !it->m_fulfiller->isWaiting();
    if (!isGone && !IsAnswerDue(it->m_state)) {
      ++it;
      continue;
    }
    if (!isGone) {
      it->m_fulfiller->fulfill();
    }
    it = m_waitingFollows.erase(it);
  }
}

void FleetService::RecordPeers(wire::FollowRequest::Reader aRequest)
{
  const TimePoint now = m_deps.m_clock.Now();
  const InstanceId sender(TextOf(aRequest.getInstance()));
  if (aRequest.getIsRelay()) {
    if (aRequest.hasPeers()) {
      m_roster.RecordRelayed(
        sender, ReadPeers(aRequest.getPeers(), PeerRoster::kMaxReported), now);
    }
  } else if (const auto peer = ReadForwardAddress(aRequest)) {
    m_roster.RecordEntry(*peer, now);
  } else {
    m_roster.RecordNoEntry(sender, now);
  }
}

void FleetService::RecordReport(wire::FollowRequest::Reader aRequest)
{
  const TimePoint now = m_deps.m_clock.Now();
  const InstanceId sender(TextOf(aRequest.getInstance()));
  if (aRequest.getIsRelay()) {
    m_relays[sender] = { FailureDomainId(TextOf(aRequest.getFailureDomain())),
                         aRequest.getRelayedEntries(),
                         now };
  } else {
    m_entriesSeenAt[sender] = now;
  }
  RecordPeers(aRequest);
  const bool isOwner = m_deps.m_owner.Term().has_value();
  for (const auto& [key, demand] : ReadDemand(aRequest)) {
    if (isOwner) {
      m_deps.m_owner.RecordDemand(key, demand);
    } else {
      m_relay.RecordDemand(key, demand);
    }
  }
  for (const auto engine : aRequest.getFailingEngines()) {
    if (isOwner) {
      m_deps.m_owner.CheckEngine(UpstreamId(TextOf(engine)));
    } else {
      m_relay.RecordFailing(UpstreamId(TextOf(engine)));
    }
  }
}

kj::Promise<void> FleetService::Follow(
  wire::FollowRequest::Reader aRequest,
  const std::function<wire::FollowReply::Builder()>& aReply)
{
  RecordReport(aRequest);
  const FollowState state{ Revision(aRequest.getRouteVersion()),
                           Revision(aRequest.getRouteBase()),
                           aRequest.getAcceptsEncodedRoutes(),
                           aRequest.getMaxRouteBytes(),
                           aRequest.getEpoch(),
                           aRequest.getDirectoryVersion(),
                           aRequest.getSuspectEpoch(),
                           aRequest.getSuspectVersion(),
                           aRequest.getIsRelay(),
                           InstanceId(TextOf(aRequest.getInstance())),
                           FailureDomainId(
                             TextOf(aRequest.getFailureDomain())) };
  const auto answer = [=, this] { WriteReply(state, aReply()); };
  if (IsAnswerDue(state)) {
    answer();
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_waitingFollows.push_back({ state, kj::mv(paf.fulfiller) });
  const int64_t pollMicros = NeedsWhole(state) ? kMaxWholeDelayMicros
                             : state.m_isRelay ? kRelayLongPollMicros
                                               : kLongPollMicros;
  return paf.promise
    .exclusiveJoin(PromiseAfter(m_deps.m_port.Base(), pollMicros))
    .then([answer] { answer(); });
}

uint32_t FleetService::OwnFollowerCount(TimePoint aNow)
{
  std::erase_if(m_entriesSeenAt, [&](const auto& aEntry) {
    return aEntry.second + kMaxEntryAge < aNow;
  });
  return static_cast<uint32_t>(m_entriesSeenAt.size());
}

uint32_t FleetService::EntryCount(TimePoint aNow)
{
  if (!m_deps.m_owner.Term()) {
    return m_relay.EntryCount();
  }
  if (aNow < m_ownerSince + kEntryCountDelay) {
    // Not all entries and relays have found the new leader yet.
    return 0;
  }
  std::erase_if(m_relays, [&](const auto& aRelay) {
    return aRelay.second.m_seenAt + kMaxEntryAge < aNow;
  });
  // An entry that changes from one instance to another counts twice for a
  // while, which makes its share of the retry budget smaller.
  uint32_t count = OwnFollowerCount(aNow);
  for (const auto& [instance, relay] : m_relays) {
    count += relay.m_entries;
  }
  return count;
}

void FleetService::WriteRelays(wire::FollowReply::Builder aOut) const
{
  std::vector<RelayAddress> relays;
  if (m_deps.m_owner.Term()) {
    const TimePoint now = m_deps.m_clock.Now();
    for (const auto& [id, address] :
         m_deps.m_host.Replica().Replicas().m_voters) {
      const auto relay = m_relays.find(address.m_instance);
      if (address.m_instance == m_self) {
        relays.push_back({ address.m_address, m_domain });
      } else if (relay != m_relays.end() &&
                 now < relay->second.m_seenAt + kMaxRelayAge) {
        relays.push_back({ address.m_address, relay->second.m_domain });
      }
    }
  } else {
    relays = m_relay.Relays();
  }
  auto list = aOut.initRelays(static_cast<unsigned>(relays.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setAddress(relays[i].m_address);
    list[i].setFailureDomain(relays[i].m_domain.Value());
  }
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

void FleetService::WriteEngines(const EngineDirectory::Update& aUpdate,
                                wire::FollowReply::Builder aOut)
{
  aOut.setIsWhole(aUpdate.m_isWhole);
  auto engines =
    aOut.initEngines(static_cast<unsigned>(aUpdate.m_entries.size()));
  for (unsigned i = 0; i < engines.size(); ++i) {
    WriteEngine(aUpdate.m_entries[i]->m_record, engines[i]);
    engines[i].setIsGone(aUpdate.m_entries[i]->m_isGone);
  }
}

void FleetService::WriteSuspectList(const FollowState& aState,
                                    wire::FollowReply::Builder aOut) const
{
  const CrashInvestigation::Parts& parts =
    m_deps.m_owner.Term() ? m_deps.m_owner.Crashes().Suspects()
                          : m_relay.Suspects();
  if (!HasNewSuspects(aState)) {
    return;
  }
  aOut.setHasSuspects(true);
  aOut.setSuspectEpoch(ServedEpoch());
  aOut.setSuspectVersion(ServedSuspectVersion());
  WriteSuspects(parts,
                m_deps.m_clock.Now(),
                aOut.initSuspects(static_cast<unsigned>(parts.size())));
}

void FleetService::WriteRouteProof(wire::FollowReply::Builder aOut) const
{
  if (m_deps.m_host.HasLease()) {
    aOut.setProvenRouteVersion(
      m_deps.m_host.State().Routes().m_version.Value());
    aOut.setRouteProofAgeMicros(0);
    return;
  }
  if (const auto& proof = m_relay.Proof()) {
    const Duration age = m_deps.m_clock.Now() - proof->m_provenAt;
    aOut.setProvenRouteVersion(proof->m_version.Value());
    aOut.setRouteProofAgeMicros(age.count());
  }
}

void FleetService::WriteRoutes(const FollowState& aState,
                               wire::FollowReply::Builder aOut)
{
  aOut.setOfferedRouteVersion(m_routes.Version().Value());
  if (m_routes.Version() <= aState.m_routeVersion) {
    return;
  }
  const RouteSource::Content content =
    aState.m_acceptsEncodedRoutes
      ? m_routes.Encode(aState.m_routeBase)
      : RouteSource::Content{ { m_routes.Version(), Revision(), false },
                              m_routes.Document() };
  const bool fits = aState.m_maxRouteBytes == 0 ||
                    content.m_bytes->size() <= aState.m_maxRouteBytes;
  if (fits) {
    auto out = aOut.initRoutes();
    out.setVersion(content.m_transfer.m_version.Value());
    out.setDocument(DataOf(*content.m_bytes));
    aOut.setRoutesEncoded(content.m_transfer.m_isEncoded);
    aOut.setRoutesBase(content.m_transfer.m_base.Value());
  }
}

void FleetService::WritePeerSample(const FollowState& aState,
                                   wire::FollowReply::Builder aOut)
{
  const TimePoint now = m_deps.m_clock.Now();
  // A new owner does not know all entries yet; their old lists are better.
  if (EntryCount(now) == 0) {
    return;
  }
  if (const auto peers =
        m_roster.Sample(aState.m_sender, aState.m_senderDomain, now)) {
    aOut.setHasPeers(true);
    WritePeers(*peers, aOut.initPeers(static_cast<unsigned>(peers->size())));
  }
}

void FleetService::WriteReply(const FollowState& aState,
                              wire::FollowReply::Builder aOut)
{
  WriteControlInstances(aOut);
  WriteRouteProof(aOut);
  WriteRoutes(aState, aOut);
  aOut.setRecordsStreams(m_streams.HasSeveralVersions(ServedDirectory()));
  const bool isOwner = m_deps.m_owner.Term().has_value();
  aOut.setIsLeader(isOwner);
  const ReplicaAddress* leader = m_deps.m_host.LeaderAddress();
  if (!isOwner && leader != nullptr && !m_deps.m_host.Replica().IsLeader()) {
    auto out = aOut.initLeader();
    out.setInstance(leader->m_instance.Value());
    out.setAddress(leader->m_address);
    out.setPort(leader->m_port);
  }
  const EngineDirectory* directory = ServedDirectory();
  aOut.setHasDirectory(directory != nullptr);
  if (!isOwner && directory == nullptr) {
    return;
  }
  aOut.setEntryCount(EntryCount(m_deps.m_clock.Now()));
  WritePeerSample(aState, aOut);
  if (directory == nullptr) {
    return;
  }
  WriteRelays(aOut);
  WriteSuspectList(aState, aOut);
  const bool isWhole = NeedsWhole(aState);
  const TimePoint now = m_deps.m_clock.Now();
  if (isWhole && !aState.m_isRelay && !m_pacer.MaySend(now)) {
    // The entry keeps what it has and asks again, perhaps a relay.
    aOut.setEpoch(aState.m_epoch);
    aOut.setDirectoryVersion(aState.m_directoryVersion);
    return;
  }
  aOut.setEpoch(ServedEpoch());
  aOut.setDirectoryVersion(directory->Version());
  const TimePoint listReadAt =
    isOwner ? m_deps.m_owner.ListReadAt() : m_relay.ListReadAt();
  aOut.setListAgeMicros((now - listReadAt).count());
  if (isWhole) {
    m_pacer.RecordSent(directory->All().size(), now);
  }
  WriteEngines(directory->UpdateSince(KnownVersion(aState)), aOut);
}

void FleetService::ReportCrashes(
  wire::CrashReport::Reader aReport,
  wire::ControlNode::ReportCrashesResults::Builder aOut)
{
  KJ_REQUIRE(m_deps.m_owner.Term().has_value(),
             "the instance does not own the engines");
  const CrashReport report = ReadCrashReport(aReport, m_deps.m_clock.Now());
  for (const SuspectPart& part : report.m_carried) {
    m_deps.m_owner.RestoreSuspect(part);
  }
  // First, so that a crash does not make parts suspect that are known to be
  // sound.
  for (const auto& [part, soundAt] : report.m_sound) {
    m_deps.m_owner.RecordSound(part, soundAt);
  }
  for (const CrashRecord& record : report.m_crashes) {
    m_deps.m_owner.RecordCrash(record);
  }
  aOut.setEpoch(m_deps.m_owner.Term()->Value());
  aOut.setVersion(m_deps.m_owner.Crashes().Version());
}

bool FleetService::RequestTrial(const PromptPartId& aPart)
{
  KJ_REQUIRE(m_deps.m_owner.Term().has_value(),
             "the instance does not own the engines");
  return m_deps.m_owner.TryStartTrial(aPart);
}

EngineRates::Grant FleetService::TakeRate(const UpstreamId& aEngine,
                                          double aRequestsPerSecond)
{
  KJ_REQUIRE(m_deps.m_owner.Term().has_value(),
             "the instance does not own the engines");
  KJ_REQUIRE(aRequestsPerSecond > 0, "no rate");
  return m_deps.m_owner.TakeRate(aEngine, aRequestsPerSecond);
}

void FleetService::EndRateLimit(const UpstreamId& aEngine)
{
  KJ_REQUIRE(m_deps.m_owner.Term().has_value(),
             "the instance does not own the engines");
  m_deps.m_owner.EndRateLimit(aEngine);
}

void FleetService::TakeQuota(wire::QuotaRequest::Reader aRequest,
                             wire::QuotaReply::Builder aReply)
{
  // Another owner may have been elected without the lease.
  KJ_REQUIRE(m_deps.m_owner.Term().has_value() && m_deps.m_host.HasLease(),
             "the instance does not own the engines");
  m_quotas.Take(aRequest, EntryCount(m_deps.m_clock.Now()), aReply);
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
