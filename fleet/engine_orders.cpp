#include "fleet/engine_orders.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Adapters load in 5 to 7.2 ms on the engines of today.
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(9);
/// Reports are a few hundred milliseconds old; one asked for sooner after an
/// order would not know of it.
constexpr Duration kReportLag = std::chrono::milliseconds(450);
constexpr Duration kReadRetry = std::chrono::milliseconds(700);
/// A model change is looked after this often.
constexpr Duration kChangePeriod = std::chrono::milliseconds(500);
/// An unload waits for its runs; the longest stream ends within this.
constexpr Duration kChangeLimit = std::chrono::seconds(25);
/// An engine that left an order unanswered, or carries one out that waits for
/// calls, is not asked for adapters so long, when others can be.
constexpr Duration kSilence = std::chrono::seconds(3);
/// Time until every entry knows that a model is about to go: a tick of the
/// directory and the way to another region.
constexpr Duration kAnnouncement = std::chrono::milliseconds(200);
constexpr uint32_t kMaxTries = 4;
/// A client that waits for an adapter longer is late; another engine may have
/// it sooner.
constexpr Duration kAdapterQueueLimit = std::chrono::milliseconds(500);
/// A load that waits for an unload waits for the runs of the model that goes.
constexpr Duration kModelQueueLimit = std::chrono::seconds(20);

} // namespace

EngineOrders::EngineOrders(Parts aParts,
                           InstanceId aOwner,
                           SpecFinder aSpecs,
                           StoreTaker aTakeStoreLoad,
                           std::function<bool()> aMayOrder)
  : m_parts(aParts)
  , m_owner(std::move(aOwner))
  , m_specs(std::move(aSpecs))
  , m_takeStoreLoad(std::move(aTakeStoreLoad))
  , m_mayOrder(std::move(aMayOrder))
{
}

EngineOrders::~EngineOrders()
{
  ++*m_generation;
}

void EngineOrders::Begin(FencingToken aToken, TimePoint aQuietUntil)
{
  End();
  m_token = aToken;
  m_quietUntil = aQuietUntil;
  m_isOwner = true;
}

void EngineOrders::FailAll(Engine& aEngine)
{
  std::vector<Item> items;
  std::move(
    aEngine.m_queue.begin(), aEngine.m_queue.end(), std::back_inserter(items));
  aEngine.m_queue.clear();
  if (aEngine.m_sent) {
    items.push_back(std::move(*aEngine.m_sent));
    aEngine.m_sent.reset();
  }
  if (aEngine.m_change) {
    items.push_back(std::move(aEngine.m_change->m_item));
    aEngine.m_change.reset();
  }
  for (const Item& item : items) {
    item.m_done(false);
  }
}

void EngineOrders::End()
{
  m_isOwner = false;
  ++*m_generation;
  auto engines = std::move(m_engines);
  m_engines.clear();
  for (auto& [id, engine] : engines) {
    FailAll(engine);
  }
}

void EngineOrders::Forget(const UpstreamId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  Engine engine = std::move(found->second);
  m_engines.erase(found);
  FailAll(engine);
}

void EngineOrders::Submit(const UpstreamId& aEngine,
                          EngineOrderKind aKind,
                          const ModelTarget& aTarget,
                          Done aDone)
{
  if (!m_isOwner) {
    aDone(false);
    return;
  }
  m_engines[aEngine].m_queue.push_back(
    { aKind, aTarget, std::move(aDone), 0, m_parts.m_clock.Now() });
  Pump(aEngine);
}

std::string EngineOrders::ChangingModel(const Engine& aEngine)
{
  return aEngine.m_change ? aEngine.m_change->m_item.m_target.m_model : "";
}

EngineContents EngineOrders::ContentsOf(const EngineRecord& aRecord) const
{
  const auto found = m_engines.find(aRecord.m_id);
  const bool isRead =
    found != m_engines.end() && found->second.m_sequence.has_value();
  return isRead ? found->second.m_contents : EngineContents(aRecord.m_models);
}

bool EngineOrders::HasRoom(const EngineRecord& aRecord,
                           const Engine& aEngine,
                           const Item& aItem) const
{
  if (aItem.m_kind == EngineOrderKind::Unload) {
    return true;
  }
  const EngineSpec* spec = m_specs(aRecord.m_pool);
  return spec != nullptr &&
         aEngine.m_contents.Fits(*spec, aItem.m_target, ChangingModel(aEngine));
}

bool EngineOrders::IsToBeAnnounced(const EngineRecord& aRecord,
                                   const Item& aItem)
{
  return aItem.m_kind == EngineOrderKind::Unload &&
         aItem.m_target.m_adapter.empty() && aRecord.Holds(aItem.m_target);
}

bool EngineOrders::MayLoadWeights(const EngineRecord& aRecord,
                                  const Item& aItem) const
{
  const bool isFromStore =
    aItem.m_kind == EngineOrderKind::Load && aItem.m_target.m_adapter.empty() &&
    !aRecord.m_weightCopies.contains(aItem.m_target.m_model);
  return !isFromStore || m_takeStoreLoad(aRecord.m_pool);
}

bool EngineOrders::HasAdapterPlace(const EngineRecord& aRecord) const
{
  const EngineSpec* spec = m_specs(aRecord.m_pool);
  if (spec == nullptr) {
    return false;
  }
  size_t queued = 0;
  const auto found = m_engines.find(aRecord.m_id);
  if (found != m_engines.end()) {
    for (const Item& item : found->second.m_queue) {
      queued += item.m_kind == EngineOrderKind::Load ? 1 : 0;
    }
    const auto& sent = found->second.m_sent;
    queued += sent && sent->m_kind == EngineOrderKind::Load ? 1 : 0;
    queued += found->second.m_contents.LoadingCount();
  }
  return AdaptersOf(aRecord).size() + queued < spec->m_adapterPlaces;
}

bool EngineOrders::IsChanging(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return false;
  }
  const Engine& engine = found->second;
  const auto isOfModel = [](const Item& aItem) {
    return aItem.m_target.m_adapter.empty();
  };
  return engine.m_change || (engine.m_sent && isOfModel(*engine.m_sent)) ||
         std::any_of(engine.m_queue.begin(), engine.m_queue.end(), isOfModel);
}

bool EngineOrders::IsResponsive(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() ||
         (!IsChanging(aEngine) &&
          m_parts.m_clock.Now() >= found->second.m_silentUntil);
}

std::set<ModelTarget> EngineOrders::AdaptersOf(
  const EngineRecord& aRecord) const
{
  std::set<ModelTarget> adapters = ContentsOf(aRecord).Adapters();
  const auto found = m_engines.find(aRecord.m_id);
  if (found != m_engines.end()) {
    const auto drop = [&](const Item& aItem) {
      if (aItem.m_kind == EngineOrderKind::Unload) {
        adapters.erase(aItem.m_target);
      }
    };
    std::for_each(
      found->second.m_queue.begin(), found->second.m_queue.end(), drop);
    if (found->second.m_sent) {
      drop(*found->second.m_sent);
    }
  }
  return adapters;
}

std::set<std::string> EngineOrders::ModelsAfterOrders(
  const EngineRecord& aRecord) const
{
  std::set<std::string> models;
  for (const auto& [name, held] : aRecord.m_models) {
    models.insert(name);
  }
  const auto found = m_engines.find(aRecord.m_id);
  if (found == m_engines.end()) {
    return models;
  }
  const auto apply = [&](const Item& aItem) {
    if (!aItem.m_target.m_adapter.empty()) {
      return;
    }
    if (aItem.m_kind == EngineOrderKind::Load) {
      models.insert(aItem.m_target.m_model);
    } else {
      models.erase(aItem.m_target.m_model);
    }
  };
  const Engine& engine = found->second;
  if (engine.m_change) {
    apply(engine.m_change->m_item);
  }
  if (engine.m_sent) {
    apply(*engine.m_sent);
  }
  std::for_each(engine.m_queue.begin(), engine.m_queue.end(), apply);
  return models;
}

int64_t EngineOrders::FreeMegabytes(const EngineRecord& aRecord) const
{
  const EngineSpec* spec = m_specs(aRecord.m_pool);
  if (spec == nullptr) {
    return 0;
  }
  const auto found = m_engines.find(aRecord.m_id);
  const std::string changing =
    found == m_engines.end() ? "" : ChangingModel(found->second);
  return static_cast<int64_t>(spec->m_weightMegabytes) -
         static_cast<int64_t>(ContentsOf(aRecord).Megabytes(*spec, changing));
}

void EngineOrders::Tick()
{
  if (!m_isOwner) {
    return;
  }
  std::vector<UpstreamId> ids;
  for (const auto& [id, engine] : m_engines) {
    ids.push_back(id);
  }
  for (const UpstreamId& id : ids) {
    const auto found = m_engines.find(id);
    if (found != m_engines.end() && found->second.m_change) {
      CheckChange(id, found->second);
    }
    Pump(id);
  }
}

void EngineOrders::Pump(const UpstreamId& aId)
{
  const TimePoint now = m_parts.m_clock.Now();
  const auto found = m_engines.find(aId);
  if (found == m_engines.end() || !m_isOwner) {
    return;
  }
  Engine& engine = found->second;
  const auto hasExpired = [&](const Item& aItem) {
    const bool isAdapter = !aItem.m_target.m_adapter.empty();
    return now - aItem.m_queuedAt >
           (isAdapter ? kAdapterQueueLimit : kModelQueueLimit);
  };
  if (!engine.m_queue.empty() && hasExpired(engine.m_queue.front())) {
    const Item expired = std::move(engine.m_queue.front());
    engine.m_queue.pop_front();
    m_parts.m_log.Write(EventId::PlacementRefused,
                        Describe(aId, expired) +
                          " reason=\"waited too long for the engine\"");
    // It may queue another order or end with the engine forgotten.
    expired.m_done(false);
    Pump(aId);
    return;
  }
  const bool mayOrder =
    now >= m_quietUntil && now >= engine.m_announcedUntil && m_mayOrder();
  if (!mayOrder || engine.m_queue.empty() || engine.m_sent || engine.m_change) {
    return;
  }
  const EngineRecord* record = m_parts.m_directory.Find(aId);
  if (record == nullptr) {
    Forget(aId);
    return;
  }
  if (!engine.m_sequence) {
    Read(aId);
    return;
  }
  Item item = std::move(engine.m_queue.front());
  engine.m_queue.pop_front();
  const bool isLoad = item.m_kind == EngineOrderKind::Load;
  if (engine.m_contents.Has(item.m_target) == isLoad) {
    // Another order brought it about since this one was queued. The engine
    // would not count it, and the sequence known here would be wrong.
    item.m_done(true);
    Pump(aId);
    return;
  }
  const bool hasRoom = HasRoom(*record, engine, item);
  if (!hasRoom || !MayLoadWeights(*record, item)) {
    m_parts.m_log.Write(
      EventId::PlacementRefused,
      Describe(aId, item) + " reason=\"" +
        (hasRoom ? "the weight store's rate is used up" : "no room") + "\"");
    item.m_done(false);
    Pump(aId);
    return;
  }
  if (IsToBeAnnounced(*record, item)) {
    // Entries stop sending first; what came later would be turned away.
    m_parts.m_directory.NoteHeld(aId, item.m_target, false, now);
    engine.m_announcedUntil = now + kAnnouncement;
    engine.m_queue.push_front(std::move(item));
    return;
  }
  const EngineOrder order{
    item.m_kind, item.m_target, m_owner, m_token, *engine.m_sequence
  };
  m_parts.m_log.Write(EventId::OrderSent,
                      Describe(aId, item) +
                        " sequence=" + std::to_string(*engine.m_sequence) +
                        " token=" + std::to_string(m_token.Value()));
  engine.m_sent = std::move(item);
  m_parts.m_control.SendOrder(
    *record,
    order,
    [this, aId, generation = m_generation, at = *m_generation](
      OrderReply aReply) {
      if (*generation == at) {
        HandleReply(aId, aReply);
      }
    });
}

void EngineOrders::Read(const UpstreamId& aId)
{
  Engine& engine = m_engines[aId];
  const TimePoint now = m_parts.m_clock.Now();
  const EngineRecord* record = m_parts.m_directory.Find(aId);
  if (engine.m_isReading || now < engine.m_readAt || record == nullptr) {
    return;
  }
  engine.m_isReading = true;
  m_parts.m_control.ReadReport(
    *record,
    [this, aId, generation = m_generation, at = *m_generation](
      const std::optional<EngineReport>& aReport) {
      if (*generation == at) {
        HandleReport(aId, aReport);
      }
    });
}

void EngineOrders::HandleReport(const UpstreamId& aId,
                                const std::optional<EngineReport>& aReport)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  const TimePoint now = m_parts.m_clock.Now();
  engine.m_isReading = false;
  engine.m_readAt = now + kReadRetry;
  if (!aReport || engine.m_sent) {
    return;
  }
  engine.m_sequence = aReport->m_sequence;
  engine.m_contents =
    EngineContents(aReport->m_models, aReport->m_loadingAdapters);
  m_parts.m_directory.ApplyModels(aId, aReport->m_models, now);
  if (engine.m_change) {
    const Item& item = engine.m_change->m_item;
    const bool isHeld = engine.m_contents.Has(item.m_target);
    const bool isWanted = item.m_kind == EngineOrderKind::Load;
    if (isHeld == isWanted && !aReport->m_isBusy) {
      Item done = std::move(engine.m_change->m_item);
      engine.m_change.reset();
      m_parts.m_directory.NoteHeld(aId, done.m_target, isHeld, now);
      done.m_done(true);
    }
  } else if (aReport->m_isBusy) {
    // An order of the owner before is in progress.
    engine.m_sequence.reset();
    return;
  }
  Pump(aId);
}

void EngineOrders::CheckChange(const UpstreamId& aId, Engine& aEngine)
{
  const TimePoint now = m_parts.m_clock.Now();
  if (now > aEngine.m_change->m_giveUpAt) {
    Item item = std::move(aEngine.m_change->m_item);
    aEngine.m_change.reset();
    aEngine.m_sequence.reset();
    m_parts.m_log.Write(EventId::OrderFailed,
                        Describe(aId, item) + " reason=\"not done in time\"");
    item.m_done(false);
    return;
  }
  if (now >= aEngine.m_change->m_askAt) {
    aEngine.m_change->m_askAt = now + kChangePeriod;
    Read(aId);
  }
}

void EngineOrders::HandleReply(const UpstreamId& aId, OrderReply aReply)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end() || !found->second.m_sent) {
    return;
  }
  Engine& engine = found->second;
  const TimePoint now = m_parts.m_clock.Now();
  Item item = std::move(*engine.m_sent);
  engine.m_sent.reset();
  if (aReply == OrderReply::Accepted) {
    HandleAccepted(aId, engine, std::move(item));
    Pump(aId);
    return;
  }
  const bool isAdapter = !item.m_target.m_adapter.empty();
  if (aReply == OrderReply::Done && isAdapter &&
      item.m_kind == EngineOrderKind::Unload) {
    // An adapter that nothing uses goes at once, which counts as an order.
    ++*engine.m_sequence;
    engine.m_contents.DropAdapter(item.m_target);
    m_parts.m_directory.NoteHeld(aId, item.m_target, false, now);
    item.m_done(true);
    Pump(aId);
    return;
  }
  if (aReply == OrderReply::Conflict && isAdapter &&
      item.m_kind == EngineOrderKind::Unload) {
    // In use, as a rule; a count that differs shows at the next order.
    item.m_done(false);
    Pump(aId);
    return;
  }
  // Whatever else it was, what the engine holds must be read anew.
  engine.m_sequence.reset();
  engine.m_readAt = now + kReportLag;
  if (aReply == OrderReply::Done) {
    const bool isHeld = item.m_kind == EngineOrderKind::Load;
    m_parts.m_directory.NoteHeld(aId, item.m_target, isHeld, now);
    item.m_done(true);
    return;
  }
  m_parts.m_log.Write(EventId::OrderFailed,
                      Describe(aId, item) +
                        " reply=" + std::to_string(static_cast<int>(aReply)) +
                        " tries=" + std::to_string(item.m_tries));
  if (aReply == OrderReply::NoAnswer) {
    engine.m_silentUntil = now + kSilence;
  }
  if (aReply == OrderReply::FencedOff) {
    item.m_done(false);
    End();
    return;
  }
  if (aReply == OrderReply::Conflict && ++item.m_tries < kMaxTries) {
    engine.m_queue.push_front(std::move(item));
    return;
  }
  item.m_done(false);
}

void EngineOrders::HandleAccepted(const UpstreamId& aId,
                                  Engine& aEngine,
                                  Item aItem)
{
  const TimePoint now = m_parts.m_clock.Now();
  ++*aEngine.m_sequence;
  const bool isLoad = aItem.m_kind == EngineOrderKind::Load;
  if (aItem.m_target.m_adapter.empty()) {
    const EngineRecord* record = m_parts.m_directory.Find(aId);
    const EngineSpec* spec =
      record == nullptr ? nullptr : m_specs(record->m_pool);
    Duration soonest = kReportLag;
    if (spec != nullptr && isLoad) {
      const auto model = spec->m_models.find(aItem.m_target.m_model);
      soonest += model == spec->m_models.end() ? Duration::zero()
                                               : model->second.m_memoryLoad;
    }
    if (!isLoad) {
      // Entries stop sending at once; the unload waits for what runs.
      m_parts.m_directory.NoteHeld(aId, aItem.m_target, false, now);
    }
    aEngine.m_change =
      ModelChange{ std::move(aItem), now + soonest, now + kChangeLimit };
    return;
  }
  if (!isLoad) {
    // Still in use: the place is free, and the engine takes other orders,
    // only once its calls have ended.
    aEngine.m_silentUntil = now + kSilence;
    m_parts.m_directory.NoteHeld(aId, aItem.m_target, false, now);
    aEngine.m_sequence.reset();
    aEngine.m_readAt = now + kReportLag;
    aItem.m_done(true);
    return;
  }
  aEngine.m_contents.BeginAdapter(aItem.m_target);
  auto item = std::make_shared<Item>(std::move(aItem));
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = m_parts.m_timers.After(
    kAdapterLoadTime,
    [this, aId, item, timer, generation = m_generation, at = *m_generation] {
      // Keeps the timer alive until its own action has run.
      const auto keep = std::move(*timer);
      if (*generation == at) {
        FinishAdapter(aId, *item);
      } else {
        item->m_done(false);
      }
    });
}

void EngineOrders::FinishAdapter(const UpstreamId& aId, const Item& aItem)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    aItem.m_done(false);
    return;
  }
  found->second.m_contents.EndAdapter(aItem.m_target);
  m_parts.m_directory.NoteHeld(
    aId, aItem.m_target, true, m_parts.m_clock.Now());
  aItem.m_done(true);
}

std::string EngineOrders::Describe(const UpstreamId& aId, const Item& aItem)
{
  return "engine=" + aId.Value() + " kind=" +
         (aItem.m_kind == EngineOrderKind::Load ? "load" : "unload") +
         " model=" + aItem.m_target.m_model +
         " adapter=" + aItem.m_target.m_adapter;
}

} // namespace celeryspread
