#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "routes/route_config.h"

namespace celeryspread {

/// State of one engine that the planner needs.
struct PlannedEngine
{
  UpstreamId m_id;
  FailureDomainId m_domain;
  /// Models that it will hold once all orders to it are carried out.
  std::vector<std::string> m_models;
  /// Those of m_models that it serves already.
  std::set<std::string> m_served;
  /// Models whose weights it has cached in memory or on disk.
  std::set<std::string> m_cachedWeights;
  int64_t m_freeMegabytes = 0;
  /// Part of the engine's capacity that calls can't use, as the engine limits
  /// its requests.
  double m_unusableLoad = 0;
  /// It gets no order in this plan.
  bool m_isBusy = false;
  /// It stops soon, or it does not answer: it gets no order, and its copies do
  /// not count.
  bool m_isUnavailable = false;
};

/// A model load or unload that a plan contains.
struct PlannedOrder
{
  UpstreamId m_engine;
  std::string m_model;
  bool m_isLoad = true;
  /// The load reads from the weight store.
  bool m_isFromStore = false;
};

/// Limits of one plan.
struct PlanLimits
{
  /// Loads from the weight store that may start now.
  size_t m_storeLoads = 0;
  /// Copies added for balance, each with at most one eviction. Models without a
  /// copy are placed in addition.
  size_t m_balancingCopies = 3;
  /// Loads from the weight store that may start now for standby copies.
  size_t m_standbyLoads = 0;
};

/// Decides which engines hold which models, so that every model has a copy
/// and no engine gets much more of the calls than others.
///
/// Demand shifts from some models to others, while each engine can hold only a
/// few models. The planner therefore considers every copy that could be added,
/// either in free memory or by evicting a model that another engine serves as
/// well. It adds the copy that lowers the sum of squared engine loads most,
/// with loads spread over the holders as entries spread calls (ModelShares). A
/// copy with little gain is not added, so that models with similar demand do
/// not keep evicting each other.
///
/// A load from the weight store takes longer than many shifts of demand last,
/// one from an engine's own cache a fraction of a second. Store loads that
/// demand does not need are therefore used for standby copies in free memory:
/// they serve calls, and leave weights in the caches of more engines.
/// @thread any; no state.
class ModelPlanner
{
public:
  /// Least gain for which a copy is added, in squared engine loads. A copy
  /// gains about this much when it evens out two engines whose loads differ by
  /// a quarter of an engine's slots.
  static constexpr double kMinGain = 0.03;
  /// Share of the holders' slots in use below which a model gets no further
  /// copy for balance: with so few calls, prompts seldom delay each other's
  /// streams.
  static constexpr double kMinLoad = 0.3;
  /// Load, as a share of an engine's slots, that is added to the reported load
  /// of a model for each of its copies. Before entries report any demand, the
  /// copies show which models were in demand earlier.
  static constexpr double kPriorLoad = 0.01;

  /// Least gain, and least share of the holders' slots in use, for which a copy
  /// is added in free memory, where it evicts nothing.
  static constexpr double kMinGainInFreeMemory = 0.002;
  static constexpr double kMinLoadForFreeMemory = 0.08;

  /// Plans loads and the evictions that they need.
  /// @pre aLoads holds the calls in progress of each model, divided by the
  /// slots of an engine.
  static std::vector<PlannedOrder> Plan(
    const EngineSpec& aSpec,
    const std::vector<PlannedEngine>& aEngines,
    const std::map<std::string, double>& aLoads,
    PlanLimits aLimits);
};

} // namespace celeryspread
