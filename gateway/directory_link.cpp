#include "gateway/directory_link.h"

#include <algorithm>
#include <utility>

#include "wire/demand_codec.h"
#include "wire/engine_codec.h"
#include "wire/message_bytes.h"
#include "wire/peer_codec.h"
#include "wire/retry_loop.h"

namespace celeryspread {

namespace {

/// Longer than the long polls of control instances and a round trip between
/// regions, so that only one that does not answer reaches it. After two of them
/// in a row an entry must still hear in time of the engines that leave.
constexpr Duration kFollowTimeout = std::chrono::milliseconds(1400);
/// News of the engines that are older than this are logged.
constexpr Duration kOutdatedAge = std::chrono::seconds(3);
/// Shortest time between log lines about calls that failed, or news that are
/// old.
constexpr Duration kFollowLogPeriod = std::chrono::seconds(1);
constexpr Duration kAdapterTimeout = std::chrono::milliseconds(1500);
/// Delay before the next follow request after a failed one.
constexpr int64_t kRetryDelayMicros = 100'000;
/// A call waits this long for the owner to grant a request.
constexpr Duration kRateTimeout = std::chrono::milliseconds(400);
/// Entries that are assumed to share a rate while their number is not known.
constexpr uint32_t kAssumedEntryCount = 100;
constexpr Duration kReportTimeout = std::chrono::milliseconds(1000);
/// Crashes that a new owner is told of.
constexpr size_t kMaxCrashes = 32;
constexpr Duration kOneMs = std::chrono::milliseconds(1);
/// Logged while no list is known.
constexpr Duration kUnknownAge = -kOneMs;
constexpr Duration kCrashMemory = std::chrono::minutes(1);

} // namespace

DirectoryLink::DirectoryLink(Dependencies aDependencies,
                             const ClusterKey& aKey,
                             NodeSettings aSettings,
                             RouteFollower::Listener aListener)
  : m_deps(aDependencies)
  , m_key(aKey)
  , m_settings(std::move(aSettings))
  , m_routes(
      { aDependencies.m_port,
        aDependencies.m_clock,
        aDependencies.m_log,
        aDependencies.m_access },
      [this] { return UsableLink(); },
      std::move(aListener))
  , m_follow(nullptr)
  , m_report(nullptr)
{
  SetSeeds(m_settings.m_seeds);
  m_follow = RepeatForever(m_deps.m_port,
                           { [this] { return FollowOnce(); },
                             [this](const kj::Exception& aException) {
                               HandleFollowFailure(aException);
                             },
                             Duration(kRetryDelayMicros) })
               .eagerlyEvaluate(nullptr);
  m_report = RepeatForever(m_deps.m_port,
                           { [this] { return ReportOnce(); },
                             [](const kj::Exception&) {},
                             Duration(kRetryDelayMicros) })
               .eagerlyEvaluate(nullptr);
}

DirectoryLink::~DirectoryLink() noexcept = default;

void DirectoryLink::SetSeeds(const std::vector<UpstreamAddress>& aSeeds)
{
  for (const UpstreamAddress& seed : aSeeds) {
    LinkTo(seed.m_address);
  }
}

WireLink& DirectoryLink::LinkTo(const std::string& aAddress)
{
  std::unique_ptr<WireLink>& link = m_links[aAddress];
  if (link == nullptr) {
    link = std::make_unique<WireLink>(
      m_deps.m_port,
      m_key,
      WireEndpoint{ aAddress, m_settings.m_wirePort },
      [this, aAddress](bool aIsUp) {
        m_deps.m_log.Write(aIsUp ? EventId::ControlLinkUp
                                 : EventId::ControlLinkLost,
                           "control=" + aAddress);
        if (aIsUp) {
          m_avoidance.RecordConnected(aAddress);
        }
      });
  }
  return *link;
}

WireLink* DirectoryLink::UsableLink()
{
  const auto current = m_links.find(m_currentAddress);
  if (current != m_links.end() && current->second->IsUp()) {
    return current->second.get();
  }
  SelectNextLink();
  const auto next = m_links.find(m_currentAddress);
  const bool isUsable = next != m_links.end() && next->second->IsUp();
  return isUsable ? next->second.get() : nullptr;
}

void DirectoryLink::SelectNextLink()
{
  auto at = m_links.upper_bound(m_currentAddress);
  for (size_t i = 0; i < m_links.size(); ++i, ++at) {
    if (at == m_links.end()) {
      at = m_links.begin();
    }
    if (at->second->IsUp()) {
      m_currentAddress = at->first;
      return;
    }
  }
}

void DirectoryLink::HandleFollowFailure(const kj::Exception& aException)
{
  LogFollowFailure(aException.getDescription().cStr());
  m_avoidance.RecordFailure(m_currentAddress, m_deps.m_clock.Now());
  SelectNextLink();
}

void DirectoryLink::LogFollowFailure(const std::string& aReason)
{
  ++m_followFailures;
  const TimePoint now = m_deps.m_clock.Now();
  if (now < m_followLogDue) {
    return;
  }
  m_followLogDue = now + kFollowLogPeriod;
  m_deps.m_log.Write(
    EventId::FollowFailed,
    "control=" + m_currentAddress + " list_age_ms=" +
      std::to_string(ListAge().value_or(kUnknownAge) / kOneMs) + " reason=\"" +
      aReason + "\"");
}

std::optional<Duration> DirectoryLink::ListAge() const
{
  return m_listReadAt ? std::optional(m_deps.m_clock.Now() - *m_listReadAt)
                      : std::nullopt;
}

void DirectoryLink::RecordListAge(int64_t aAgeMicros)
{
  if (aAgeMicros < 0) {
    return;
  }
  const TimePoint now = m_deps.m_clock.Now();
  const TimePoint readAt = now - Duration(aAgeMicros);
  const std::optional<Duration> formerAge = ListAge();
  if (formerAge && *formerAge > kOutdatedAge) {
    m_deps.m_log.Write(EventId::DirectoryOutdated,
                       "control=" + m_currentAddress + " list_age_ms=" +
                         std::to_string(*formerAge / kOneMs) + " now_ms=" +
                         std::to_string(Duration(aAgeMicros) / kOneMs));
  }
  m_listReadAt = std::max(m_listReadAt.value_or(readAt), readAt);
}

kj::Promise<void> DirectoryLink::FollowOnce()
{
  WireLink* link = UsableLink();
  if (link == nullptr) {
    return PromiseAfter(m_deps.m_port.Base(), kRetryDelayMicros);
  }
  auto call = link->Node().followRequest();
  auto request = call.initRequest();
  request.setInstance(m_settings.m_instance.Value());
  request.setFailureDomain(m_settings.m_failureDomain.Value());
  m_routes.WriteRequest(request);
  request.setEpoch(m_directoryTerm);
  request.setDirectoryVersion(m_directoryVersion);
  request.setSuspectEpoch(m_deps.m_quarantine.Epoch());
  request.setSuspectVersion(m_deps.m_quarantine.Version());
  const std::vector<UpstreamId> failing = m_deps.m_table.FailingEngines();
  auto failingList =
    request.initFailingEngines(static_cast<unsigned>(failing.size()));
  for (unsigned i = 0; i < failing.size(); ++i) {
    failingList.set(i, failing[i].Value());
  }
  if (m_settings.m_forwardPort != 0 && m_deps.m_takesForwardedCalls()) {
    request.setForwardAddress(m_settings.m_address);
    request.setForwardPort(m_settings.m_forwardPort);
  }
  auto demand = std::make_shared<DemandReport>(TakeDemand());
  WriteDemand(*demand, request);
  const TimePoint sentAt = m_deps.m_clock.Now();
  auto reply = call.send().then([this, demand, sentAt](auto&& aResponse) {
    demand->clear();
    Apply(aResponse.getReply(), sentAt);
  });
  return link->WithTimeout<void>(kj::mv(reply), kFollowTimeout)
    .catch_([this, demand](kj::Exception&& aException) {
      RestoreDemand(*demand);
      kj::throwFatalException(kj::mv(aException));
    });
}

void DirectoryLink::AccumulateWork(Demand& aDemand)
{
  const TimePoint now = m_deps.m_clock.Now();
  aDemand.m_sinceReport.m_work +=
    (now - aDemand.m_accumulatedAt) * aDemand.m_running;
  aDemand.m_accumulatedAt = now;
}

DemandReport DirectoryLink::TakeDemand()
{
  DemandReport taken;
  for (auto& [key, demand] : m_demand) {
    AccumulateWork(demand);
    taken[key] = std::exchange(demand.m_sinceReport, CallDemand());
  }
  std::erase_if(
    m_demand, [](const auto& aEntry) { return aEntry.second.m_running == 0; });
  return taken;
}

void DirectoryLink::RestoreDemand(const DemandReport& aDemand)
{
  for (const auto& [key, demand] : aDemand) {
    m_demand[key].m_sinceReport += demand;
  }
}

void DirectoryLink::RecordRunning(const PoolId& aPool,
                                  const ModelTarget& aTarget,
                                  int aChange)
{
  if (aTarget.m_model.empty()) {
    return;
  }
  Demand& demand = m_demand[{ aPool, aTarget }];
  if (demand.m_running == 0) {
    demand.m_accumulatedAt = m_deps.m_clock.Now();
  }
  AccumulateWork(demand);
  demand.m_running += static_cast<uint32_t>(aChange);
}

void DirectoryLink::AddControlLinks(wire::FollowReply::Reader aReply)
{
  for (const auto control : aReply.getControls()) {
    LinkTo(TextOf(control.getAddress()));
  }
}

void DirectoryLink::Apply(wire::FollowReply::Reader aReply, TimePoint aSentAt)
{
  AddControlLinks(aReply);
  const bool hasRoutes = m_routes.Apply(aReply, m_currentAddress, aSentAt);
  if (!aReply.getIsLeader() && !aReply.getHasDirectory()) {
    FollowOwner(aReply);
    return;
  }
  if (aReply.getHasDirectory()) {
    // The replica of another instance may not know yet of all versions that
    // the engines of this entry have.
    m_recordsStreams = aReply.getRecordsStreams();
  }
  // A leader of an earlier term may not know yet that it was replaced.
  KJ_REQUIRE(!aReply.getHasDirectory() || aReply.getEpoch() >= m_directoryTerm,
             "the leader was replaced");
  m_ownerAddress = aReply.getIsLeader()
                     ? m_currentAddress
                     : TextOf(aReply.getLeader().getAddress());
  if (!m_ownerAddress.empty()) {
    LinkTo(m_ownerAddress);
  }
  m_deps.m_retries.SetEntryCount(aReply.getEntryCount(), m_deps.m_clock.Now());
  if (aReply.getEntryCount() != 0) {
    m_entryCount = aReply.getEntryCount();
  }
  ApplyPeers(aReply);
  ApplySuspects(aReply);
  if (aReply.getHasDirectory()) {
    ApplyEngines(aReply);
    FollowRelay(aReply);
  }
  // The engines of the answer are used all the same: no other instance may be
  // in reach.
  if (!hasRoutes) {
    KJ_REQUIRE(!aReply.getIsLeader(), "the routes are outdated");
    FollowOwner(aReply);
  }
}

void DirectoryLink::ApplyPeers(wire::FollowReply::Reader aReply)
{
  constexpr size_t kMaxPeers = 16;
  if (aReply.getHasPeers()) {
    m_deps.m_peers.Set(ReadPeers(aReply.getPeers(), kMaxPeers));
  }
}

void DirectoryLink::ApplySuspects(wire::FollowReply::Reader aReply)
{
  const TimePoint now = m_deps.m_clock.Now();
  PartQuarantine& quarantine = m_deps.m_quarantine;
  quarantine.RecordContact(now);
  if (!aReply.getHasSuspects()) {
    return;
  }
  const uint64_t formerEpoch = quarantine.Epoch();
  quarantine.Apply(aReply.getSuspectEpoch(),
                   aReply.getSuspectVersion(),
                   ReadSuspects(aReply.getSuspects(), now));
  if (quarantine.Epoch() == formerEpoch) {
    return;
  }
  // The new owner knows nothing of what its predecessor was told.
  m_isCarriedReported = quarantine.Carried().empty();
  while (!m_crashes.empty() && m_crashes.front().m_at + kCrashMemory < now) {
    m_crashes.pop_front();
  }
  m_unreportedCrashes = m_crashes.size();
  SendReports();
}

void DirectoryLink::FollowOwner(wire::FollowReply::Reader aReply)
{
  m_avoidance.RecordFailure(m_currentAddress, m_deps.m_clock.Now());
  const std::string leader = TextOf(aReply.getLeader().getAddress());
  KJ_REQUIRE(!leader.empty() && leader != m_currentAddress,
             "no leader is known there");
  LinkTo(leader);
  m_currentAddress = leader;
  m_ownerAddress = leader;
  // A new link takes a moment to come up; until then the other control
  // instances are tried.
  KJ_REQUIRE(LinkTo(leader).IsUp(), "the leader's link is not up");
}

void DirectoryLink::FollowRelay(wire::FollowReply::Reader aReply)
{
  const TimePoint now = m_deps.m_clock.Now();
  for (const auto relay : aReply.getRelays()) {
    const std::string address = TextOf(relay.getAddress());
    if (TextOf(relay.getFailureDomain()) ==
          m_settings.m_failureDomain.Value() &&
        !m_avoidance.IsAvoided(address, now) && LinkTo(address).IsUp()) {
      m_currentAddress = address;
      return;
    }
  }
}

void DirectoryLink::ApplyEngines(wire::FollowReply::Reader aReply)
{
  RecordListAge(aReply.getListAgeMicros());
  if (aReply.getEpoch() != m_directoryTerm) {
    m_deps.m_table.BeginTerm();
  }
  std::set<UpstreamId> listed;
  for (const auto engine : aReply.getEngines()) {
    EngineRecord record = ReadEngine(engine);
    if (engine.getIsGone()) {
      m_deps.m_table.Remove(record.m_id);
      continue;
    }
    listed.insert(record.m_id);
    m_deps.m_table.Update(record);
  }
  if (aReply.getIsWhole()) {
    m_deps.m_table.KeepOnly(listed);
    m_deps.m_log.Write(EventId::DirectoryFollowed,
                       "leader=" + m_currentAddress +
                         " epoch=" + std::to_string(aReply.getEpoch()) +
                         " engines=" + std::to_string(listed.size()));
  }
  // A relay may lag behind the instance that was followed before it.
  m_directoryVersion =
    aReply.getIsWhole()
      ? aReply.getDirectoryVersion()
      : std::max(m_directoryVersion, aReply.getDirectoryVersion());
  m_directoryTerm = aReply.getEpoch();
  // No term: the whole directory is not sent yet, as others get it first.
  m_hasDirectory = m_directoryTerm != 0;
}

WireLink* DirectoryLink::OwnerLink() const
{
  const auto owner = m_links.find(m_ownerAddress);
  const bool isUsable = owner != m_links.end() && owner->second->IsUp();
  return isUsable ? owner->second.get() : nullptr;
}

std::vector<WireLink*> DirectoryLink::UpLinks() const
{
  std::vector<WireLink*> links;
  const auto add = [&](const std::string& aAddress) {
    const auto link = m_links.find(aAddress);
    const bool isNew =
      link != m_links.end() &&
      std::find(links.begin(), links.end(), link->second.get()) == links.end();
    if (isNew && link->second->IsUp()) {
      links.push_back(link->second.get());
    }
  };
  add(m_currentAddress);
  add(m_ownerAddress);
  for (const auto& [address, link] : m_links) {
    add(address);
  }
  return links;
}

void DirectoryLink::ReportCrash(const CrashRecord& aRecord)
{
  m_crashes.push_back(aRecord);
  ++m_unreportedCrashes;
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.pop_front();
  }
  m_unreportedCrashes = std::min(m_unreportedCrashes, m_crashes.size());
  SendReports();
}

void DirectoryLink::ReportSound(const PromptPartId& aPart, TimePoint aBegunAt)
{
  TimePoint& soundAt = m_unreportedSound.emplace(aPart, aBegunAt).first->second;
  soundAt = std::max(soundAt, aBegunAt);
  SendReports();
}

CrashReport DirectoryLink::PendingReport() const
{
  CrashReport report;
  report.m_crashes.assign(m_crashes.end() -
                            static_cast<std::ptrdiff_t>(m_unreportedCrashes),
                          m_crashes.end());
  report.m_sound = m_unreportedSound;
  if (!m_isCarriedReported) {
    for (const auto& [id, part] : m_deps.m_quarantine.Carried()) {
      report.m_carried.push_back(part);
    }
  }
  return report;
}

bool DirectoryLink::HasReports() const
{
  return m_unreportedCrashes != 0 || !m_unreportedSound.empty() ||
         !m_isCarriedReported;
}

void DirectoryLink::SendReports()
{
  if (HasReports() && m_wakeReports) {
    const auto wake = std::exchange(m_wakeReports, nullptr);
    wake->get()->fulfill();
  }
}

kj::Promise<void> DirectoryLink::WaitForReports()
{
  if (HasReports()) {
    return kj::READY_NOW;
  }
  auto paf = kj::newPromiseAndFulfiller<void>();
  m_wakeReports = std::make_unique<kj::Own<kj::PromiseFulfiller<void>>>(
    kj::mv(paf.fulfiller));
  return kj::mv(paf.promise);
}

kj::Promise<void> DirectoryLink::ReportOnce()
{
  return WaitForReports()
    .then([this] { return SendReportsOnce(); })
    .then([](bool aIsSent) -> kj::Promise<void> {
      if (aIsSent) {
        return kj::READY_NOW;
      }
      return KJ_EXCEPTION(DISCONNECTED, "the owner has no report");
    });
}

kj::Promise<bool> DirectoryLink::SendReportsOnce()
{
  WireLink* link = OwnerLink();
  if (link == nullptr) {
    return false;
  }
  CrashReport report = PendingReport();
  const bool hasCarried = !m_isCarriedReported;
  auto call = link->Node().reportCrashesRequest();
  WriteCrashReport(report, m_deps.m_clock.Now(), call.initReport());
  m_unreportedCrashes = 0;
  m_unreportedSound.clear();
  m_isCarriedReported = true;
  auto reply = call.send().then([this, hasCarried](auto&& aResponse) {
    if (hasCarried) {
      m_deps.m_quarantine.ConfirmCarried(aResponse.getEpoch(),
                                         aResponse.getVersion());
    }
  });
  return link->WithTimeout<void>(kj::mv(reply), kReportTimeout)
    .then([] { return true; },
          [this, report = std::move(report), hasCarried](kj::Exception&&) {
            // A report that arrives twice changes nothing.
            m_unreportedCrashes = std::min(
              m_unreportedCrashes + report.m_crashes.size(), m_crashes.size());
            for (const auto& [part, soundAt] : report.m_sound) {
              m_unreportedSound.emplace(part, soundAt);
            }
            m_isCarriedReported = m_isCarriedReported && !hasCarried;
            return false;
          });
}

void DirectoryLink::RequestTrial(const PromptPartId& aPart,
                                 std::function<void(bool)> aDone)
{
  WireLink* link = OwnerLink();
  if (link == nullptr) {
    aDone(false);
    return;
  }
  auto call = link->Node().requestTrialRequest();
  call.setPart(aPart.Value());
  auto reply = call.send().then(
    [](auto&& aResponse) { return aResponse.getIsPermitted(); });
  link->WithTimeout<bool>(kj::mv(reply), kReportTimeout)
    .then([aDone](bool aIsPermitted) { aDone(aIsPermitted); },
          [aDone](kj::Exception&&) { aDone(false); })
    .detach([](kj::Exception&&) {});
}

EngineRates::Grant DirectoryLink::TakeOwnRate(const UpstreamId& aEngine,
                                              double aRequestsPerSecond)
{
  const uint32_t entries =
    m_entryCount == 0 ? kAssumedEntryCount : m_entryCount;
  return m_ownRates.TryTake(
    aEngine, aRequestsPerSecond / entries, m_deps.m_clock.Now());
}

void DirectoryLink::RequestRate(const UpstreamId& aEngine,
                                double aRequestsPerSecond,
                                RateGranter::Done aDone)
{
  WireLink* link = OwnerLink();
  if (link == nullptr) {
    aDone(TakeOwnRate(aEngine, aRequestsPerSecond));
    return;
  }
  auto call = link->Node().takeRateRequest();
  call.setEngine(aEngine.Value());
  call.setRateLimit(aRequestsPerSecond);
  auto reply = call.send().then([](auto&& aResponse) {
    return EngineRates::Grant{ aResponse.getIsGranted(),
                               Duration(aResponse.getRetryAfterMicros()) };
  });
  link->WithTimeout<EngineRates::Grant>(kj::mv(reply), kRateTimeout)
    .then([aDone](EngineRates::Grant&& aGrant) { aDone(aGrant); },
          [this, aEngine, aRequestsPerSecond, aDone](kj::Exception&&) {
            aDone(TakeOwnRate(aEngine, aRequestsPerSecond));
          })
    .detach([](kj::Exception&&) {});
}

void DirectoryLink::ReportRateLimitEnd(const UpstreamId& aEngine)
{
  m_ownRates.Forget(aEngine);
  WireLink* link = OwnerLink();
  if (link == nullptr) {
    return;
  }
  auto call = link->Node().endRateLimitRequest();
  call.setEngine(aEngine.Value());
  link->WithTimeout<void>(call.send().ignoreResult(), kReportTimeout)
    .detach([](kj::Exception&&) {});
}

void DirectoryLink::RecordDemand(const PoolId& aPool,
                                 const ModelTarget& aTarget,
                                 Duration aPrefill)
{
  if (aTarget.m_model.empty()) {
    return;
  }
  m_demand[{ aPool, aTarget }].m_sinceReport +=
    CallDemand{ 1, Duration::zero(), aPrefill };
}

void DirectoryLink::LoadAdapter(const PoolId& aPool,
                                const ModelTarget& aTarget,
                                const UpstreamId& aPreferred,
                                std::function<void(UpstreamId)> aDone)
{
  const LoadKey key{ { aPool, aTarget }, aPreferred };
  auto& pending = m_pendingLoads[key];
  pending.push_back(std::move(aDone));
  if (pending.size() > 1) {
    return;
  }
  const auto finish = [this, key](const UpstreamId& aEngine) {
    const auto callbacks = std::move(m_pendingLoads[key]);
    m_pendingLoads.erase(key);
    for (const auto& callback : callbacks) {
      callback(aEngine);
    }
  };
  WireLink* link = OwnerLink();
  if (link == nullptr) {
    finish(UpstreamId());
    return;
  }
  auto call = link->Node().loadAdapterRequest();
  auto request = call.initRequest();
  request.setPool(aPool.Value());
  request.setModel(aTarget.m_model);
  request.setAdapter(aTarget.m_adapter);
  request.setFailureDomain(m_settings.m_failureDomain.Value());
  request.setEngine(aPreferred.Value());
  auto reply = call.send().then(
    [](auto&& aResponse) { return UpstreamId(TextOf(aResponse.getEngine())); });
  link->WithTimeout<UpstreamId>(kj::mv(reply), kAdapterTimeout)
    .then([finish](UpstreamId&& aEngine) { finish(aEngine); },
          [finish](kj::Exception&&) { finish(UpstreamId()); })
    .detach([](kj::Exception&&) {});
}

} // namespace celeryspread
