#include "fleet/fleet_owner.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// The list itself lags by most of a second; reading it more often than this
/// brings little.
constexpr Duration kMinListPeriod = std::chrono::milliseconds(700);
/// Engines on one page of the list.
constexpr double kListPageEntries = 50;
/// Share of the platform's request rate for the list that this instance uses;
/// the limit is for all instances together.
constexpr double kListRateShare = 0.5;
constexpr Duration kPlanPeriod = std::chrono::milliseconds(500);
/// Added to the lease of the previous owner, because its last order may still
/// be in transit.
constexpr Duration kMaxOrderTransitTime = std::chrono::milliseconds(300);
/// One balancing copy is planned at a time for this many engines.
constexpr size_t kEnginesPerCopy = 12;
/// One in this many engines may load a standby copy at a time, as an engine
/// that loads from the weight store takes no other order for seconds.
constexpr size_t kEnginesPerStandbyLoad = 3;
/// Part of the weight store's rate that standby copies leave to demand.
constexpr size_t kStoreReserveDivisor = 3;
/// Adapters that are tried for eviction to load one; those in use can't be
/// evicted.
constexpr uint32_t kMaxAdapterEvictions = 3;

/// Entries report the end of an engine within this time, each on its own; one
/// check is enough for all of them.
constexpr Duration kFailedCheckValidity = std::chrono::seconds(1);

/// Entries may name a rate that has ended until they have heard of its end.
constexpr Duration kStaleRateTime = std::chrono::milliseconds(500);

/// Returns whether entries have to know of a new rate; engines may name
/// slightly different ones from answer to answer.
bool IsOtherRate(double aKnown, double aNamed)
{
  constexpr double kTolerance = 0.05;
  return std::abs(aNamed - aKnown) > kTolerance * aKnown;
}

} // namespace

FleetOwner::FleetOwner(Dependencies aDependencies,
                       Options aOptions,
                       ReplicatedState aState)
  : m_deps(aDependencies)
  , m_options(std::move(aOptions))
  , m_hasLease(std::move(aState.m_hasLease))
  , m_versions(std::move(aState.m_isVersionRecorded))
  , m_orders(
      { aDependencies.m_clock,
        aDependencies.m_timers,
        aDependencies.m_control,
        m_directory,
        aDependencies.m_log },
      m_options.m_ownerId,
      [this](const PoolId& aPool) { return SpecOf(aPool); },
      [this](const PoolId& aPool) -> StoreBudget& { return m_budgets[aPool]; },
      m_hasLease)
{
}

FleetOwner::~FleetOwner() = default;

const EngineSpec* FleetOwner::SpecOf(const PoolId& aPool) const
{
  const Pool* pool = m_config == nullptr ? nullptr : m_config->FindPool(aPool);
  const bool hasEngines = pool != nullptr && pool->m_engine.has_value();
  return hasEngines ? &*pool->m_engine : nullptr;
}

void FleetOwner::AcquireOwnership(FencingToken aTerm)
{
  const TimePoint now = m_deps.m_clock.Now();
  LoseOwnership();
  m_term = aTerm;
  const Duration quietTime = m_options.m_enginesCheckFencing
                               ? Duration::zero()
                               : m_options.m_ownerLease + kMaxOrderTransitTime;
  m_orders.AcquireOwnership(aTerm, now + quietTime);
  m_listDue = now;
  m_planDue = now + kPlanPeriod;
  for (auto& [pool, budget] : m_budgets) {
    budget.AssumeHalfSpent(now);
  }
}

void FleetOwner::LoseOwnership()
{
  ++m_generation;
  m_term.reset();
  m_isReadingList = false;
  m_orders.LoseOwnership();
  m_directory.Clear();
  m_versions.Clear();
  m_demand.Clear();
  m_crashes.Clear();
  m_crashChecks.clear();
  m_checkFailedAt.clear();
  m_rates.Clear();
  m_rateEndedAt.clear();
  m_heldParts.clear();
}

void FleetOwner::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  m_config = std::move(aConfig);
  for (const Pool& pool : m_config->Pools()) {
    if (pool.m_engine) {
      m_budgets[pool.m_id].SetLimits(pool.m_engine->m_storeLoadsPerSecond,
                                     m_options.m_storeWindow);
    }
  }
}

void FleetOwner::Tick()
{
  if (!m_term) {
    return;
  }
  const TimePoint now = m_deps.m_clock.Now();
  if (m_versions.TakeAdmitted()) {
    m_listDue = now;
  }
  if (now >= m_listDue && !m_isReadingList) {
    ReadList();
  }
  m_orders.Tick();
  m_crashes.Tick(now);
  LogHeldParts();
  if (now >= m_planDue) {
    m_planDue = now + kPlanPeriod;
    m_demand.Tick(now);
    Plan(now);
  }
}

Duration FleetOwner::ListPeriod(size_t aEngines) const
{
  constexpr double kMicrosPerSecond = 1e6;
  const double calls = 1 + static_cast<double>(aEngines) / kListPageEntries;
  const double minSeconds =
    calls /
    (kListRateShare * std::max(1.0, m_options.m_engineListCallsPerSecond));
  return std::max(
    kMinListPeriod,
    Duration(static_cast<int64_t>(minSeconds * kMicrosPerSecond)));
}

void FleetOwner::ReadList()
{
  m_isReadingList = true;
  m_listDue = m_deps.m_clock.Now() + kMinListPeriod;
  m_deps.m_control.ReadList(
    [this, generation = m_generation, begunAt = m_deps.m_clock.Now()](
      std::optional<std::vector<EngineRecord>> aList) {
      if (generation != m_generation) {
        return;
      }
      m_isReadingList = false;
      if (!aList) {
        m_deps.m_log.Write(EventId::PlatformListLost, "");
        return;
      }
      m_listReadAt = begunAt;
      m_listDue = m_deps.m_clock.Now() + ListPeriod(aList->size());
      m_versions.Filter(*aList);
      const auto changes =
        m_directory.ApplyList(std::move(*aList), m_deps.m_clock.Now());
      for (const UpstreamId& id : changes.m_appeared) {
        m_orders.Forget(id);
        m_deps.m_log.Write(EventId::EngineSeen, "engine=" + id.Value());
      }
      for (const UpstreamId& id : changes.m_gone) {
        m_orders.Forget(id);
        m_rates.Forget(id);
        m_rateEndedAt.erase(id);
        m_checkFailedAt.erase(id);
        m_deps.m_log.Write(EventId::EngineGone, "engine=" + id.Value());
      }
    });
}

void FleetOwner::RecordDemand(const DemandTracker::Key& aKey,
                              const CallDemand& aDemand)
{
  m_demand.Record(aKey, aDemand);
}

void FleetOwner::CheckEngine(const UpstreamId& aEngine)
{
  if (m_term && m_directory.Find(aEngine) != nullptr) {
    m_orders.CheckReachable(aEngine);
  }
}

void FleetOwner::RecordCrash(const CrashRecord& aRecord)
{
  if (!m_term) {
    return;
  }
  const TimePoint now = m_deps.m_clock.Now();
  const UpstreamId engine = aRecord.m_engine;
  m_crashes.RecordCrash(aRecord, now);
  if (!aRecord.HasPromptParts()) {
    // A request is held back only after several crashes without a sound answer
    // in between, which lost connections don't look like. Upstreams without
    // models could not be asked.
    return;
  }
  const EngineRecord* record = m_directory.Find(engine);
  const auto failed = m_checkFailedAt.find(engine);
  const bool isKnownDead = failed != m_checkFailedAt.end() &&
                           now < failed->second + kFailedCheckValidity;
  if (record == nullptr || isKnownDead ||
      !m_crashChecks.insert(engine).second) {
    return;
  }
  // The entry may have lost its connections only.
  m_deps.m_control.ReadReport(
    *record,
    [this, engine, now, generation = m_generation](
      const std::optional<EngineReport>& aReport) {
      if (generation != m_generation) {
        return;
      }
      m_crashChecks.erase(engine);
      if (aReport) {
        m_crashes.RecordAlive(engine, now, m_deps.m_clock.Now());
      } else {
        m_checkFailedAt[engine] = m_deps.m_clock.Now();
        CheckEngine(engine);
      }
    });
}

void FleetOwner::RecordSound(const PromptPartId& aPart, TimePoint aBegunAt)
{
  m_crashes.RecordSound(aPart, aBegunAt, m_deps.m_clock.Now());
}

void FleetOwner::RestoreSuspect(const SuspectPart& aPart)
{
  m_crashes.Restore(aPart, m_deps.m_clock.Now());
}

bool FleetOwner::TryStartTrial(const PromptPartId& aPart)
{
  const bool isPermitted = m_crashes.TryStartTrial(aPart, m_deps.m_clock.Now());
  if (isPermitted) {
    m_deps.m_log.Write(EventId::PartTrial, "part=" + aPart.Value());
  }
  return isPermitted;
}

EngineRates::Grant FleetOwner::TakeRate(const UpstreamId& aEngine,
                                        double aRequestsPerSecond)
{
  const TimePoint now = m_deps.m_clock.Now();
  const auto ended = m_rateEndedAt.find(aEngine);
  if (ended != m_rateEndedAt.end() && now < ended->second + kStaleRateTime) {
    return { true, Duration::zero() };
  }
  const EngineRecord* record = m_directory.Find(aEngine);
  if (record != nullptr &&
      IsOtherRate(record->m_rateLimit, aRequestsPerSecond)) {
    m_directory.RecordRateLimit(aEngine, aRequestsPerSecond);
    m_deps.m_log.Write(EventId::EngineLimited,
                       "engine=" + aEngine.Value() + " requests_per_second=" +
                         std::to_string(aRequestsPerSecond));
  }
  return m_rates.TryTake(aEngine, aRequestsPerSecond, now);
}

void FleetOwner::EndRateLimit(const UpstreamId& aEngine)
{
  const EngineRecord* record = m_directory.Find(aEngine);
  if (record == nullptr || record->m_rateLimit == 0) {
    return;
  }
  m_directory.RecordRateLimit(aEngine, 0);
  m_rates.Forget(aEngine);
  m_rateEndedAt[aEngine] = m_deps.m_clock.Now();
  m_deps.m_log.Write(EventId::EngineLimited,
                     "engine=" + aEngine.Value() + " requests_per_second=none");
}

void FleetOwner::LogHeldParts()
{
  for (const auto& [id, part] : m_crashes.Suspects()) {
    if (part.m_isHeld && m_heldParts.insert(id).second) {
      m_deps.m_log.Write(EventId::PartHeld,
                         "part=" + id.Value() +
                           " crashes=" + std::to_string(part.m_crashes));
    }
  }
  std::erase_if(m_heldParts, [&](const PromptPartId& aPart) {
    const auto found = m_crashes.Suspects().find(aPart);
    const bool isHeld =
      found != m_crashes.Suspects().end() && found->second.m_isHeld;
    if (!isHeld) {
      m_deps.m_log.Write(EventId::PartReleased, "part=" + aPart.Value());
    }
    return !isHeld;
  });
}

void FleetOwner::Plan(TimePoint aNow)
{
  if (m_config == nullptr || !m_directory.HasList() || !m_hasLease()) {
    return;
  }
  for (const Pool& pool : m_config->Pools()) {
    if (pool.m_engine) {
      PlanPool(pool, aNow);
    }
  }
}

void FleetOwner::PlanPool(const Pool& aPool, TimePoint aNow)
{
  StoreBudget& budget = m_budgets[aPool.m_id];
  std::vector<PlannedEngine> engines;
  for (const auto& [id, entry] : m_directory.All()) {
    const EngineRecord& record = entry.m_record;
    if (entry.m_isGone || record.m_pool != aPool.m_id) {
      continue;
    }
    PlannedEngine engine;
    engine.m_id = id;
    engine.m_domain = record.m_domain;
    engine.m_isBusy = !m_orders.IsResponsive(id);
    engine.m_isUnavailable = record.m_isLeaving || !m_orders.IsReachable(id);
    engine.m_freeMegabytes = m_orders.FreeMegabytes(record);
    engine.m_cachedWeights = record.m_cachedWeights;
    // A copy that is being loaded counts, or each plan would order another one.
    for (const std::string& name : m_orders.ModelsAfterOrders(record)) {
      engine.m_models.push_back(name);
      if (record.m_models.contains(name)) {
        engine.m_served.insert(name);
      }
    }
    engines.push_back(std::move(engine));
  }
  std::map<std::string, double> loads;
  for (const auto& [name, spec] : aPool.m_engine->m_models) {
    loads[name] = m_demand.EngineLoad(
      aPool.m_id, name, std::max<uint32_t>(1, aPool.m_engine->m_slots));
  }
  SetUnusableLoads(aPool, loads, engines);
  PlanLimits limits;
  limits.m_storeLoads = budget.RemainingLoads(aNow);
  limits.m_balancingCopies =
    std::max(limits.m_balancingCopies, engines.size() / kEnginesPerCopy);
  limits.m_standbyLoads = StandbyLoads(engines, budget, aNow);
  for (const PlannedOrder& order :
       ModelPlanner::Plan(*aPool.m_engine, engines, loads, limits)) {
    m_deps.m_log.Write(EventId::PlacementPlanned,
                       "engine=" + order.m_engine.Value() +
                         " model=" + order.m_model +
                         " kind=" + (order.m_isLoad ? "load" : "unload") +
                         " store=" + (order.m_isFromStore ? "yes" : "no") +
                         " load=" + std::to_string(loads[order.m_model]));
    m_orders.Submit(order.m_engine,
                    order.m_isLoad ? EngineOrderKind::Load
                                   : EngineOrderKind::Unload,
                    { order.m_model, "" },
                    [](bool) {});
  }
}

void FleetOwner::SetUnusableLoads(const Pool& aPool,
                                  const std::map<std::string, double>& aLoads,
                                  std::vector<PlannedEngine>& aEngines) const
{
  double load = 0;
  for (const auto& [name, modelLoad] : aLoads) {
    load += modelLoad;
  }
  const double callsPerSecond = m_demand.TotalCallRate(aPool.m_id);
  if (callsPerSecond <= 0) {
    return;
  }
  for (PlannedEngine& engine : aEngines) {
    const EngineRecord* record = m_directory.Find(engine.m_id);
    if (record != nullptr && record->m_rateLimit > 0) {
      // A call takes this much of an engine on average.
      const double usable = record->m_rateLimit * load / callsPerSecond;
      engine.m_unusableLoad = std::max(0.0, 1 - usable);
    }
  }
}

size_t FleetOwner::StandbyLoads(const std::vector<PlannedEngine>& aEngines,
                                StoreBudget& aBudget,
                                TimePoint aNow)
{
  const size_t reserve = aBudget.Capacity() / kStoreReserveDivisor;
  const size_t remaining = aBudget.RemainingLoads(aNow);
  const size_t changing = static_cast<size_t>(std::count_if(
    aEngines.begin(), aEngines.end(), [](const PlannedEngine& aEngine) {
      return aEngine.m_isBusy;
    }));
  const size_t maxChanging = aEngines.size() / kEnginesPerStandbyLoad;
  if (remaining <= reserve || changing >= maxChanging) {
    return 0;
  }
  return std::min(remaining - reserve, maxChanging - changing);
}

const EngineRecord* FleetOwner::FindHolder(const DemandTracker::Key& aKey) const
{
  const EngineRecord* holder = nullptr;
  for (const auto& [id, entry] : m_directory.All()) {
    const EngineRecord& record = entry.m_record;
    const bool isHolder = !entry.m_isGone && !record.m_isLeaving &&
                          record.m_pool == aKey.m_pool &&
                          record.Holds(aKey.m_target);
    const bool isBetter =
      holder == nullptr || record.m_rateLimit < holder->m_rateLimit;
    // No limit is 0, which comes first; between limits either will do.
    if (isHolder && isBetter) {
      holder = &record;
    }
  }
  return holder;
}

const EngineRecord* FleetOwner::ChooseForAdapter(
  const DemandTracker::Key& aKey,
  const FailureDomainId& aDomain,
  const UpstreamId& aExcluded) const
{
  struct Rank
  {
    bool m_isBusy;
    bool m_isLimited;
    bool m_isFull;
    bool m_isInOtherDomain;
    size_t m_adapters;
    auto operator<=>(const Rank&) const = default;
  };
  const EngineRecord* best = nullptr;
  Rank bestRank{};
  for (const auto& [id, entry] : m_directory.All()) {
    const EngineRecord& record = entry.m_record;
    const bool isUsable = id != aExcluded && !entry.m_isGone &&
                          !record.m_isLeaving && record.m_pool == aKey.m_pool &&
                          record.m_models.contains(aKey.m_target.m_model);
    if (!isUsable) {
      continue;
    }
    const Rank rank{ !m_orders.IsResponsive(id),
                     record.m_rateLimit > 0,
                     !m_orders.HasFreeAdapterSlot(record),
                     record.m_domain != aDomain,
                     m_orders.AdaptersAfterUnloads(record).size() };
    if (best == nullptr || rank < bestRank) {
      best = &record;
      bestRank = rank;
    }
  }
  return best;
}

std::optional<ModelTarget> FleetOwner::ChooseEvictionCandidate(
  const DemandTracker::Key& aKey,
  const EngineRecord& aRecord,
  uint32_t aSkipped) const
{
  struct Candidate
  {
    double m_calls;
    double m_rate;
    ModelTarget m_target;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const ModelTarget& adapter : m_orders.AdaptersAfterUnloads(aRecord)) {
    const DemandTracker::Key key{ aKey.m_pool, adapter };
    candidates.push_back(
      { m_demand.CallsInProgress(key), m_demand.CallRate(key), adapter });
  }
  if (aSkipped >= candidates.size()) {
    return std::nullopt;
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates[aSkipped].m_target;
}

void FleetOwner::LoadOnEngine(const DemandTracker::Key& aKey,
                              const UpstreamId& aEngine,
                              uint32_t aEvictionsLeft,
                              const std::function<void(bool)>& aDone)
{
  const EngineRecord* record = m_directory.Find(aEngine);
  if (record == nullptr) {
    aDone(false);
    return;
  }
  if (m_orders.HasFreeAdapterSlot(*record)) {
    m_orders.Submit(aEngine, EngineOrderKind::Load, aKey.m_target, aDone);
    return;
  }
  const auto candidate =
    aEvictionsLeft == 0
      ? std::nullopt
      : ChooseEvictionCandidate(
          aKey, *record, kMaxAdapterEvictions - aEvictionsLeft);
  if (!candidate) {
    aDone(false);
    return;
  }
  m_orders.Submit(
    aEngine,
    EngineOrderKind::Unload,
    *candidate,
    [this, aKey, aEngine, aEvictionsLeft, aDone](bool /*aIsDone*/) {
      if (!m_orders.IsResponsive(aEngine)) {
        aDone(false);
        return;
      }
      LoadOnEngine(aKey, aEngine, aEvictionsLeft - 1, aDone);
    });
}

void FleetOwner::LoadOnAnotherEngine(
  const DemandTracker::Key& aKey,
  const FailureDomainId& aDomain,
  const UpstreamId& aFailedEngine,
  const std::function<void(UpstreamId)>& aDone)
{
  const EngineRecord* other = ChooseForAdapter(aKey, aDomain, aFailedEngine);
  if (other == nullptr) {
    aDone(UpstreamId());
    return;
  }
  const UpstreamId id = other->m_id;
  LoadOnEngine(aKey, id, kMaxAdapterEvictions, [aDone, id](bool aIsDone) {
    aDone(aIsDone ? id : UpstreamId());
  });
}

void FleetOwner::LoadAdapter(const DemandTracker::Key& aKey,
                             const FailureDomainId& aDomain,
                             const UpstreamId& aPreferred,
                             std::function<void(UpstreamId)> aDone)
{
  if (!m_term) {
    aDone(UpstreamId());
    return;
  }
  const AdapterLoadKey loadKey{ aKey, aPreferred };
  AdapterLoad& load = m_adapterLoads[loadKey];
  load.m_callbacks.push_back(std::move(aDone));
  if (load.m_callbacks.size() > 1) {
    return;
  }
  const auto finish = [this, loadKey](const UpstreamId& aEngine) {
    const auto found = m_adapterLoads.find(loadKey);
    if (found == m_adapterLoads.end()) {
      return;
    }
    const auto waiting = std::move(found->second.m_callbacks);
    m_adapterLoads.erase(found);
    for (const auto& done : waiting) {
      done(aEngine);
    }
  };
  const EngineRecord* engine = m_directory.Find(aPreferred);
  const bool isPreferredUsable =
    engine != nullptr && !engine->m_isLeaving &&
    engine->m_models.contains(aKey.m_target.m_model) &&
    m_orders.IsResponsive(aPreferred);
  if (!isPreferredUsable) {
    if (const EngineRecord* holder = FindHolder(aKey)) {
      // The adapter is loaded already. The entry may not have known this when
      // it sent its request.
      finish(holder->m_id);
      return;
    }
    engine = ChooseForAdapter(aKey, aDomain, UpstreamId());
  }
  if (engine == nullptr) {
    finish(UpstreamId());
    return;
  }
  const UpstreamId id = engine->m_id;
  if (engine->Holds(aKey.m_target)) {
    finish(id);
    return;
  }
  LoadOnEngine(aKey,
               id,
               kMaxAdapterEvictions,
               [this, aKey, aDomain, finish, id](bool aIsDone) {
                 if (aIsDone) {
                   finish(id);
                   return;
                 }
                 LoadOnAnotherEngine(aKey, aDomain, id, finish);
               });
}

} // namespace celeryspread
