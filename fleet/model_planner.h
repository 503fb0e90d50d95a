#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "routes/route_config.h"

namespace celeryspread {

/// One engine as the planner sees it.
struct PlannedEngine
{
  UpstreamId m_id;
  FailureDomainId m_domain;
  std::vector<std::string> m_models;
  int64_t m_freeMegabytes = 0;
  /// Takes no further order now.
  bool m_isBusy = false;
  bool m_isLeaving = false;
};

/// Demand for one model.
struct ModelDemand
{
  /// Calls a second.
  double m_rate = 0;
  /// Calls refused lately because no engine held it.
  uint32_t m_misses = 0;
};

/// A model to load or unload.
struct ModelMove
{
  UpstreamId m_engine;
  std::string m_model;
  bool m_isLoad = true;
};

/// Decides which engines hold which models, so that every model has a copy
/// and busy models have as many as their share of the calls.
///
/// Pattern answered: demand that moves from some models to others while each
/// engine can hold only a few. A model moves only when it is more than
/// kImbalance times as loaded as the one that it replaces would become, so
/// that two models with like demand do not trade places for ever.
/// @thread any; no state.
class ModelPlanner
{
public:
  /// Load ratio beyond which a copy is exchanged.
  static constexpr double kImbalance = 2.0;
  /// Calls a second at one copy below which nothing is moved for balance.
  static constexpr double kMinRate = 1.5;

  /// Plans at most aMaxLoads loads and the unloads that make room for them.
  /// @pre none.
  static std::vector<ModelMove> Plan(
    const EngineSpec& aSpec,
    const std::vector<PlannedEngine>& aEngines,
    const std::map<std::string, ModelDemand>& aDemand,
    size_t aMaxLoads);
};

} // namespace celeryspread
