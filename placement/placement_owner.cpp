#include "placement/placement_owner.h"

#include <algorithm>

namespace celeryspread {

void PlacementOwner::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  m_catalog = std::move(aCatalog);
  m_goal = std::make_unique<PlacementGoal>(*m_catalog);
  const auto& declared = m_catalog->Tree().m_upstreams;
  std::erase_if(m_engines, [&](const auto& aEntry) {
    return !declared.contains(aEntry.first);
  });
  for (const auto& [id, upstream] : declared) {
    if (upstream.m_kind != UpstreamKind::Engine) {
      continue;
    }
    const auto [entry, isNew] = m_engines.try_emplace(
      id,
      Engine{ upstream,
              MemoryLedger(upstream.m_memory, upstream.m_cacheReserve),
              false });
    if (!isNew) {
      entry->second.m_declaration = upstream;
      entry->second.m_ledger.SetCapacity(upstream.m_memory,
                                         upstream.m_cacheReserve);
    }
  }
  const EffectiveSettings root = m_catalog->SettingsAt({});
  m_budget.SetLimits({ root.Get(SettingKey::WeightLoadsPerSecond),
                       root.Get(SettingKey::MaxWeightLoads),
                       root.Get(SettingKey::MaxAdapterLoads) });
}

void PlacementOwner::AcquireOwnership(FencingToken aToken, TimePoint aNow)
{
  m_isOwner = true;
  m_token = aToken;
  m_lastOrderId = OrderId();
  m_ordersAllowedFrom = aNow + kOrderLifetime;
  for (auto& [id, engine] : m_engines) {
    // The effect of the previous owner's orders is known only from the engine's
    // reports.
    engine.m_ledger = MemoryLedger(engine.m_declaration.m_memory,
                                   engine.m_declaration.m_cacheReserve);
  }
}

void PlacementOwner::LoseOwnership()
{
  m_isOwner = false;
}

void PlacementOwner::ApplyReport(const UpstreamId& aEngine,
                                 const LoadReport& aReport)
{
  const auto found = m_engines.find(aEngine);
  const bool isTooEarly = m_isOwner && aReport.m_takenAt < m_ordersAllowedFrom;
  if (found == m_engines.end() || m_goal == nullptr || isTooEarly) {
    return;
  }
  found->second.m_isLeaving = aReport.m_isLeaving;
  found->second.m_ledger.ApplyReport(aReport, m_goal->Sizes());
}

const MemoryLedger* PlacementOwner::LedgerOf(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() ? nullptr : &found->second.m_ledger;
}

void PlacementOwner::RecordAnswer(const PlacementOrder& aOrder, TimePoint aNow)
{
  const auto engine = m_engines.find(aOrder.m_engine);
  if (engine == m_engines.end() || aOrder.m_token != m_token) {
    return;
  }
  // The answer itself frees no memory. The next report that is requested from
  // now on shows what the order did.
  engine->second.m_ledger.TrustReportsFrom(aOrder.m_name, aNow);
}

size_t PlacementOwner::CountCopies(const std::string& aName,
                                   bool aIncludeLoading) const
{
  size_t copies = 0;
  for (const auto& [id, engine] : m_engines) {
    const auto& contents = engine.m_ledger.Contents();
    const auto found = contents.find(aName);
    const bool isLeaving =
      engine.m_isLeaving || engine.m_declaration.m_isLeaving;
    if (found == contents.end() || isLeaving) {
      continue;
    }
    const ResidencyState state = found->second.m_state;
    copies += state == ResidencyState::Resident ||
                  (aIncludeLoading && state == ResidencyState::Loading)
                ? 1
                : 0;
  }
  return copies;
}

bool PlacementOwner::HasResidentBase(const Engine& aEngine,
                                     const PlacementItem& aItem) const
{
  const auto& contents = aEngine.m_ledger.Contents();
  return std::any_of(aItem.m_baseNames.begin(),
                     aItem.m_baseNames.end(),
                     [&](const std::string& aBaseName) {
                       const auto found = contents.find(aBaseName);
                       return found != contents.end() &&
                              found->second.m_state == ResidencyState::Resident;
                     });
}

size_t PlacementOwner::CopiesInDomain(const PlacementItem& aItem,
                                      const FailureDomainId& aDomain) const
{
  size_t copies = 0;
  for (const auto& [id, engine] : m_engines) {
    copies += engine.m_declaration.m_failureDomain == aDomain &&
                  engine.m_ledger.Contents().contains(aItem.m_name)
                ? 1
                : 0;
  }
  return copies;
}

PlacementOwner::Engine* PlacementOwner::ChooseEngine(const PlacementItem& aItem,
                                                     UpstreamId& aChosen)
{
  Engine* best = nullptr;
  size_t bestInDomain = 0;
  for (auto& [id, engine] : m_engines) {
    const MemoryLedger& ledger = engine.m_ledger;
    const bool isUsable = ledger.HasReport() && !engine.m_isLeaving &&
                          !engine.m_declaration.m_isLeaving &&
                          !ledger.Contents().contains(aItem.m_name) &&
                          ledger.Free() >= aItem.m_bytes;
    if (!isUsable || (aItem.m_isAdapter && !HasResidentBase(engine, aItem))) {
      continue;
    }
    const size_t inDomain =
      CopiesInDomain(aItem, engine.m_declaration.m_failureDomain);
    const bool isBetter =
      best == nullptr || inDomain < bestInDomain ||
      (inDomain == bestInDomain && ledger.Free() > best->m_ledger.Free());
    if (isBetter) {
      best = &engine;
      bestInDomain = inDomain;
      aChosen = id;
    }
  }
  return best;
}

int64_t PlacementOwner::LoadsInFlight(bool aIsAdapter) const
{
  int64_t count = 0;
  for (const auto& [id, engine] : m_engines) {
    for (const auto& [name, residency] : engine.m_ledger.Contents()) {
      const PlacementItem* item = m_goal->Find(name);
      const bool isAdapter = item != nullptr && item->m_isAdapter;
      count +=
        residency.m_state == ResidencyState::Loading && isAdapter == aIsAdapter
          ? 1
          : 0;
    }
  }
  return count;
}

PlacementOrder PlacementOwner::MakeOrder(OrderKind aKind,
                                         const UpstreamId& aEngine,
                                         const std::string& aName,
                                         bool aIsAdapter,
                                         ByteCount aBytes)
{
  m_lastOrderId = m_lastOrderId.Next();
  return { m_lastOrderId, aKind,  aEngine, aName,
           aIsAdapter,    aBytes, m_token, kOrderLifetime };
}

bool PlacementOwner::OrderLoad(const UpstreamId& aEngineId,
                               Engine& aEngine,
                               const PlacementItem& aItem,
                               TimePoint aNow,
                               std::vector<PlacementOrder>& aOrders)
{
  const int64_t inFlight = LoadsInFlight(aItem.m_isAdapter);
  if (!m_budget.TryTake(aItem.m_isAdapter, inFlight, aNow)) {
    return false;
  }
  if (!aEngine.m_ledger.TryReserve(
        aItem.m_name, aItem.m_bytes, aNow + kOrderLifetime)) {
    return false;
  }
  aOrders.push_back(MakeOrder(OrderKind::Load,
                              aEngineId,
                              aItem.m_name,
                              aItem.m_isAdapter,
                              aItem.m_bytes));
  return true;
}

bool PlacementOwner::HasResidentDefaultVersion(const std::string& aName) const
{
  // An undeclared version may be evicted only when its model was removed too,
  // or when the model's default version is resident.
  const ModelId model(aName.substr(0, aName.find_first_of(":@")));
  const auto& models = m_catalog->Tree().m_models;
  const auto declared = models.find(model);
  if (declared == models.end()) {
    return true;
  }
  const Target defaultTarget{ model, {}, declared->second.m_defaultVersion };
  return CountCopies(defaultTarget.EngineName(), false) > 0;
}

bool PlacementOwner::IsEvictable(const Engine& aEngine,
                                 const std::string& aName) const
{
  const auto& contents = aEngine.m_ledger.Contents();
  if (contents.at(aName).m_state != ResidencyState::Resident) {
    return false;
  }
  for (const auto& [other, residency] : contents) {
    // A base model can't be evicted while an adapter on the engine needs it.
    const PlacementItem* item = m_goal->Find(other);
    const bool isOnlyBase =
      item != nullptr && item->m_isAdapter &&
      std::count_if(item->m_baseNames.begin(),
                    item->m_baseNames.end(),
                    [&](const std::string& aBaseName) {
                      return contents.contains(aBaseName);
                    }) <= 1 &&
      std::find(item->m_baseNames.begin(), item->m_baseNames.end(), aName) !=
        item->m_baseNames.end();
    if (isOnlyBase) {
      return false;
    }
  }
  const PlacementItem* item = m_goal->Find(aName);
  if (item == nullptr) {
    return HasResidentDefaultVersion(aName);
  }
  // Copies are evicted only beyond the declared number.
  return CountCopies(aName, false) > item->m_copies;
}

void PlacementOwner::Evict(const UpstreamId& aEngineId,
                           Engine& aEngine,
                           const std::string& aName,
                           TimePoint aNow,
                           std::vector<PlacementOrder>& aOrders)
{
  const PlacementItem* item = m_goal->Find(aName);
  const bool isAdapter =
    item != nullptr ? item->m_isAdapter : aName.find(':') != std::string::npos;
  aEngine.m_ledger.RecordUnload(aName, aNow + kOrderLifetime);
  aOrders.push_back(
    MakeOrder(OrderKind::Unload, aEngineId, aName, isAdapter, ByteCount()));
}

bool PlacementOwner::EvictForRoom(const PlacementItem& aItem,
                                  TimePoint aNow,
                                  std::vector<PlacementOrder>& aOrders)
{
  for (auto& [id, engine] : m_engines) {
    const MemoryLedger& ledger = engine.m_ledger;
    if (!ledger.HasReport() || ledger.Contents().contains(aItem.m_name) ||
        m_nothingToEvict.contains(id)) {
      continue;
    }
    for (const auto& [name, residency] : ledger.Contents()) {
      if (residency.m_state == ResidencyState::Unloading) {
        return true;
      }
      if (IsEvictable(engine, name)) {
        Evict(id, engine, name, aNow, aOrders);
        return true;
      }
    }
    m_nothingToEvict.insert(id);
  }
  return false;
}

void PlacementOwner::PlaceAdapterWithBase(const PlacementItem& aItem,
                                          TimePoint aNow,
                                          std::vector<PlacementOrder>& aOrders)
{
  // Adapters are small, so each is loaded on every engine with its base model.
  for (auto& [id, engine] : m_engines) {
    const bool isWanted = HasResidentBase(engine, aItem) &&
                          !engine.m_isLeaving &&
                          !engine.m_declaration.m_isLeaving &&
                          !engine.m_ledger.Contents().contains(aItem.m_name);
    if (isWanted) {
      OrderLoad(id, engine, aItem, aNow, aOrders);
    }
  }
}

void PlacementOwner::PlaceItem(const PlacementItem& aItem,
                               TimePoint aNow,
                               std::vector<PlacementOrder>& aOrders)
{
  if (aItem.m_isAdapter) {
    PlaceAdapterWithBase(aItem, aNow, aOrders);
  }
  const size_t copies = CountCopies(aItem.m_name, true);
  if (aItem.m_isAdapter ? copies > 0 : copies >= aItem.m_copies) {
    return;
  }
  UpstreamId chosen;
  Engine* engine = ChooseEngine(aItem, chosen);
  if (engine != nullptr) {
    OrderLoad(chosen, *engine, aItem, aNow, aOrders);
    return;
  }
  if (copies == 0 && !EvictForRoom(aItem, aNow, aOrders)) {
    m_problems.push_back(
      { aItem.m_name,
        aItem.m_isAdapter ? "its base model is not resident with room beside it"
                          : "no engine has room and nothing may be evicted" });
  }
}

std::vector<PlacementOrder> PlacementOwner::Decide(TimePoint aNow)
{
  std::vector<PlacementOrder> orders;
  m_problems.clear();
  m_nothingToEvict.clear();
  if (!m_isOwner || m_goal == nullptr || aNow < m_ordersAllowedFrom) {
    return orders;
  }
  for (const PlacementItem& item : m_goal->Items()) {
    PlaceItem(item, aNow, orders);
  }
  return orders;
}

} // namespace celeryspread
