#pragma once

#include <functional>
#include <map>
#include <memory>

#include "admission/engine_rates.h"
#include "fleet/demand_tracker.h"
#include "fleet/engine_orders.h"
#include "fleet/model_planner.h"
#include "fleet/store_budget.h"
#include "fleet/version_admission.h"
#include "quarantine/crash_investigation.h"

namespace celeryspread {

/// Manages all engines while this control instance has ownership: follows the
/// platform's list, places models by demand, and loads adapters on request.
/// @thread loop thread only.
class FleetOwner
{
public:
  /// Dependencies of FleetOwner; all references outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    EngineControl& m_control;
    EventLog& m_log;
  };
  /// Name of this instance, and limits of the platform.
  struct Options
  {
    /// The name that orders carry as their sender.
    InstanceId m_ownerId;
    /// How long the previous owner may still send orders.
    Duration m_ownerLease{};
    /// Window in which the weight store's rate holds.
    Duration m_storeWindow{};
    /// Engines refuse orders with an old fencing token, so a new owner need not
    /// wait until the lease of the previous owner has expired.
    bool m_enginesCheckFencing = false;
    /// Rate at which the platform accepts requests for pages of its list, from
    /// all instances together.
    double m_engineListCallsPerSecond = 1;
  };

  /// What the owner asks the replicated state. All functions are set.
  struct ReplicatedState
  {
    /// Returns whether this instance holds the leader's lease now.
    std::function<bool()> m_hasLease;
    /// Returns whether a software version is in the record of a pool.
    VersionAdmission::IsRecorded m_isVersionRecorded;
  };

  /// Prepares the owner, without ownership. @pre none.
  FleetOwner(Dependencies aDependencies,
             Options aOptions,
             ReplicatedState aState);
  ~FleetOwner();

  /// Acquires ownership for a term of leadership. @pre aTerm is larger than
  /// that of any previous owner.
  void AcquireOwnership(FencingToken aTerm);
  /// Loses ownership; orders and adapter loads in progress fail. @pre none.
  void LoseOwnership();
  /// Applies the route configuration in force. @pre not null.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);
  /// Runs periodic work. @pre called several times a second.
  void Tick();
  /// Records the demand that an entry counted since its last report. @pre none.
  void RecordDemand(const DemandTracker::Key& aKey, const CallDemand& aDemand);
  /// Checks whether an engine on which an entry's attempts failed still
  /// answers. If it does not, its copies don't count until it answers again, as
  /// the platform's list shows a crashed engine for some seconds more. @pre
  /// none.
  void CheckEngine(const UpstreamId& aEngine);
  /// Loads an adapter. aDone is called exactly once, with the engine that holds
  /// the adapter, or with an empty id when it can't be loaded now.
  /// @pre aPreferred names the engine that suits the call best, or is empty.
  void LoadAdapter(const DemandTracker::Key& aKey,
                   const FailureDomainId& aDomain,
                   const UpstreamId& aPreferred,
                   std::function<void(UpstreamId)> aDone);

  /// Records an engine that ended, as an entry saw it. The engine is asked
  /// whether it still answers. @pre none.
  void RecordCrash(const CrashRecord& aRecord);
  /// Records a sound answer with a prompt part. @pre none.
  void RecordSound(const PromptPartId& aPart, TimePoint aBegunAt);
  /// Adds what an earlier owner knew about a prompt part. @pre none.
  void RestoreSuspect(const SuspectPart& aPart);
  /// Returns whether one call with a part that is held back may be sent now.
  /// @pre none.
  [[nodiscard]] bool TryStartTrial(const PromptPartId& aPart);
  /// Takes one request from the rate of an engine, which an entry learned from
  /// the engine's answer. @pre aRequestsPerSecond > 0.
  [[nodiscard]] EngineRates::Grant TakeRate(const UpstreamId& aEngine,
                                            double aRequestsPerSecond);
  /// Records that an engine no longer limits its requests. @pre none.
  void EndRateLimit(const UpstreamId& aEngine);
  /// Returns what is known about parts that may end engines. @pre none.
  [[nodiscard]] const CrashInvestigation& Crashes() const { return m_crashes; }
  /// Returns the engines as this owner knows them. @pre none.
  [[nodiscard]] const EngineDirectory& Directory() const { return m_directory; }
  /// Returns the software versions of the list, also of engines that are not
  /// in the directory yet. @pre none.
  [[nodiscard]] const VersionAdmission& Versions() const { return m_versions; }
  /// Returns when the reading of the list began that the directory shows.
  /// @pre Directory().HasList().
  [[nodiscard]] TimePoint ListReadAt() const { return m_listReadAt; }
  /// Returns the term of ownership; empty without ownership.
  /// @pre none.
  [[nodiscard]] std::optional<FencingToken> Term() const { return m_term; }

private:
  /// An adapter load in progress and the requests that wait for it.
  struct AdapterLoad
  {
    std::vector<std::function<void(UpstreamId)>> m_callbacks;
  };

  [[nodiscard]] const EngineSpec* SpecOf(const PoolId& aPool) const;
  /// Returns the time between two readings of a list with this many engines.
  [[nodiscard]] Duration ListPeriod(size_t aEngines) const;
  void ReadList();
  /// Logs which parts are held back since the last call, and which no longer.
  void LogHeldParts();
  void Plan(TimePoint aNow);
  void PlanPool(const Pool& aPool, TimePoint aNow);
  /// Sets the part of each limited engine that the calls of the pool can't use.
  void SetUnusableLoads(const Pool& aPool,
                        const std::map<std::string, double>& aLoads,
                        std::vector<PlannedEngine>& aEngines) const;
  /// Returns how many standby copies may be loaded from the weight store now.
  [[nodiscard]] static size_t StandbyLoads(
    const std::vector<PlannedEngine>& aEngines,
    StoreBudget& aBudget,
    TimePoint aNow);
  [[nodiscard]] const EngineRecord* FindHolder(
    const DemandTracker::Key& aKey) const;
  [[nodiscard]] const EngineRecord* ChooseForAdapter(
    const DemandTracker::Key& aKey,
    const FailureDomainId& aDomain,
    const UpstreamId& aExcluded) const;
  /// Loads an adapter, and evicts others first if no adapter slot is free.
  /// The adapter with the fewest calls in progress is evicted first; between
  /// equal ones, the one with the lower call rate.
  void LoadOnEngine(const DemandTracker::Key& aKey,
                    const UpstreamId& aEngine,
                    uint32_t aEvictionsLeft,
                    const std::function<void(bool)>& aDone);
  /// Loads an adapter on another engine after one that failed to.
  void LoadOnAnotherEngine(const DemandTracker::Key& aKey,
                           const FailureDomainId& aDomain,
                           const UpstreamId& aFailedEngine,
                           const std::function<void(UpstreamId)>& aDone);
  [[nodiscard]] std::optional<ModelTarget> ChooseEvictionCandidate(
    const DemandTracker::Key& aKey,
    const EngineRecord& aRecord,
    uint32_t aSkipped) const;

  Dependencies m_deps;
  Options m_options;
  std::function<bool()> m_hasLease;
  VersionAdmission m_versions;
  EngineDirectory m_directory;
  DemandTracker m_demand;
  EngineOrders m_orders;
  CrashInvestigation m_crashes;
  EngineRates m_rates;
  std::map<UpstreamId, TimePoint> m_rateEndedAt;
  /// Engines that are asked whether they still answer after a crash.
  std::set<UpstreamId> m_crashChecks;
  /// When a check last got no answer from an engine.
  std::map<UpstreamId, TimePoint> m_checkFailedAt;
  std::set<PromptPartId> m_heldParts;
  std::map<PoolId, StoreBudget> m_budgets;
  using AdapterLoadKey = std::pair<DemandTracker::Key, UpstreamId>;
  std::map<AdapterLoadKey, AdapterLoad> m_adapterLoads;
  std::shared_ptr<const RouteConfig> m_config;
  std::optional<FencingToken> m_term;
  TimePoint m_listDue;
  TimePoint m_planDue;
  TimePoint m_listReadAt;
  bool m_isReadingList = false;
  uint64_t m_generation = 0;
};

} // namespace celeryspread
