#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/timers.h"
#include "fleet/engine_contents.h"
#include "fleet/engine_control.h"
#include "fleet/engine_directory.h"
#include "routes/route_config.h"
#include "telemetry/event_log.h"

namespace celeryspread {

/// Gives orders to engines, one at a time to each, for the one owner.
///
/// Every order names the number of orders that the engine accepted before, as
/// its report told together with what it holds. An order is therefore only
/// carried out on exactly the contents that it was checked against, however
/// late it arrives. Nothing is ordered that the memory or the adapter places
/// of the engine can't hold.
/// @thread loop thread only.
class EngineOrders
{
public:
  using Done = std::function<void(bool aIsDone)>;
  /// Takes a load from the weight store; false while its rate is used up.
  using StoreTaker = std::function<bool(const PoolId&)>;
  /// Finds what the engines of a pool have in common; null for none.
  using SpecFinder = std::function<const EngineSpec*(const PoolId&)>;

  /// What the orders need; all references outlive it.
  struct Parts
  {
    const Clock& m_clock;
    Timers& m_timers;
    EngineControl& m_control;
    EngineDirectory& m_directory;
    EventLog& m_log;
  };

  /// Orders under the name aOwner, only while aMayOrder says so.
  EngineOrders(Parts aParts,
               InstanceId aOwner,
               SpecFinder aSpecs,
               StoreTaker aTakeStoreLoad,
               std::function<bool()> aMayOrder);
  ~EngineOrders();

  /// Becomes the owner; nothing is sent before aQuietUntil, when the owner
  /// before has stopped. @pre a quorum granted aToken, larger than any before.
  void Begin(FencingToken aToken, TimePoint aQuietUntil);
  /// Stops being the owner; what is queued fails. @pre none.
  void End();
  /// Forgets what is known of an engine that started anew. @pre none.
  void Forget(const UpstreamId& aEngine);
  /// Queues an order. @pre the engine is in the directory. aDone is called
  /// exactly once: true when the order holds.
  void Submit(const UpstreamId& aEngine,
              EngineOrderKind aKind,
              const ModelTarget& aTarget,
              Done aDone);
  /// Sends what is due. @pre called several times a second.
  void Tick();

  /// Tells whether an engine can take a further adapter without losing one.
  /// @pre none.
  [[nodiscard]] bool HasAdapterPlace(const EngineRecord& aRecord) const;
  /// Tells whether the engine loads or unloads a model, or is about to.
  /// @pre none.
  [[nodiscard]] bool IsChanging(const UpstreamId& aEngine) const;
  /// Tells whether an order for an adapter would be carried out soon.
  /// @pre none.
  [[nodiscard]] bool IsResponsive(const UpstreamId& aEngine) const;
  /// Returns the adapters that the engine holds as far as known, without
  /// those about to be unloaded. @pre none.
  [[nodiscard]] std::set<ModelTarget> AdaptersOf(
    const EngineRecord& aRecord) const;
  /// Returns the models that the engine will hold once all orders to it are
  /// carried out. @pre none.
  [[nodiscard]] std::set<std::string> ModelsAfterOrders(
    const EngineRecord& aRecord) const;
  /// Returns the megabytes free for a further model. @pre none.
  [[nodiscard]] int64_t FreeMegabytes(const EngineRecord& aRecord) const;

private:
  struct Item
  {
    EngineOrderKind m_kind = EngineOrderKind::Load;
    ModelTarget m_target;
    Done m_done;
    uint32_t m_tries = 0;
    TimePoint m_queuedAt;
  };
  /// A model that is being loaded or unloaded.
  struct ModelChange
  {
    Item m_item;
    TimePoint m_askAt;
    TimePoint m_giveUpAt;
  };
  struct Engine
  {
    /// Orders accepted so far; empty until a report told.
    std::optional<uint64_t> m_sequence;
    /// As of the sequence; what the directory says until there is one.
    EngineContents m_contents;
    std::deque<Item> m_queue;
    std::optional<Item> m_sent;
    std::optional<ModelChange> m_change;
    bool m_isReading = false;
    TimePoint m_readAt;
    /// Until then orders were left unanswered lately.
    TimePoint m_silentUntil;
    /// Nothing is sent before this, while entries hear of an unload.
    TimePoint m_announcedUntil;
  };

  void Pump(const UpstreamId& aId);
  void Read(const UpstreamId& aId);
  void HandleReport(const UpstreamId& aId,
                    const std::optional<EngineReport>& aReport);
  void HandleReply(const UpstreamId& aId, OrderReply aReply);
  void HandleAccepted(const UpstreamId& aId, Engine& aEngine, Item aItem);
  void FinishAdapter(const UpstreamId& aId, const Item& aItem);
  void CheckChange(const UpstreamId& aId, Engine& aEngine);
  [[nodiscard]] static bool IsToBeAnnounced(const EngineRecord& aRecord,
                                            const Item& aItem);
  [[nodiscard]] bool MayLoadWeights(const EngineRecord& aRecord,
                                    const Item& aItem) const;
  [[nodiscard]] bool HasRoom(const EngineRecord& aRecord,
                             const Engine& aEngine,
                             const Item& aItem) const;
  [[nodiscard]] EngineContents ContentsOf(const EngineRecord& aRecord) const;
  [[nodiscard]] static std::string ChangingModel(const Engine& aEngine);
  void FailAll(Engine& aEngine);
  [[nodiscard]] static std::string Describe(const UpstreamId& aId,
                                            const Item& aItem);

  Parts m_parts;
  InstanceId m_owner;
  SpecFinder m_specs;
  StoreTaker m_takeStoreLoad;
  std::function<bool()> m_mayOrder;
  std::map<UpstreamId, Engine> m_engines;
  FencingToken m_token;
  TimePoint m_quietUntil;
  bool m_isOwner = false;
  /// Tells late replies that the ownership they belong to is over.
  std::shared_ptr<uint64_t> m_generation = std::make_shared<uint64_t>(0);
};

} // namespace celeryspread
