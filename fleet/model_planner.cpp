#include "fleet/model_planner.h"

#include <algorithm>
#include <limits>
#include <set>

namespace celeryspread {

namespace {

/// Working copy of the engines while a plan is made.
class Draft
{
public:
  Draft(const EngineSpec& aSpec,
        const std::vector<PlannedEngine>& aEngines,
        const std::map<std::string, ModelDemand>& aDemand)
    : m_spec(aSpec)
    , m_engines(aEngines)
    , m_demand(aDemand)
  {
    for (const PlannedEngine& engine : m_engines) {
      if (engine.m_isLeaving) {
        continue;
      }
      for (const std::string& model : engine.m_models) {
        ++m_copies[model];
      }
    }
  }

  [[nodiscard]] size_t Copies(const std::string& aModel) const
  {
    const auto found = m_copies.find(aModel);
    return found == m_copies.end() ? 0 : found->second;
  }

  [[nodiscard]] double Rate(const std::string& aModel) const
  {
    const auto found = m_demand.find(aModel);
    return found == m_demand.end() ? 0 : found->second.m_rate;
  }

  /// Calls a second at each of aCopies copies.
  [[nodiscard]] double RateAt(const std::string& aModel, size_t aCopies) const
  {
    return aCopies == 0 ? std::numeric_limits<double>::infinity()
                        : Rate(aModel) / static_cast<double>(aCopies);
  }

  /// Loads a model where there is room, or makes room by dropping a copy
  /// whose remaining copies stay below aMaxVictimRate.
  bool Place(const std::string& aModel,
             double aMaxVictimRate,
             std::vector<ModelMove>& aMoves)
  {
    const auto spec = m_spec.m_models.find(aModel);
    if (spec == m_spec.m_models.end()) {
      return false;
    }
    const auto needed = static_cast<int64_t>(spec->second.m_megabytes);
    PlannedEngine* best = nullptr;
    std::string bestVictim;
    double bestRate = aMaxVictimRate;
    for (PlannedEngine& engine : m_engines) {
      if (!IsOpen(engine, aModel)) {
        continue;
      }
      if (engine.m_freeMegabytes >= needed) {
        if (best == nullptr || !bestVictim.empty() ||
            DomainCopies(aModel, engine) < DomainCopies(aModel, *best)) {
          best = &engine;
          bestVictim.clear();
          bestRate = -1;
        }
        continue;
      }
      for (const std::string& victim : engine.m_models) {
        const size_t copies = Copies(victim);
        if (copies < 2 || !Fits(engine, victim, needed)) {
          continue;
        }
        const double rate = RateAt(victim, copies - 1);
        if (rate < bestRate) {
          best = &engine;
          bestVictim = victim;
          bestRate = rate;
        }
      }
    }
    if (best == nullptr) {
      return false;
    }
    Commit(*best, bestVictim, aModel, aMoves);
    return true;
  }

private:
  [[nodiscard]] static bool IsOpen(const PlannedEngine& aEngine,
                                   const std::string& aModel)
  {
    const auto& held = aEngine.m_models;
    return !aEngine.m_isBusy && !aEngine.m_isLeaving &&
           std::find(held.begin(), held.end(), aModel) == held.end();
  }

  [[nodiscard]] bool Fits(const PlannedEngine& aEngine,
                          const std::string& aVictim,
                          int64_t aNeeded) const
  {
    const auto victim = m_spec.m_models.find(aVictim);
    const int64_t freed =
      victim == m_spec.m_models.end()
        ? 0
        : static_cast<int64_t>(victim->second.m_megabytes);
    return aEngine.m_freeMegabytes + freed >= aNeeded;
  }

  [[nodiscard]] size_t DomainCopies(const std::string& aModel,
                                    const PlannedEngine& aEngine) const
  {
    return static_cast<size_t>(std::count_if(
      m_engines.begin(), m_engines.end(), [&](const PlannedEngine& aOther) {
        const auto& held = aOther.m_models;
        return aOther.m_domain == aEngine.m_domain &&
               std::find(held.begin(), held.end(), aModel) != held.end();
      }));
  }

  void Commit(PlannedEngine& aEngine,
              const std::string& aVictim,
              const std::string& aModel,
              std::vector<ModelMove>& aMoves)
  {
    if (!aVictim.empty()) {
      aMoves.push_back({ aEngine.m_id, aVictim, false });
      --m_copies[aVictim];
      std::erase(aEngine.m_models, aVictim);
    }
    aMoves.push_back({ aEngine.m_id, aModel, true });
    ++m_copies[aModel];
    aEngine.m_models.push_back(aModel);
    // One exchange for each engine and plan: an engine does one at a time.
    aEngine.m_isBusy = true;
  }

  const EngineSpec& m_spec;
  std::vector<PlannedEngine> m_engines;
  const std::map<std::string, ModelDemand>& m_demand;
  std::map<std::string, size_t> m_copies;
};

} // namespace

std::vector<ModelMove> ModelPlanner::Plan(
  const EngineSpec& aSpec,
  const std::vector<PlannedEngine>& aEngines,
  const std::map<std::string, ModelDemand>& aDemand,
  size_t aMaxLoads)
{
  Draft draft(aSpec, aEngines, aDemand);
  std::vector<ModelMove> moves;
  std::vector<std::string> missing;
  std::vector<std::string> held;
  for (const auto& [name, spec] : aSpec.m_models) {
    (draft.Copies(name) == 0 ? missing : held).push_back(name);
  }
  const auto byRate = [&](const std::string& aLeft, const std::string& aRight) {
    return draft.Rate(aLeft) > draft.Rate(aRight);
  };
  std::stable_sort(missing.begin(), missing.end(), byRate);
  size_t loads = 0;
  for (const std::string& model : missing) {
    if (loads >= aMaxLoads) {
      return moves;
    }
    const double noLimit = std::numeric_limits<double>::infinity();
    loads += draft.Place(model, noLimit, moves) ? 1 : 0;
  }
  while (loads < aMaxLoads) {
    const auto hottest = std::max_element(
      held.begin(), held.end(), [&](const auto& aLeft, const auto& aRight) {
        return draft.RateAt(aLeft, draft.Copies(aLeft)) <
               draft.RateAt(aRight, draft.Copies(aRight));
      });
    if (hottest == held.end()) {
      return moves;
    }
    const double rate = draft.RateAt(*hottest, draft.Copies(*hottest));
    if (rate < kMinRate || !draft.Place(*hottest, rate / kImbalance, moves)) {
      return moves;
    }
    ++loads;
  }
  return moves;
}

} // namespace celeryspread
