#include "fleet/model_planner.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace celeryspread {

namespace {

/// A load from the store takes seconds, one from a disk a fraction of one.
constexpr double kStorePenalty = 1.08;
/// A second copy in a domain saves no call the way to another one.
constexpr double kSameDomainPenalty = 1.04;

/// Working copy of the engines while a plan is made.
class Draft
{
public:
  Draft(const EngineSpec& aSpec,
        std::vector<PlannedEngine> aEngines,
        const std::map<std::string, double>& aLoads,
        PlanLimits aLimits)
    : m_spec(aSpec)
    , m_engines(std::move(aEngines))
    , m_loads(aLoads)
    , m_limits(aLimits)
  {
    std::erase_if(m_engines, [](const PlannedEngine& aEngine) {
      return aEngine.m_isLeaving;
    });
    for (const PlannedEngine& engine : m_engines) {
      for (const std::string& model : engine.m_models) {
        ++m_copies[model];
      }
    }
    for (const auto& [model, copies] : m_copies) {
      m_loads[model] += ModelPlanner::kPriorLoad * static_cast<double>(copies);
    }
  }

  [[nodiscard]] double Demand(const std::string& aModel) const
  {
    const auto found = m_loads.find(aModel);
    return found == m_loads.end() ? 0 : found->second;
  }

  /// Places every model that no engine holds, the busiest first.
  void PlaceMissing()
  {
    std::vector<std::string> missing;
    for (const auto& [name, spec] : m_spec.m_models) {
      if (Copies(name) == 0) {
        missing.push_back(name);
      }
    }
    std::stable_sort(missing.begin(),
                     missing.end(),
                     [&](const std::string& aLeft, const std::string& aRight) {
                       return Demand(aLeft) > Demand(aRight);
                     });
    for (const std::string& model : missing) {
      const auto choice = BestPlace(model);
      if (choice) {
        Commit(*choice, model);
      }
    }
  }

  /// Relieves the most loaded engine. @return false when nothing helps.
  bool Balance()
  {
    std::vector<PlannedEngine*> byLoad;
    for (PlannedEngine& engine : m_engines) {
      byLoad.push_back(&engine);
    }
    std::sort(byLoad.begin(), byLoad.end(), [&](auto* aLeft, auto* aRight) {
      return Load(*aLeft) > Load(*aRight);
    });
    // The most loaded engines may hold nothing that can be shared further.
    constexpr size_t kEnginesTried = 4;
    for (size_t i = 0; i < std::min(kEnginesTried, byLoad.size()); ++i) {
      const double load = Load(*byLoad[i]);
      if (load < ModelPlanner::kMinLoad) {
        return false;
      }
      const auto model = std::max_element(
        byLoad[i]->m_models.begin(),
        byLoad[i]->m_models.end(),
        [&](const std::string& aLeft, const std::string& aRight) {
          return Share(aLeft) < Share(aRight);
        });
      if (model == byLoad[i]->m_models.end()) {
        continue;
      }
      const std::string name = *model;
      const auto choice = BestPlace(name);
      if (choice && choice->m_load < load * ModelPlanner::kWorthwhile) {
        Commit(*choice, name);
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] std::vector<ModelMove> TakeMoves()
  {
    return std::move(m_moves);
  }

private:
  struct Choice
  {
    PlannedEngine* m_engine = nullptr;
    std::string m_victim;
    /// Largest load of an engine that the exchange touches.
    double m_load = std::numeric_limits<double>::infinity();
    bool m_isFromStore = false;
  };

  [[nodiscard]] size_t Copies(const std::string& aModel) const
  {
    const auto found = m_copies.find(aModel);
    return found == m_copies.end() ? 0 : found->second;
  }

  /// Load at each copy of a model.
  [[nodiscard]] double Share(const std::string& aModel) const
  {
    return Demand(aModel) /
           static_cast<double>(std::max<size_t>(1, Copies(aModel)));
  }

  [[nodiscard]] double Load(const PlannedEngine& aEngine) const
  {
    double load = 0;
    for (const std::string& model : aEngine.m_models) {
      load += Share(model);
    }
    return load;
  }

  [[nodiscard]] static bool Holds(const PlannedEngine& aEngine,
                                  const std::string& aModel)
  {
    const auto& models = aEngine.m_models;
    return std::find(models.begin(), models.end(), aModel) != models.end();
  }

  [[nodiscard]] bool IsInDomain(const std::string& aModel,
                                const FailureDomainId& aDomain) const
  {
    return std::any_of(
      m_engines.begin(), m_engines.end(), [&](const PlannedEngine& aEngine) {
        return aEngine.m_domain == aDomain && Holds(aEngine, aModel);
      });
  }

  /// Load of the busiest remaining holder of a model that loses one copy.
  [[nodiscard]] double LoadWithout(const std::string& aModel,
                                   const PlannedEngine& aLoser) const
  {
    const double more =
      Demand(aModel) / static_cast<double>(Copies(aModel) - 1) - Share(aModel);
    double load = 0;
    for (const PlannedEngine& engine : m_engines) {
      if (&engine != &aLoser && Holds(engine, aModel)) {
        load = std::max(load, Load(engine) + more);
      }
    }
    return load;
  }

  void Consider(PlannedEngine& aEngine,
                const std::string& aVictim,
                const std::string& aModel,
                Choice& aBest) const
  {
    const bool isFromStore = !aEngine.m_copies.contains(aModel);
    if (isFromStore && m_limits.m_storeLoads == 0) {
      return;
    }
    const double gained =
      Demand(aModel) / static_cast<double>(Copies(aModel) + 1);
    double load = Load(aEngine) + gained;
    if (!aVictim.empty()) {
      load -= Share(aVictim);
      load = std::max(load, LoadWithout(aVictim, aEngine));
    }
    load *= isFromStore ? kStorePenalty : 1;
    load *= IsInDomain(aModel, aEngine.m_domain) ? kSameDomainPenalty : 1;
    if (load < aBest.m_load) {
      aBest = { &aEngine, aVictim, load, isFromStore };
    }
  }

  std::optional<Choice> BestPlace(const std::string& aModel)
  {
    const auto spec = m_spec.m_models.find(aModel);
    if (spec == m_spec.m_models.end()) {
      return std::nullopt;
    }
    const auto needed = static_cast<int64_t>(spec->second.m_megabytes);
    Choice best;
    for (PlannedEngine& engine : m_engines) {
      if (engine.m_isBusy || Holds(engine, aModel)) {
        continue;
      }
      if (engine.m_freeMegabytes >= needed) {
        Consider(engine, "", aModel, best);
        continue;
      }
      for (const std::string& victim : engine.m_models) {
        const auto victimSpec = m_spec.m_models.find(victim);
        const int64_t freed =
          victimSpec == m_spec.m_models.end()
            ? 0
            : static_cast<int64_t>(victimSpec->second.m_megabytes);
        const bool isEnough = engine.m_freeMegabytes + freed >= needed;
        if (Copies(victim) >= 2 && isEnough) {
          Consider(engine, victim, aModel, best);
        }
      }
    }
    return best.m_engine == nullptr ? std::nullopt
                                    : std::optional<Choice>(best);
  }

  void Commit(const Choice& aChoice, const std::string& aModel)
  {
    PlannedEngine& engine = *aChoice.m_engine;
    if (!aChoice.m_victim.empty()) {
      m_moves.push_back({ engine.m_id, aChoice.m_victim, false, false });
      --m_copies[aChoice.m_victim];
      std::erase(engine.m_models, aChoice.m_victim);
    }
    m_moves.push_back({ engine.m_id, aModel, true, aChoice.m_isFromStore });
    m_limits.m_storeLoads -= aChoice.m_isFromStore ? 1 : 0;
    ++m_copies[aModel];
    engine.m_models.push_back(aModel);
    // An engine carries out one exchange at a time.
    engine.m_isBusy = true;
  }

  const EngineSpec& m_spec;
  std::vector<PlannedEngine> m_engines;
  std::map<std::string, double> m_loads;
  PlanLimits m_limits;
  std::map<std::string, size_t> m_copies;
  std::vector<ModelMove> m_moves;
};

} // namespace

std::vector<ModelMove> ModelPlanner::Plan(
  const EngineSpec& aSpec,
  const std::vector<PlannedEngine>& aEngines,
  const std::map<std::string, double>& aLoads,
  PlanLimits aLimits)
{
  Draft draft(aSpec, aEngines, aLoads, aLimits);
  draft.PlaceMissing();
  for (size_t i = 0; i < aLimits.m_exchanges && draft.Balance(); ++i) {
  }
  return draft.TakeMoves();
}

} // namespace celeryspread
