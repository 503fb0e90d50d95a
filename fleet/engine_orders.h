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
#include "fleet/store_budget.h"
#include "routes/route_config.h"
#include "telemetry/event_log.h"

namespace celeryspread {

/// Sends the owner's orders to the engines, one at a time to each engine.
///
/// Every order names the number of orders that the engine had accepted when it
/// reported its contents, and an engine refuses an order with another number.
/// An order is therefore only carried out on exactly the contents that it was
/// checked against, however late it arrives. No load is sent that exceeds the
/// engine's memory or its adapter slots.
/// @thread loop thread only.
class EngineOrders
{
public:
  using Done = std::function<void(bool aIsDone)>;
  /// Finds the budget of a pool for loads from the weight store.
  using StoreBudgetFinder = std::function<StoreBudget&(const PoolId&)>;
  /// Finds the properties that all engines of a pool share; null when the pool
  /// has none.
  using SpecFinder = std::function<const EngineSpec*(const PoolId&)>;

  /// Dependencies of EngineOrders; all references outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    EngineControl& m_control;
    EngineDirectory& m_directory;
    EventLog& m_log;
  };

  /// Prepares the queues. Orders name aOwner as their sender, and are sent only
  /// while aMayOrder returns true.
  EngineOrders(Dependencies aDependencies,
               InstanceId aOwner,
               SpecFinder aFindSpec,
               StoreBudgetFinder aFindStoreBudget,
               std::function<bool()> aMayOrder);
  ~EngineOrders();

  /// Acquires ownership. Nothing is sent before aQuietUntil, by when the
  /// previous owner has stopped. @pre a quorum granted aToken, which is larger
  /// than all earlier ones.
  void AcquireOwnership(FencingToken aToken, TimePoint aQuietUntil);
  /// Loses ownership; all orders that are queued or in progress fail.
  /// @pre none.
  void LoseOwnership();
  /// Discards the state and fails the orders of an engine that restarted or is
  /// gone. @pre none.
  void Forget(const UpstreamId& aEngine);
  /// Queues an order. aDone is called exactly once: with true when the order
  /// was carried out, or when the unload of an adapter in use was accepted.
  /// @pre the engine is in the directory.
  void Submit(const UpstreamId& aEngine,
              EngineOrderKind aKind,
              const ModelTarget& aTarget,
              Done aDone);
  /// Reads the engine's report to find out whether it answers. @pre the engine
  /// is in the directory.
  void CheckReachable(const UpstreamId& aEngine);
  /// Returns whether the engine answered the last check, also when none was
  /// made. An engine that did not is checked again periodically. @pre none.
  [[nodiscard]] bool IsReachable(const UpstreamId& aEngine) const;
  /// Runs periodic work: sends queued orders and checks model changes.
  /// @pre called several times a second.
  void Tick();

  /// Returns whether an engine has a free adapter slot once all orders to it
  /// are carried out. @pre none.
  [[nodiscard]] bool HasFreeAdapterSlot(const EngineRecord& aRecord) const;
  /// Returns whether a model load or unload is queued or in progress.
  /// @pre none.
  [[nodiscard]] bool IsChangingModels(const UpstreamId& aEngine) const;
  /// Returns whether an adapter order would be carried out soon: no model
  /// change is pending, and the engine has not lately left an order unanswered
  /// or accepted the unload of an adapter in use. @pre none.
  [[nodiscard]] bool IsResponsive(const UpstreamId& aEngine) const;
  /// Returns the loaded adapters of the engine, as far as known, without those
  /// that an order unloads. @pre none.
  [[nodiscard]] std::set<ModelTarget> AdaptersAfterUnloads(
    const EngineRecord& aRecord) const;
  /// Returns the models that the engine will hold once all orders to it are
  /// carried out. @pre none.
  [[nodiscard]] std::set<std::string> ModelsAfterOrders(
    const EngineRecord& aRecord) const;
  /// Returns the memory that is free for a further model. @pre none.
  /// @unit megabytes.
  [[nodiscard]] int64_t FreeMegabytes(const EngineRecord& aRecord) const;

private:
  /// An order whose result has not been passed on yet.
  struct PendingOrder
  {
    EngineOrderKind m_kind = EngineOrderKind::Load;
    ModelTarget m_target;
    Done m_done;
    /// Tries that the engine answered with a conflict.
    uint32_t m_tries = 0;
    TimePoint m_queuedAt;
    /// A load from the weight store; its budget is taken while it is queued, so
    /// that a load planned later can't take it meanwhile.
    std::shared_ptr<StoreBudget::Reservation> m_storeLoad;
  };
  /// A model load or unload that the engine accepted and has not finished.
  struct ModelChange
  {
    PendingOrder m_order;
    /// When the report is read next to see whether the change is done.
    TimePoint m_checkAt;
    TimePoint m_deadline;
  };
  struct EngineQueue
  {
    /// Orders that the engine has accepted so far; empty until a report is
    /// read.
    std::optional<uint64_t> m_sequence;
    /// Contents as of m_sequence. While that is empty, the models in the
    /// directory are used instead.
    EngineContents m_contents;
    std::deque<PendingOrder> m_queue;
    /// The order that was sent and has no reply yet.
    std::optional<PendingOrder> m_sent;
    std::optional<ModelChange> m_change;
    bool m_isReading = false;
    /// The report that was read last did not arrive.
    bool m_isUnreachable = false;
    TimePoint m_nextReadAt;
    /// The engine counts as unresponsive before this, because it left an order
    /// unanswered or accepted the unload of an adapter in use.
    TimePoint m_unresponsiveUntil;
    /// Nothing is sent before this, while entries are notified of an unload.
    TimePoint m_announcementEndsAt;
  };

  /// Sends the next queued order if nothing is in progress, after reading the
  /// engine's report where its contents are not known.
  void ProcessQueue(const UpstreamId& aId);
  /// Reads the engine's report unless it was read a moment ago.
  void RequestReport(const UpstreamId& aId);
  void HandleReport(const UpstreamId& aId,
                    const std::optional<EngineReport>& aReport);
  void HandleReply(const UpstreamId& aId, OrderReply aReply);
  void HandleAccepted(const UpstreamId& aId,
                      EngineQueue& aEngine,
                      PendingOrder aOrder);
  void FinishAdapterLoad(const UpstreamId& aId, const PendingOrder& aOrder);
  void CheckModelChange(const UpstreamId& aId, EngineQueue& aEngine);
  [[nodiscard]] static bool NeedsAnnouncement(const EngineRecord& aRecord,
                                              const PendingOrder& aOrder);
  /// Returns whether an order reads from the weight store.
  [[nodiscard]] static bool IsStoreLoad(const EngineRecord& aRecord,
                                        const PendingOrder& aOrder);
  /// Starts a load from the weight store if the order reads from it; returns
  /// false when the store's rate is used up.
  [[nodiscard]] bool StartStoreLoadIfNeeded(const EngineRecord& aRecord,
                                            PendingOrder& aOrder) const;
  [[nodiscard]] bool FitsOnEngine(const EngineRecord& aRecord,
                                  const EngineQueue& aEngine,
                                  const PendingOrder& aOrder) const;
  /// Returns the reported contents, or those in the directory when no report
  /// has been read.
  [[nodiscard]] EngineContents ContentsOf(const EngineRecord& aRecord) const;
  [[nodiscard]] static std::string ChangingModel(const EngineQueue& aEngine);
  void FailAllOrders(EngineQueue& aEngine);
  [[nodiscard]] static std::string Describe(const UpstreamId& aId,
                                            const PendingOrder& aOrder);

  Dependencies m_deps;
  InstanceId m_owner;
  SpecFinder m_findSpec;
  StoreBudgetFinder m_findStoreBudget;
  std::function<bool()> m_mayOrder;
  std::map<UpstreamId, EngineQueue> m_engines;
  FencingToken m_token;
  TimePoint m_quietUntil;
  bool m_isOwner = false;
  /// Counts lost ownerships; replies that belong to an earlier one are ignored.
  std::shared_ptr<uint64_t> m_generation = std::make_shared<uint64_t>(0);
};

} // namespace celeryspread
