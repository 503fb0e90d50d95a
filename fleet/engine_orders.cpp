#include "fleet/engine_orders.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Engines load an adapter in 5 to 7.2 ms.
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(9);
/// Reports are a few hundred milliseconds old; one that is read sooner after an
/// order would not include its effect.
constexpr Duration kReportLag = std::chrono::milliseconds(450);
/// Shortest time between two readings of an engine's report.
constexpr Duration kMinReadInterval = std::chrono::milliseconds(700);
/// How often the report is read while a model change is in progress.
constexpr Duration kChangeCheckPeriod = std::chrono::milliseconds(500);
/// An unload waits for the calls of the model, and the longest stream ends
/// within this time.
constexpr Duration kModelChangeTimeout = std::chrono::seconds(25);
/// An engine that left an order unanswered, or that waits for calls before it
/// unloads an adapter, gets no adapter loads for this time if another engine
/// can have them.
constexpr Duration kUnresponsiveTime = std::chrono::seconds(3);
/// Time until every entry is notified that a model is to be unloaded: a tick of
/// the owner and one of a relay, and the network latency to another region.
constexpr Duration kAnnouncementTime = std::chrono::milliseconds(250);
/// Tries of one order that the engine answers with a conflict.
constexpr uint32_t kMaxOrderTries = 4;
/// The call that needs the adapter would be late after a longer wait, and
/// another engine may load it sooner.
constexpr Duration kAdapterQueueTimeout = std::chrono::milliseconds(500);
/// A load that is queued behind an unload waits for the calls of the model that
/// is unloaded.
constexpr Duration kModelQueueTimeout = std::chrono::seconds(20);

} // namespace

EngineOrders::EngineOrders(Dependencies aDependencies,
                           InstanceId aOwner,
                           SpecFinder aFindSpec,
                           StoreBudgetFinder aFindStoreBudget,
                           std::function<bool()> aMayOrder)
  : m_deps(aDependencies)
  , m_owner(std::move(aOwner))
  , m_findSpec(std::move(aFindSpec))
  , m_findStoreBudget(std::move(aFindStoreBudget))
  , m_mayOrder(std::move(aMayOrder))
{
}

EngineOrders::~EngineOrders()
{
  ++*m_generation;
}

void EngineOrders::AcquireOwnership(FencingToken aToken, TimePoint aQuietUntil)
{
  LoseOwnership();
  m_token = aToken;
  m_quietUntil = aQuietUntil;
  m_isOwner = true;
}

void EngineOrders::FailAllOrders(EngineQueue& aEngine)
{
  std::vector<PendingOrder> orders;
  std::move(
    aEngine.m_queue.begin(), aEngine.m_queue.end(), std::back_inserter(orders));
  aEngine.m_queue.clear();
  if (aEngine.m_sent) {
    orders.push_back(std::move(*aEngine.m_sent));
    aEngine.m_sent.reset();
  }
  if (aEngine.m_change) {
    orders.push_back(std::move(aEngine.m_change->m_order));
    aEngine.m_change.reset();
  }
  for (const PendingOrder& pending : orders) {
    pending.m_done(false);
  }
}

void EngineOrders::LoseOwnership()
{
  m_isOwner = false;
  ++*m_generation;
  auto engines = std::move(m_engines);
  m_engines.clear();
  for (auto& [id, engine] : engines) {
    FailAllOrders(engine);
  }
}

void EngineOrders::Forget(const UpstreamId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  EngineQueue engine = std::move(found->second);
  m_engines.erase(found);
  FailAllOrders(engine);
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
  PendingOrder order{
    aKind, aTarget, std::move(aDone), 0, m_deps.m_clock.Now(), nullptr
  };
  const EngineRecord* record = m_deps.m_directory.Find(aEngine);
  if (record != nullptr && IsStoreLoad(*record, order)) {
    order.m_storeLoad =
      m_findStoreBudget(record->m_pool).Reserve(order.m_queuedAt);
  }
  m_engines[aEngine].m_queue.push_back(std::move(order));
  ProcessQueue(aEngine);
}

std::string EngineOrders::ChangingModel(const EngineQueue& aEngine)
{
  return aEngine.m_change ? aEngine.m_change->m_order.m_target.m_model : "";
}

EngineContents EngineOrders::ContentsOf(const EngineRecord& aRecord) const
{
  const auto found = m_engines.find(aRecord.m_id);
  const bool isRead =
    found != m_engines.end() && found->second.m_sequence.has_value();
  return isRead ? found->second.m_contents : EngineContents(aRecord.m_models);
}

bool EngineOrders::FitsOnEngine(const EngineRecord& aRecord,
                                const EngineQueue& aEngine,
                                const PendingOrder& aOrder) const
{
  if (aOrder.m_kind == EngineOrderKind::Unload) {
    return true;
  }
  const EngineSpec* spec = m_findSpec(aRecord.m_pool);
  return spec != nullptr && aEngine.m_contents.Fits(
                              *spec, aOrder.m_target, ChangingModel(aEngine));
}

bool EngineOrders::NeedsAnnouncement(const EngineRecord& aRecord,
                                     const PendingOrder& aOrder)
{
  return aOrder.m_kind == EngineOrderKind::Unload &&
         aOrder.m_target.m_adapter.empty() && aRecord.Holds(aOrder.m_target);
}

bool EngineOrders::IsStoreLoad(const EngineRecord& aRecord,
                               const PendingOrder& aOrder)
{
  return aOrder.m_kind == EngineOrderKind::Load &&
         aOrder.m_target.m_adapter.empty() &&
         !aRecord.m_cachedWeights.contains(aOrder.m_target.m_model);
}

bool EngineOrders::StartStoreLoadIfNeeded(const EngineRecord& aRecord,
                                          PendingOrder& aOrder) const
{
  if (!IsStoreLoad(aRecord, aOrder)) {
    aOrder.m_storeLoad.reset();
    return true;
  }
  StoreBudget& budget = m_findStoreBudget(aRecord.m_pool);
  const TimePoint now = m_deps.m_clock.Now();
  if (aOrder.m_storeLoad == nullptr) {
    aOrder.m_storeLoad = budget.Reserve(now);
  }
  if (aOrder.m_storeLoad == nullptr) {
    return false;
  }
  budget.Start(std::move(aOrder.m_storeLoad), now);
  return true;
}

void EngineOrders::CheckReachable(const UpstreamId& aEngine)
{
  if (m_isOwner) {
    RequestReport(aEngine);
  }
}

bool EngineOrders::IsReachable(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() || !found->second.m_isUnreachable;
}

bool EngineOrders::HasFreeAdapterSlot(const EngineRecord& aRecord) const
{
  const EngineSpec* spec = m_findSpec(aRecord.m_pool);
  if (spec == nullptr) {
    return false;
  }
  size_t queued = 0;
  const auto found = m_engines.find(aRecord.m_id);
  if (found != m_engines.end()) {
    for (const PendingOrder& pending : found->second.m_queue) {
      queued += pending.m_kind == EngineOrderKind::Load ? 1 : 0;
    }
    const auto& sent = found->second.m_sent;
    queued += sent && sent->m_kind == EngineOrderKind::Load ? 1 : 0;
    queued += found->second.m_contents.LoadingAdapterCount();
  }
  return AdaptersAfterUnloads(aRecord).size() + queued < spec->m_adapterSlots;
}

bool EngineOrders::IsChangingModels(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return false;
  }
  const EngineQueue& engine = found->second;
  const auto isModelOrder = [](const PendingOrder& aOrder) {
    return aOrder.m_target.m_adapter.empty();
  };
  return engine.m_change || (engine.m_sent && isModelOrder(*engine.m_sent)) ||
         std::any_of(
           engine.m_queue.begin(), engine.m_queue.end(), isModelOrder);
}

bool EngineOrders::IsResponsive(const UpstreamId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() ||
         (!IsChangingModels(aEngine) &&
          m_deps.m_clock.Now() >= found->second.m_unresponsiveUntil);
}

std::set<ModelTarget> EngineOrders::AdaptersAfterUnloads(
  const EngineRecord& aRecord) const
{
  std::set<ModelTarget> adapters = ContentsOf(aRecord).LoadedAdapters();
  const auto found = m_engines.find(aRecord.m_id);
  if (found != m_engines.end()) {
    const auto removeUnloaded = [&](const PendingOrder& aOrder) {
      if (aOrder.m_kind == EngineOrderKind::Unload) {
        adapters.erase(aOrder.m_target);
      }
    };
    std::for_each(found->second.m_queue.begin(),
                  found->second.m_queue.end(),
                  removeUnloaded);
    if (found->second.m_sent) {
      removeUnloaded(*found->second.m_sent);
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
  const auto apply = [&](const PendingOrder& aOrder) {
    if (!aOrder.m_target.m_adapter.empty()) {
      return;
    }
    if (aOrder.m_kind == EngineOrderKind::Load) {
      models.insert(aOrder.m_target.m_model);
    } else {
      models.erase(aOrder.m_target.m_model);
    }
  };
  const EngineQueue& engine = found->second;
  if (engine.m_change) {
    apply(engine.m_change->m_order);
  }
  if (engine.m_sent) {
    apply(*engine.m_sent);
  }
  std::for_each(engine.m_queue.begin(), engine.m_queue.end(), apply);
  return models;
}

int64_t EngineOrders::FreeMegabytes(const EngineRecord& aRecord) const
{
  const EngineSpec* spec = m_findSpec(aRecord.m_pool);
  if (spec == nullptr) {
    return 0;
  }
  const auto found = m_engines.find(aRecord.m_id);
  const std::string changing =
    found == m_engines.end() ? "" : ChangingModel(found->second);
  return static_cast<int64_t>(spec->m_weightMegabytes) -
         static_cast<int64_t>(
           ContentsOf(aRecord).UsedMegabytes(*spec, changing));
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
      CheckModelChange(id, found->second);
    }
    if (!IsReachable(id)) {
      RequestReport(id);
    }
    ProcessQueue(id);
  }
}

void EngineOrders::ProcessQueue(const UpstreamId& aId)
{
  const TimePoint now = m_deps.m_clock.Now();
  const auto found = m_engines.find(aId);
  if (found == m_engines.end() || !m_isOwner) {
    return;
  }
  EngineQueue& engine = found->second;
  const auto hasExpired = [&](const PendingOrder& aOrder) {
    const bool isAdapter = !aOrder.m_target.m_adapter.empty();
    return now - aOrder.m_queuedAt >
           (isAdapter ? kAdapterQueueTimeout : kModelQueueTimeout);
  };
  if (!engine.m_queue.empty() && hasExpired(engine.m_queue.front())) {
    const PendingOrder expired = std::move(engine.m_queue.front());
    engine.m_queue.pop_front();
    m_deps.m_log.Write(EventId::PlacementRefused,
                       Describe(aId, expired) + " reason=\"queued too long\"");
    // The callback may queue another order or erase this engine's queue, so the
    // reference to the queue is not used after it.
    expired.m_done(false);
    ProcessQueue(aId);
    return;
  }
  const bool mayOrder =
    now >= m_quietUntil && now >= engine.m_announcementEndsAt && m_mayOrder();
  if (!mayOrder || engine.m_queue.empty() || engine.m_sent || engine.m_change) {
    return;
  }
  const EngineRecord* record = m_deps.m_directory.Find(aId);
  if (record == nullptr) {
    Forget(aId);
    return;
  }
  if (!engine.m_sequence) {
    RequestReport(aId);
    return;
  }
  PendingOrder pending = std::move(engine.m_queue.front());
  engine.m_queue.pop_front();
  const bool isLoad = pending.m_kind == EngineOrderKind::Load;
  if (engine.m_contents.Contains(pending.m_target) == isLoad) {
    // An earlier order already had this effect. The engine would not count this
    // one, and the sequence number known here would become wrong.
    pending.m_done(true);
    ProcessQueue(aId);
    return;
  }
  const bool fits = FitsOnEngine(*record, engine, pending);
  if (!fits || !StartStoreLoadIfNeeded(*record, pending)) {
    m_deps.m_log.Write(EventId::PlacementRefused,
                       Describe(aId, pending) + " reason=\"" +
                         (fits ? "the weight store's rate is used up"
                               : "does not fit on the engine") +
                         "\"");
    pending.m_done(false);
    ProcessQueue(aId);
    return;
  }
  if (NeedsAnnouncement(*record, pending)) {
    // Entries stop sending calls for the model first, because the engine would
    // refuse calls that arrive after the unload order.
    m_deps.m_directory.RecordHeld(aId, pending.m_target, false, now);
    engine.m_announcementEndsAt = now + kAnnouncementTime;
    engine.m_queue.push_front(std::move(pending));
    return;
  }
  const EngineOrder order{
    pending.m_kind, pending.m_target, m_owner, m_token, *engine.m_sequence
  };
  m_deps.m_log.Write(EventId::OrderSent,
                     Describe(aId, pending) +
                       " sequence=" + std::to_string(*engine.m_sequence) +
                       " token=" + std::to_string(m_token.Value()));
  engine.m_sent = std::move(pending);
  m_deps.m_control.SendOrder(
    *record,
    order,
    [this, aId, current = m_generation, own = *m_generation](
      OrderReply aReply) {
      if (*current == own) {
        HandleReply(aId, aReply);
      }
    });
}

void EngineOrders::RequestReport(const UpstreamId& aId)
{
  EngineQueue& engine = m_engines[aId];
  const TimePoint now = m_deps.m_clock.Now();
  const EngineRecord* record = m_deps.m_directory.Find(aId);
  if (engine.m_isReading || now < engine.m_nextReadAt || record == nullptr) {
    return;
  }
  engine.m_isReading = true;
  m_deps.m_control.ReadReport(
    *record,
    [this, aId, current = m_generation, own = *m_generation](
      const std::optional<EngineReport>& aReport) {
      if (*current == own) {
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
  EngineQueue& engine = found->second;
  const TimePoint now = m_deps.m_clock.Now();
  engine.m_isReading = false;
  engine.m_nextReadAt = now + kMinReadInterval;
  if (engine.m_isUnreachable == aReport.has_value()) {
    engine.m_isUnreachable = !aReport;
    m_deps.m_log.Write(EventId::EngineReachability,
                       "engine=" + aId.Value() +
                         " reachable=" + (aReport ? "yes" : "no"));
  }
  if (!aReport || engine.m_sent) {
    return;
  }
  engine.m_sequence = aReport->m_sequence;
  engine.m_contents =
    EngineContents(aReport->m_models, aReport->m_loadingAdapters);
  m_deps.m_directory.ApplyModels(aId, aReport->m_models, now);
  if (engine.m_change) {
    const PendingOrder& pending = engine.m_change->m_order;
    const bool isHeld = engine.m_contents.Contains(pending.m_target);
    const bool isWanted = pending.m_kind == EngineOrderKind::Load;
    if (isHeld == isWanted && !aReport->m_isBusy) {
      PendingOrder finished = std::move(engine.m_change->m_order);
      engine.m_change.reset();
      m_deps.m_directory.RecordHeld(aId, finished.m_target, isHeld, now);
      finished.m_done(true);
    }
  } else if (aReport->m_isBusy) {
    // An order of the previous owner is in progress.
    engine.m_sequence.reset();
    return;
  }
  ProcessQueue(aId);
}

void EngineOrders::CheckModelChange(const UpstreamId& aId, EngineQueue& aEngine)
{
  const TimePoint now = m_deps.m_clock.Now();
  if (now > aEngine.m_change->m_deadline) {
    PendingOrder pending = std::move(aEngine.m_change->m_order);
    aEngine.m_change.reset();
    aEngine.m_sequence.reset();
    m_deps.m_log.Write(EventId::OrderFailed,
                       Describe(aId, pending) +
                         " reason=\"the engine did not finish in time\"");
    pending.m_done(false);
    return;
  }
  if (now >= aEngine.m_change->m_checkAt) {
    aEngine.m_change->m_checkAt = now + kChangeCheckPeriod;
    RequestReport(aId);
  }
}

void EngineOrders::HandleReply(const UpstreamId& aId, OrderReply aReply)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end() || !found->second.m_sent) {
    return;
  }
  EngineQueue& engine = found->second;
  const TimePoint now = m_deps.m_clock.Now();
  PendingOrder pending = std::move(*engine.m_sent);
  engine.m_sent.reset();
  if (aReply == OrderReply::Accepted) {
    HandleAccepted(aId, engine, std::move(pending));
    ProcessQueue(aId);
    return;
  }
  const bool isAdapter = !pending.m_target.m_adapter.empty();
  if (aReply == OrderReply::Done && isAdapter &&
      pending.m_kind == EngineOrderKind::Unload) {
    // An unused adapter is unloaded at once, and the engine counts the order.
    ++*engine.m_sequence;
    engine.m_contents.RemoveAdapter(pending.m_target);
    m_deps.m_directory.RecordHeld(aId, pending.m_target, false, now);
    pending.m_done(true);
    ProcessQueue(aId);
    return;
  }
  if (aReply == OrderReply::Conflict && isAdapter &&
      pending.m_kind == EngineOrderKind::Unload) {
    // Usually the adapter is in use. If the sequence number differed instead,
    // the next order shows it.
    pending.m_done(false);
    ProcessQueue(aId);
    return;
  }
  // After any other reply the contents are uncertain and must be read again.
  engine.m_sequence.reset();
  engine.m_nextReadAt = now + kReportLag;
  if (aReply == OrderReply::Done) {
    const bool isHeld = pending.m_kind == EngineOrderKind::Load;
    m_deps.m_directory.RecordHeld(aId, pending.m_target, isHeld, now);
    pending.m_done(true);
    return;
  }
  m_deps.m_log.Write(EventId::OrderFailed,
                     Describe(aId, pending) +
                       " reply=" + std::to_string(static_cast<int>(aReply)) +
                       " tries=" + std::to_string(pending.m_tries));
  if (aReply == OrderReply::NoAnswer) {
    engine.m_unresponsiveUntil = now + kUnresponsiveTime;
  }
  if (aReply == OrderReply::FencedOff) {
    pending.m_done(false);
    LoseOwnership();
    return;
  }
  if (aReply == OrderReply::Conflict && ++pending.m_tries < kMaxOrderTries) {
    engine.m_queue.push_front(std::move(pending));
    return;
  }
  pending.m_done(false);
}

void EngineOrders::HandleAccepted(const UpstreamId& aId,
                                  EngineQueue& aEngine,
                                  PendingOrder aOrder)
{
  const TimePoint now = m_deps.m_clock.Now();
  ++*aEngine.m_sequence;
  const bool isLoad = aOrder.m_kind == EngineOrderKind::Load;
  if (aOrder.m_target.m_adapter.empty()) {
    const EngineRecord* record = m_deps.m_directory.Find(aId);
    const EngineSpec* spec =
      record == nullptr ? nullptr : m_findSpec(record->m_pool);
    Duration firstCheckDelay = kReportLag;
    if (spec != nullptr && isLoad) {
      const auto model = spec->m_models.find(aOrder.m_target.m_model);
      firstCheckDelay += model == spec->m_models.end()
                           ? Duration::zero()
                           : model->second.m_memoryLoadTime;
    }
    if (!isLoad) {
      // Entries stop sending calls at once; the unload waits for those in
      // progress.
      m_deps.m_directory.RecordHeld(aId, aOrder.m_target, false, now);
    }
    aEngine.m_change = ModelChange{ std::move(aOrder),
                                    now + firstCheckDelay,
                                    now + kModelChangeTimeout };
    return;
  }
  if (!isLoad) {
    // The adapter is still in use. Its slot becomes free, and the engine
    // accepts other orders, only once the calls in progress have ended.
    aEngine.m_unresponsiveUntil = now + kUnresponsiveTime;
    m_deps.m_directory.RecordHeld(aId, aOrder.m_target, false, now);
    aEngine.m_sequence.reset();
    aEngine.m_nextReadAt = now + kReportLag;
    aOrder.m_done(true);
    return;
  }
  aEngine.m_contents.AddLoadingAdapter(aOrder.m_target);
  auto pending = std::make_shared<PendingOrder>(std::move(aOrder));
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = m_deps.m_timers.After(
    kAdapterLoadTime,
    [this, aId, pending, timer, current = m_generation, own = *m_generation] {
      // Keeps the timer alive until its callback has returned.
      const auto keep = std::move(*timer);
      if (*current == own) {
        FinishAdapterLoad(aId, *pending);
      } else {
        pending->m_done(false);
      }
    });
}

void EngineOrders::FinishAdapterLoad(const UpstreamId& aId,
                                     const PendingOrder& aOrder)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    aOrder.m_done(false);
    return;
  }
  found->second.m_contents.MarkAdapterLoaded(aOrder.m_target);
  m_deps.m_directory.RecordHeld(
    aId, aOrder.m_target, true, m_deps.m_clock.Now());
  aOrder.m_done(true);
}

std::string EngineOrders::Describe(const UpstreamId& aId,
                                   const PendingOrder& aOrder)
{
  return "engine=" + aId.Value() + " kind=" +
         (aOrder.m_kind == EngineOrderKind::Load ? "load" : "unload") +
         " model=" + aOrder.m_target.m_model +
         " adapter=" + aOrder.m_target.m_adapter;
}

} // namespace celeryspread
