#pragma once

#include <cstdint>
#include <map>
#include <set>
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
  /// Models that it holds once all orders are carried out.
  std::vector<std::string> m_models;
  /// Those of them that it serves already.
  std::set<std::string> m_served;
  /// Models whose weights it loads from its own memory or disk.
  std::set<std::string> m_copies;
  int64_t m_freeMegabytes = 0;
  /// Takes no further order now.
  bool m_isBusy = false;
  bool m_isLeaving = false;
};

/// A model to load or unload.
struct ModelMove
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
  /// Loads from the weight store that may begin now.
  size_t m_storeLoads = 0;
  /// Exchanges for balance; models without a copy are placed besides.
  size_t m_exchanges = 3;
};

/// Decides which engines hold which models, so that every model has a copy
/// and no engine gets much more of the calls than others.
///
/// Pattern answered: demand that moves from some models to others while each
/// engine can hold only a few. Of all copies that could be added, in free room
/// or in place of a model that others hold as well, the one is taken that
/// lowers the sum of squared engine loads most; loads are spread over the
/// holders as entries do it (ModelShares). What gains little is left, so that
/// models with like demand do not trade places.
/// @thread any; no state.
class ModelPlanner
{
public:
  /// Least worth of an exchange, in squared engine loads: about two models
  /// whose holders differ by a quarter of an engine.
  static constexpr double kMinGain = 0.03;
  /// Share of an engine's slots in use below which nothing is moved for
  /// balance: with so few calls, prompts seldom hold up each other's streams.
  static constexpr double kMinLoad = 0.3;
  /// Load that each copy stands for besides what is measured: before there is
  /// any demand, the copies tell what was asked for earlier.
  static constexpr double kPriorLoad = 0.01;

  /// Plans loads and the unloads that make room for them.
  /// @pre aLoads holds the calls in progress of each model, in engines' slots.
  static std::vector<ModelMove> Plan(
    const EngineSpec& aSpec,
    const std::vector<PlannedEngine>& aEngines,
    const std::map<std::string, double>& aLoads,
    PlanLimits aLimits);
};

} // namespace celeryspread
