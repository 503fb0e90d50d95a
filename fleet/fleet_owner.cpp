#include "fleet/fleet_owner.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// The list itself lags by most of a second; reading it more often than this
/// brings little.
constexpr Duration kListPeriod = std::chrono::milliseconds(700);
/// Entries of one page of the list, and the share of the calls a second that
/// are meant for all instances.
constexpr double kListPageEntries = 50;
constexpr double kListRateShare = 0.5;
constexpr Duration kPlanPeriod = std::chrono::milliseconds(500);
/// Added to the lease of the owner before, for the time that its last order
/// is on its way.
constexpr Duration kOrderFlight = std::chrono::milliseconds(300);
/// Adapters that are tried to drop for one that is asked for; those in use
/// stay.
constexpr uint32_t kMaxAdapterDrops = 3;

} // namespace

FleetOwner::FleetOwner(Parts aParts,
                       Limits aLimits,
                       std::function<bool()> aHasLease)
  : m_parts(aParts)
  , m_limits(std::move(aLimits))
  , m_hasLease(std::move(aHasLease))
  , m_orders(
      { aParts.m_clock,
        aParts.m_timers,
        aParts.m_control,
        m_directory,
        aParts.m_log },
      m_limits.m_owner,
      [this](const PoolId& aPool) { return SpecOf(aPool); },
      [this](const PoolId& aPool) {
        return m_budgets[aPool].TryTake(m_parts.m_clock.Now());
      },
      m_hasLease)
{
}

FleetOwner::~FleetOwner() = default;

const EngineSpec* FleetOwner::SpecOf(const PoolId& aPool) const
{
  const Pool* pool = m_config == nullptr ? nullptr : m_config->FindPool(aPool);
  const bool isEngines = pool != nullptr && pool->m_engine.has_value();
  return isEngines ? &*pool->m_engine : nullptr;
}

void FleetOwner::Begin(FencingToken aTerm)
{
  const TimePoint now = m_parts.m_clock.Now();
  End();
  m_term = aTerm;
  const Duration wait = m_limits.m_isFenced
                          ? Duration::zero()
                          : m_limits.m_ownerLease + kOrderFlight;
  m_orders.Begin(aTerm, now + wait);
  m_listDue = now;
  m_planDue = now + kPlanPeriod;
  for (auto& [pool, budget] : m_budgets) {
    budget.AssumeHalfSpent(now);
  }
}

void FleetOwner::End()
{
  ++m_generation;
  m_term.reset();
  m_isReadingList = false;
  m_orders.End();
  m_directory.Clear();
  m_demand.Clear();
}

void FleetOwner::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  m_config = std::move(aConfig);
  for (const Pool& pool : m_config->Pools()) {
    if (pool.m_engine) {
      m_budgets[pool.m_id].SetLimits(pool.m_engine->m_storeLoadsPerSecond,
                                     m_limits.m_storeWindow);
    }
  }
}

void FleetOwner::Tick()
{
  if (!m_term) {
    return;
  }
  const TimePoint now = m_parts.m_clock.Now();
  if (now >= m_listDue && !m_isReadingList) {
    ReadList();
  }
  m_orders.Tick();
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
  const double least =
    calls / (kListRateShare * std::max(1.0, m_limits.m_listCallsPerSecond));
  return std::max(kListPeriod,
                  Duration(static_cast<int64_t>(least * kMicrosPerSecond)));
}

void FleetOwner::ReadList()
{
  m_isReadingList = true;
  m_listDue = m_parts.m_clock.Now() + kListPeriod;
  m_parts.m_control.ReadList([this, generation = m_generation](
                               std::optional<std::vector<EngineRecord>> aList) {
    if (generation != m_generation) {
      return;
    }
    m_isReadingList = false;
    if (!aList) {
      m_parts.m_log.Write(EventId::PlatformListLost, "");
      return;
    }
    m_listDue = m_parts.m_clock.Now() + ListPeriod(aList->size());
    const auto news =
      m_directory.ApplyList(std::move(*aList), m_parts.m_clock.Now());
    for (const UpstreamId& id : news.m_appeared) {
      m_orders.Forget(id);
      m_parts.m_log.Write(EventId::EngineSeen, "engine=" + id.Value());
    }
    for (const UpstreamId& id : news.m_gone) {
      m_orders.Forget(id);
      m_parts.m_log.Write(EventId::EngineGone, "engine=" + id.Value());
    }
  });
}

void FleetOwner::NoteDemand(const DemandTracker::Key& aKey,
                            uint32_t aCalls,
                            Duration aWork)
{
  m_demand.Note(aKey, aCalls, aWork);
}

void FleetOwner::Plan(TimePoint aNow)
{
  if (m_config == nullptr || !m_directory.IsKnown() || !m_hasLease()) {
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
    engine.m_isLeaving = record.m_isLeaving;
    engine.m_freeMegabytes = m_orders.FreeMegabytes(record);
    engine.m_copies = record.m_weightCopies;
    // A copy on its way counts, or each plan would order another one.
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
    loads[name] = m_demand.ModelCalls(aPool.m_id, name) /
                  std::max<uint32_t>(1, aPool.m_engine->m_slots);
  }
  PlanLimits limits;
  limits.m_storeLoads = budget.Left(aNow);
  for (const ModelMove& move :
       ModelPlanner::Plan(*aPool.m_engine, engines, loads, limits)) {
    m_parts.m_log.Write(EventId::PlacementPlanned,
                        "engine=" + move.m_engine.Value() +
                          " model=" + move.m_model +
                          " kind=" + (move.m_isLoad ? "load" : "unload") +
                          " store=" + (move.m_isFromStore ? "yes" : "no") +
                          " load=" + std::to_string(loads[move.m_model]));
    m_orders.Submit(move.m_engine,
                    move.m_isLoad ? EngineOrderKind::Load
                                  : EngineOrderKind::Unload,
                    { move.m_model, "" },
                    [](bool) {});
  }
}

const EngineRecord* FleetOwner::FindHolder(const DemandTracker::Key& aKey) const
{
  for (const auto& [id, entry] : m_directory.All()) {
    const EngineRecord& record = entry.m_record;
    if (!entry.m_isGone && !record.m_isLeaving &&
        record.m_pool == aKey.m_pool && record.Holds(aKey.m_target)) {
      return &record;
    }
  }
  return nullptr;
}

const EngineRecord* FleetOwner::ChooseForAdapter(
  const DemandTracker::Key& aKey,
  const FailureDomainId& aDomain,
  const UpstreamId& aNotThis) const
{
  struct Rank
  {
    bool m_isBusy;
    bool m_isFull;
    bool m_isElsewhere;
    size_t m_adapters;
    auto operator<=>(const Rank&) const = default;
  };
  const EngineRecord* best = nullptr;
  Rank bestRank{};
  for (const auto& [id, entry] : m_directory.All()) {
    const EngineRecord& record = entry.m_record;
    const bool isUsable = id != aNotThis && !entry.m_isGone &&
                          !record.m_isLeaving && record.m_pool == aKey.m_pool &&
                          record.m_models.contains(aKey.m_target.m_model);
    if (!isUsable) {
      continue;
    }
    const Rank rank{ !m_orders.IsResponsive(id),
                     !m_orders.HasAdapterPlace(record),
                     record.m_domain != aDomain,
                     m_orders.AdaptersOf(record).size() };
    if (best == nullptr || rank < bestRank) {
      best = &record;
      bestRank = rank;
    }
  }
  return best;
}

std::optional<ModelTarget> FleetOwner::ChooseVictim(
  const DemandTracker::Key& aKey,
  const EngineRecord& aRecord,
  uint32_t aSkip) const
{
  struct Victim
  {
    double m_calls;
    double m_rate;
    ModelTarget m_target;
    auto operator<=>(const Victim&) const = default;
  };
  std::vector<Victim> victims;
  for (const ModelTarget& adapter : m_orders.AdaptersOf(aRecord)) {
    const DemandTracker::Key key{ aKey.m_pool, adapter };
    victims.push_back({ m_demand.Calls(key), m_demand.Rate(key), adapter });
  }
  if (aSkip >= victims.size()) {
    return std::nullopt;
  }
  std::sort(victims.begin(), victims.end());
  return victims[aSkip].m_target;
}

void FleetOwner::LoadInto(const DemandTracker::Key& aKey,
                          const UpstreamId& aEngine,
                          uint32_t aDropsLeft,
                          const std::function<void(bool)>& aDone)
{
  const EngineRecord* record = m_directory.Find(aEngine);
  if (record == nullptr) {
    aDone(false);
    return;
  }
  if (m_orders.HasAdapterPlace(*record)) {
    m_orders.Submit(aEngine, EngineOrderKind::Load, aKey.m_target, aDone);
    return;
  }
  const auto victim =
    aDropsLeft == 0
      ? std::nullopt
      : ChooseVictim(aKey, *record, kMaxAdapterDrops - aDropsLeft);
  if (!victim) {
    aDone(false);
    return;
  }
  m_orders.Submit(aEngine,
                  EngineOrderKind::Unload,
                  *victim,
                  [this, aKey, aEngine, aDropsLeft, aDone](bool /*aIsDone*/) {
                    if (!m_orders.IsResponsive(aEngine)) {
                      aDone(false);
                      return;
                    }
                    LoadInto(aKey, aEngine, aDropsLeft - 1, aDone);
                  });
}

void FleetOwner::LoadElsewhere(const DemandTracker::Key& aKey,
                               const FailureDomainId& aDomain,
                               const UpstreamId& aFailed,
                               const std::function<void(UpstreamId)>& aDone)
{
  const EngineRecord* other = ChooseForAdapter(aKey, aDomain, aFailed);
  if (other == nullptr) {
    aDone(UpstreamId());
    return;
  }
  const UpstreamId id = other->m_id;
  LoadInto(aKey, id, kMaxAdapterDrops, [aDone, id](bool aIsDone) {
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
  load.m_waiting.push_back(std::move(aDone));
  if (load.m_waiting.size() > 1) {
    return;
  }
  const auto finish = [this, loadKey](const UpstreamId& aEngine) {
    const auto found = m_adapterLoads.find(loadKey);
    if (found == m_adapterLoads.end()) {
      return;
    }
    const auto waiting = std::move(found->second.m_waiting);
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
      // The entry asked before it heard of a load that is done.
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
  LoadInto(aKey,
           id,
           kMaxAdapterDrops,
           [this, aKey, aDomain, finish, id](bool aIsDone) {
             if (aIsDone) {
               finish(id);
               return;
             }
             LoadElsewhere(aKey, aDomain, id, finish);
           });
}

} // namespace celeryspread
