#pragma once

#include <functional>
#include <map>
#include <memory>

#include "fleet/demand_tracker.h"
#include "fleet/engine_orders.h"
#include "fleet/model_planner.h"
#include "fleet/store_budget.h"

namespace celeryspread {

/// Looks after all engines while this control instance leads: follows the
/// platform's list, places models by demand, and loads adapters on request.
/// @thread loop thread only.
class FleetOwner
{
public:
  /// What the owner works with; all references outlive it.
  struct Parts
  {
    const Clock& m_clock;
    Timers& m_timers;
    EngineControl& m_control;
    EventLog& m_log;
  };
  /// Limits of the platform.
  struct Limits
  {
    InstanceId m_owner;
    Duration m_ownerLease{};
    Duration m_storeWindow{};
    /// Engines refuse orders with an old fencing token, so that a new owner
    /// needs not wait until the one before has surely stopped.
    bool m_isFenced = false;
    double m_listCallsPerSecond = 1;
  };

  /// Prepares the owner. @pre aHasLease tells whether this instance provably
  /// leads now.
  FleetOwner(Parts aParts, Limits aLimits, std::function<bool()> aHasLease);
  ~FleetOwner();

  /// Starts owning under a term of leadership. @pre aTerm is larger than that
  /// of any owner before.
  void Begin(FencingToken aTerm);
  /// Stops owning. @pre none.
  void End();
  /// Takes the configuration in force. @pre not null.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);
  /// Lets time pass. @pre called several times a second.
  void Tick();
  /// Notes what an entry counted. @pre none.
  void NoteDemand(const DemandTracker::Key& aKey,
                  uint32_t aCalls,
                  Duration aWork);
  /// Has an adapter loaded; aDone hears the engine that holds it, empty when
  /// it can't be had now. @pre none; called exactly once.
  /// @pre aPreferred names the engine that suits the asker best, or is empty.
  void LoadAdapter(const DemandTracker::Key& aKey,
                   const FailureDomainId& aDomain,
                   const UpstreamId& aPreferred,
                   std::function<void(UpstreamId)> aDone);

  /// Returns what is known of the engines. @pre none.
  [[nodiscard]] const EngineDirectory& Directory() const { return m_directory; }
  /// Returns the term of ownership; empty when this is not the owner.
  /// @pre none.
  [[nodiscard]] std::optional<FencingToken> Term() const { return m_term; }

private:
  struct AdapterLoad
  {
    std::vector<std::function<void(UpstreamId)>> m_waiting;
  };

  [[nodiscard]] const EngineSpec* SpecOf(const PoolId& aPool) const;
  /// Time between two readings of a list of so many engines.
  [[nodiscard]] Duration ListPeriod(size_t aEngines) const;
  void ReadList();
  void Plan(TimePoint aNow);
  void PlanPool(const Pool& aPool, TimePoint aNow);
  [[nodiscard]] const EngineRecord* FindHolder(
    const DemandTracker::Key& aKey) const;
  [[nodiscard]] const EngineRecord* ChooseForAdapter(
    const DemandTracker::Key& aKey,
    const FailureDomainId& aDomain,
    const UpstreamId& aNotThis) const;
  /// Loads an adapter once there is a place for it, dropping others, those
  /// with the fewest calls in progress first and then the least asked for.
  void LoadInto(const DemandTracker::Key& aKey,
                const UpstreamId& aEngine,
                uint32_t aDropsLeft,
                const std::function<void(bool)>& aDone);
  /// Tries another engine after one that did not load the adapter.
  void LoadElsewhere(const DemandTracker::Key& aKey,
                     const FailureDomainId& aDomain,
                     const UpstreamId& aFailed,
                     const std::function<void(UpstreamId)>& aDone);
  [[nodiscard]] std::optional<ModelTarget> ChooseVictim(
    const DemandTracker::Key& aKey,
    const EngineRecord& aRecord,
    uint32_t aSkip) const;

  Parts m_parts;
  Limits m_limits;
  std::function<bool()> m_hasLease;
  EngineDirectory m_directory;
  DemandTracker m_demand;
  EngineOrders m_orders;
  std::map<PoolId, StoreBudget> m_budgets;
  using AdapterLoadKey = std::pair<DemandTracker::Key, UpstreamId>;
  std::map<AdapterLoadKey, AdapterLoad> m_adapterLoads;
  std::shared_ptr<const RouteConfig> m_config;
  std::optional<FencingToken> m_term;
  TimePoint m_listDue;
  TimePoint m_planDue;
  bool m_isReadingList = false;
  uint64_t m_generation = 0;
};

} // namespace celeryspread
