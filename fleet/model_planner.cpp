#include "fleet/model_planner.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "fleet/model_shares.h"

namespace celeryspread {

namespace {

/// A load from the store takes seconds, one from a disk a fraction of one.
constexpr double kStoreFactor = 0.9;
/// A second copy in a domain saves no call the way to another one.
constexpr double kSameDomainFactor = 0.95;
/// An unload takes some time, and the copy may be missed later.
constexpr double kIdleVictimFactor = 0.9;
/// It waits for the calls in progress, about as long as a load takes.
constexpr double kBusyVictimFactor = 0.5;
/// Load of a copy above which it surely has calls in progress.
constexpr double kBusyVictimShare = 0.03;
/// Models looked at for another copy, those with the most to gain first.
constexpr size_t kModelsTried = 12;

/// Working copy of the placement while a plan is made.
class Draft
{
public:
  Draft(const EngineSpec& aSpec,
        std::vector<PlannedEngine> aEngines,
        const std::map<std::string, double>& aLoads,
        PlanLimits aLimits)
    : m_engines(std::move(aEngines))
    , m_limits(aLimits)
    , m_shares(aSpec.m_models.size(), m_engines.size())
    , m_servedCopies(aSpec.m_models.size())
  {
    for (const auto& [name, spec] : aSpec.m_models) {
      m_models.push_back({ name, static_cast<int64_t>(spec.m_megabytes) });
    }
    std::map<std::string, size_t> indexes;
    for (size_t i = 0; i < m_models.size(); ++i) {
      indexes[m_models[i].m_name] = i;
    }
    m_held.resize(m_engines.size());
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
      for (const std::string& name : m_engines[engine].m_models) {
        const auto found = indexes.find(name);
        if (found != indexes.end() && !m_engines[engine].m_isLeaving) {
          m_held[engine].push_back(found->second);
          m_shares.AddCopy(found->second, engine);
          m_servedCopies[found->second] +=
            Serves(engine, found->second) ? 1 : 0;
        }
      }
    }
    for (size_t i = 0; i < m_models.size(); ++i) {
      const auto load = aLoads.find(m_models[i].m_name);
      m_shares.SetLoad(i,
                       ModelPlanner::kPriorLoad *
                           static_cast<double>(m_shares.Copies(i)) +
                         (load == aLoads.end() ? 0 : load->second));
    }
    m_shares.Settle();
  }

  /// Places every model that no engine holds, the busiest first.
  void PlaceMissing()
  {
    std::vector<size_t> missing;
    for (size_t i = 0; i < m_models.size(); ++i) {
      if (m_shares.Copies(i) == 0) {
        missing.push_back(i);
      }
    }
    std::stable_sort(
      missing.begin(), missing.end(), [&](size_t aLeft, size_t aRight) {
        return m_shares.Load(aLeft) > m_shares.Load(aRight);
      });
    for (const size_t model : missing) {
      if (const auto choice = BestPlace(model)) {
        Commit(*choice);
      }
    }
  }

  /// Adds the copy that helps most. @return false when none is worth it.
  bool Balance()
  {
    std::vector<size_t> models;
    for (size_t i = 0; i < m_models.size(); ++i) {
      if (m_shares.Copies(i) > 0 &&
          m_shares.Level(i) >= ModelPlanner::kMinLoad) {
        models.push_back(i);
      }
    }
    const auto pressure = [&](size_t aModel) {
      return m_shares.Level(aModel) * std::min(1.0, m_shares.Load(aModel));
    };
    std::sort(models.begin(), models.end(), [&](size_t aLeft, size_t aRight) {
      return pressure(aLeft) > pressure(aRight);
    });
    models.resize(std::min(models.size(), kModelsTried));
    std::optional<Choice> best;
    for (const size_t model : models) {
      const auto choice = BestPlace(model);
      if (choice && (!best || choice->m_gain > best->m_gain)) {
        best = choice;
      }
    }
    if (!best || best->m_gain < ModelPlanner::kMinGain) {
      return false;
    }
    Commit(*best);
    return true;
  }

  [[nodiscard]] std::vector<ModelMove> TakeMoves()
  {
    return std::move(m_moves);
  }

private:
  struct Model
  {
    std::string m_name;
    int64_t m_megabytes;
  };
  struct Choice
  {
    size_t m_model = 0;
    size_t m_engine = 0;
    std::optional<size_t> m_victim;
    double m_gain = -std::numeric_limits<double>::infinity();
    bool m_isFromStore = false;
  };

  /// Failure domains in which a model is held.
  [[nodiscard]] std::set<FailureDomainId> DomainsOf(size_t aModel) const
  {
    std::set<FailureDomainId> domains;
    for (size_t i = 0; i < m_engines.size(); ++i) {
      if (Holds(i, aModel)) {
        domains.insert(m_engines[i].m_domain);
      }
    }
    return domains;
  }

  [[nodiscard]] bool Serves(size_t aEngine, size_t aModel) const
  {
    return m_engines[aEngine].m_served.contains(m_models[aModel].m_name);
  }

  /// Tells whether another engine serves a model now and keeps it.
  [[nodiscard]] bool IsServedElsewhere(size_t aModel, size_t aEngine) const
  {
    const size_t own = Serves(aEngine, aModel) ? 1 : 0;
    return m_servedCopies[aModel] > own;
  }

  [[nodiscard]] bool Holds(size_t aEngine, size_t aModel) const
  {
    const auto& held = m_held[aEngine];
    return std::find(held.begin(), held.end(), aModel) != held.end();
  }

  /// Change of the sum of squared engine loads, by which one overloaded engine
  /// counts for more than several that are half full.
  [[nodiscard]] double Gain(const Choice& aChoice) const
  {
    double load = m_shares.EngineLoad(aChoice.m_engine);
    double gain = 0;
    if (aChoice.m_victim) {
      const size_t victim = *aChoice.m_victim;
      const double share = m_shares.Share(victim, aChoice.m_engine);
      const double others =
        static_cast<double>(std::max<size_t>(2, m_shares.Copies(victim)) - 1);
      const double rest = load - share;
      gain += load * load - rest * rest;
      gain -= 2 * share * m_shares.LeastElsewhere(victim, aChoice.m_engine) +
              share * share / others;
      load = rest;
    }
    const size_t copies = m_shares.UsedCopies(aChoice.m_model);
    const double whole = m_shares.Load(aChoice.m_model);
    if (copies == 0) {
      return gain - 2 * load * whole - whole * whole;
    }
    const double level = m_shares.Level(aChoice.m_model);
    const auto used = static_cast<double>(copies);
    const double moved =
      std::clamp((level - load) * used / (used + 1), 0.0, whole);
    return gain + 2 * moved * (level - load) - moved * moved / used -
           moved * moved;
  }

  void Consider(Choice aChoice,
                const std::set<FailureDomainId>& aDomains,
                std::optional<Choice>& aBest) const
  {
    const PlannedEngine& engine = m_engines[aChoice.m_engine];
    aChoice.m_isFromStore =
      !engine.m_copies.contains(m_models[aChoice.m_model].m_name);
    if (aChoice.m_isFromStore && m_limits.m_storeLoads == 0) {
      return;
    }
    double factor = aChoice.m_isFromStore ? kStoreFactor : 1;
    if (aChoice.m_victim) {
      const bool isBusy =
        m_shares.Share(*aChoice.m_victim, aChoice.m_engine) > kBusyVictimShare;
      factor *= isBusy ? kBusyVictimFactor : kIdleVictimFactor;
    }
    factor *= aDomains.contains(engine.m_domain) ? kSameDomainFactor : 1;
    const double gain = Gain(aChoice);
    aChoice.m_gain = gain > 0 ? gain * factor : gain / factor;
    if (!aBest || aChoice.m_gain > aBest->m_gain) {
      aBest = aChoice;
    }
  }

  std::optional<Choice> BestPlace(size_t aModel) const
  {
    std::optional<Choice> best;
    const std::set<FailureDomainId> domains = DomainsOf(aModel);
    for (size_t i = 0; i < m_engines.size(); ++i) {
      const PlannedEngine& engine = m_engines[i];
      if (engine.m_isBusy || engine.m_isLeaving || Holds(i, aModel)) {
        continue;
      }
      Choice choice;
      choice.m_model = aModel;
      choice.m_engine = i;
      const int64_t needed = m_models[aModel].m_megabytes;
      if (engine.m_freeMegabytes >= needed) {
        Consider(choice, domains, best);
        continue;
      }
      for (const size_t victim : m_held[i]) {
        const int64_t room =
          engine.m_freeMegabytes + m_models[victim].m_megabytes;
        if (IsServedElsewhere(victim, i) && room >= needed) {
          choice.m_victim = victim;
          Consider(choice, domains, best);
        }
      }
    }
    return best;
  }

  void Commit(const Choice& aChoice)
  {
    PlannedEngine& engine = m_engines[aChoice.m_engine];
    if (aChoice.m_victim) {
      m_moves.push_back(
        { engine.m_id, m_models[*aChoice.m_victim].m_name, false, false });
      m_servedCopies[*aChoice.m_victim] -=
        Serves(aChoice.m_engine, *aChoice.m_victim) ? 1 : 0;
      m_shares.DropCopy(*aChoice.m_victim, aChoice.m_engine);
      std::erase(m_held[aChoice.m_engine], *aChoice.m_victim);
    }
    m_moves.push_back({ engine.m_id,
                        m_models[aChoice.m_model].m_name,
                        true,
                        aChoice.m_isFromStore });
    m_limits.m_storeLoads -= aChoice.m_isFromStore ? 1 : 0;
    m_shares.AddCopy(aChoice.m_model, aChoice.m_engine);
    m_held[aChoice.m_engine].push_back(aChoice.m_model);
    m_shares.Settle();
    // An engine carries out one exchange at a time.
    engine.m_isBusy = true;
  }

  std::vector<PlannedEngine> m_engines;
  PlanLimits m_limits;
  ModelShares m_shares;
  std::vector<Model> m_models;
  /// Engines that serve each model now and keep it.
  std::vector<size_t> m_servedCopies;
  /// Models that each engine holds.
  std::vector<std::vector<size_t>> m_held;
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
