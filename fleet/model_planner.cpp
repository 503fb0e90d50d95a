#include "fleet/model_planner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

#include "fleet/model_shares.h"

namespace celeryspread {

namespace {

/// Factors on the gain of a candidate, for what the gain does not include.
///
/// A load from the weight store takes seconds, one from cached weights a
/// fraction of a second.
constexpr double kStoreLoadFactor = 0.9;
/// A second copy in a failure domain saves no call the network latency to
/// another domain.
constexpr double kSameDomainFactor = 0.95;
/// An eviction takes some time, and the evicted copy may be needed again later.
constexpr double kIdleEvictionFactor = 0.9;
/// The eviction of a copy with calls in progress waits for them, about as long
/// as a load takes.
constexpr double kBusyEvictionFactor = 0.5;
/// Cost of an eviction for each unit of the evicted copy's load, in squared
/// engine loads. Its calls keep the engine busy until they end, while the other
/// holders get the new calls and the new copy can't be loaded.
constexpr double kDrainCost = 0.5;
/// Load of a copy, as a share of an engine's slots, above which it is assumed
/// to have calls in progress.
constexpr double kBusyCopyLoad = 0.03;
/// Engines with the weights of a model above which it gets no standby copy.
/// Each load from the store has a price, and demand adds further copies by
/// itself.
constexpr size_t kMaxStandbyEngines = 3;
/// Load of a model below which it may lose its last copy where not all models
/// fit, and the factor by which the demand for the other must be larger. Models
/// that are called now and then would keep evicting each other without it.
constexpr double kMaxIdleDemand = 0.02;
constexpr double kMinDemandRatio = 2;
/// Models that are considered for a further copy: those with the largest
/// product of their holders' common load and their own load, which counts as at
/// most one engine.
constexpr size_t kMaxModelsTried = 12;

/// The orders planned so far, and the placement that results from them.
class PlacementPlan
{
public:
  PlacementPlan(const EngineSpec& aSpec,
                std::vector<PlannedEngine> aEngines,
                const std::map<std::string, double>& aLoads,
                PlanLimits aLimits)
    : m_engines(std::move(aEngines))
    , m_limits(aLimits)
    , m_shares(aSpec.m_models.size(), m_engines.size())
    , m_servedCopies(aSpec.m_models.size())
    , m_cacheMegabytes(static_cast<int64_t>(aSpec.m_cacheMegabytes))
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
        if (found != indexes.end() && !m_engines[engine].m_isUnavailable) {
          m_held[engine].push_back(found->second);
          m_shares.AddCopy(found->second, engine);
          m_servedCopies[found->second] +=
            Serves(engine, found->second) ? 1 : 0;
        }
      }
    }
    for (size_t i = 0; i < m_models.size(); ++i) {
      const auto load = aLoads.find(m_models[i].m_name);
      m_demand.push_back(load == aLoads.end() ? 0 : load->second);
      m_shares.SetLoad(i,
                       ModelPlanner::kPriorLoad *
                           static_cast<double>(m_shares.CopyCount(i)) +
                         m_demand.back());
    }
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
      m_shares.SetBaseLoad(engine, m_engines[engine].m_unusableLoad);
    }
    m_isScarce = IsMemoryScarce(aSpec);
    m_shares.Distribute();
  }

  /// Places every model that no engine holds, those with the most load first.
  /// Where not all models fit, only those that are called are placed.
  void PlaceMissingModels()
  {
    std::vector<size_t> missing;
    for (size_t i = 0; i < m_models.size(); ++i) {
      const bool isWanted = !m_isScarce || m_demand[i] > 0;
      if (m_shares.CopyCount(i) == 0 && isWanted) {
        missing.push_back(i);
      }
    }
    std::stable_sort(
      missing.begin(), missing.end(), [&](size_t aLeft, size_t aRight) {
        return m_shares.ModelLoad(aLeft) > m_shares.ModelLoad(aRight);
      });
    for (const size_t model : missing) {
      if (const auto candidate = FindBestCandidate(model)) {
        AddToPlan(*candidate);
      }
    }
  }

  /// Adds the copy with the largest gain. @return false when no copy gains
  /// enough.
  bool AddBestCopy()
  {
    std::vector<size_t> models;
    for (size_t i = 0; i < m_models.size(); ++i) {
      if (m_shares.CopyCount(i) > 0 &&
          m_shares.CommonLoad(i) >= ModelPlanner::kMinLoadForFreeMemory) {
        models.push_back(i);
      }
    }
    const auto priority = [&](size_t aModel) {
      return m_shares.CommonLoad(aModel) *
             std::min(1.0, m_shares.ModelLoad(aModel));
    };
    std::sort(models.begin(), models.end(), [&](size_t aLeft, size_t aRight) {
      return priority(aLeft) > priority(aRight);
    });
    models.resize(std::min(models.size(), kMaxModelsTried));
    std::optional<Candidate> best;
    for (const size_t model : models) {
      const auto candidate = FindBestCandidate(model);
      if (candidate && IsWorthwhile(*candidate) &&
          (!best || candidate->m_gain > best->m_gain)) {
        best = candidate;
      }
    }
    if (!best) {
      return false;
    }
    AddToPlan(*best);
    return true;
  }

  /// Adds a copy of the model whose weights the fewest engines hold or have
  /// cached, on an engine without them. @return false when there is none.
  bool AddStandbyCopy()
  {
    if (m_weights.empty()) {
      IndexWeights();
    }
    std::vector<size_t> models(m_models.size());
    std::iota(models.begin(), models.end(), 0);
    std::sort(models.begin(), models.end(), [&](size_t aLeft, size_t aRight) {
      return std::pair(m_weightHolders[aLeft], -m_shares.ModelLoad(aLeft)) <
             std::pair(m_weightHolders[aRight], -m_shares.ModelLoad(aRight));
    });
    for (const size_t model : models) {
      if (m_weightHolders[model] >= m_standbyTarget) {
        break;
      }
      if (const auto standby = FindStandby(model)) {
        m_weights[standby->m_engine][model] = true;
        m_cachedMegabytes[standby->m_engine] += m_models[model].m_megabytes;
        ++m_weightHolders[model];
        AddToPlan(*standby);
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] std::vector<PlannedOrder> TakeOrders()
  {
    return std::move(m_orders);
  }

private:
  struct Model
  {
    std::string m_name;
    int64_t m_megabytes;
  };
  /// A copy that could be added, and the model it would evict.
  struct Candidate
  {
    size_t m_model = 0;
    size_t m_engine = 0;
    std::optional<size_t> m_evicted;
    double m_gain = -std::numeric_limits<double>::infinity();
    bool m_isFromStore = false;
  };

  /// Returns whether a candidate gains enough for the copy that it evicts.
  [[nodiscard]] bool IsWorthwhile(const Candidate& aCandidate) const
  {
    if (!aCandidate.m_evicted) {
      return aCandidate.m_gain >= ModelPlanner::kMinGainInFreeMemory;
    }
    return aCandidate.m_gain >= ModelPlanner::kMinGain &&
           m_shares.CommonLoad(aCandidate.m_model) >= ModelPlanner::kMinLoad;
  }

  /// Finds out which engines can load which models without the weight store.
  void IndexWeights()
  {
    m_weights.assign(m_engines.size(), std::vector<bool>(m_models.size()));
    m_weightHolders.assign(m_models.size(), 0);
    m_cachedMegabytes.assign(m_engines.size(), 0);
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
      if (m_engines[engine].m_isUnavailable) {
        continue;
      }
      const auto& cached = m_engines[engine].m_cachedWeights;
      for (size_t model = 0; model < m_models.size(); ++model) {
        // Every load leaves a cached copy.
        if (Holds(engine, model) || cached.contains(m_models[model].m_name)) {
          m_weights[engine][model] = true;
          m_cachedMegabytes[engine] += m_models[model].m_megabytes;
          ++m_weightHolders[model];
        }
      }
    }
    int64_t allModels = 0;
    for (const Model& model : m_models) {
      allModels += model.m_megabytes;
    }
    // More would only evict each other from the caches.
    const auto cacheable =
      static_cast<size_t>(static_cast<int64_t>(m_engines.size()) *
                          m_cacheMegabytes / std::max<int64_t>(1, allModels));
    m_standbyTarget = std::min(cacheable, kMaxStandbyEngines);
  }

  /// Returns the best engine for a standby copy of a model: one without its
  /// weights that has free memory. Evicting a copy for it would slow down the
  /// next change on that engine.
  [[nodiscard]] std::optional<Candidate> FindStandby(size_t aModel) const
  {
    const int64_t needed = m_models[aModel].m_megabytes;
    const std::set<FailureDomainId> domains = DomainsOf(aModel);
    std::optional<Candidate> best;
    std::pair<bool, int64_t> bestRank;
    for (size_t i = 0; i < m_engines.size(); ++i) {
      const PlannedEngine& engine = m_engines[i];
      if (engine.m_isBusy || engine.m_isUnavailable || m_weights[i][aModel] ||
          engine.m_freeMegabytes < needed) {
        continue;
      }
      const std::pair rank{ domains.contains(engine.m_domain),
                            m_cachedMegabytes[i] };
      if (!best || rank < bestRank) {
        best = Candidate();
        best->m_model = aModel;
        best->m_engine = i;
        best->m_isFromStore = true;
        bestRank = rank;
      }
    }
    return best;
  }

  /// Returns the failure domains in which a model is held.
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

  /// Returns whether the engines can't hold a copy of each model.
  [[nodiscard]] bool IsMemoryScarce(const EngineSpec& aSpec) const
  {
    const auto engines = static_cast<int64_t>(std::count_if(
      m_engines.begin(), m_engines.end(), [](const PlannedEngine& aEngine) {
        return !aEngine.m_isUnavailable;
      }));
    int64_t needed = 0;
    for (const Model& model : m_models) {
      needed += model.m_megabytes;
    }
    return needed > engines * static_cast<int64_t>(aSpec.m_weightMegabytes);
  }

  /// Returns whether another engine serves a model now and keeps it.
  [[nodiscard]] bool IsServedElsewhere(size_t aModel, size_t aEngine) const
  {
    const size_t own = Serves(aEngine, aModel) ? 1 : 0;
    return m_servedCopies[aModel] > own;
  }

  /// Returns whether a copy may be evicted for another model. Where all models
  /// fit into the engines, each keeps a copy. Where they do not, a model may
  /// lose its last copy to one with more demand.
  [[nodiscard]] bool MayEvict(size_t aEvicted,
                              size_t aEngine,
                              size_t aModel) const
  {
    return IsServedElsewhere(aEvicted, aEngine) ||
           (m_isScarce && Serves(aEngine, aEvicted) &&
            m_demand[aEvicted] < kMaxIdleDemand &&
            kMinDemandRatio * m_demand[aEvicted] < m_demand[aModel]);
  }

  [[nodiscard]] bool Holds(size_t aEngine, size_t aModel) const
  {
    const auto& held = m_held[aEngine];
    return std::find(held.begin(), held.end(), aModel) != held.end();
  }

  /// Returns the decrease of the sum of squared engine loads. In this sum one
  /// overloaded engine counts for more than several half-loaded ones.
  [[nodiscard]] double Gain(const Candidate& aCandidate) const
  {
    double load = m_shares.EngineLoad(aCandidate.m_engine);
    double gain = 0;
    if (aCandidate.m_evicted) {
      const size_t evicted = *aCandidate.m_evicted;
      const double copyLoad = m_shares.CopyLoad(evicted, aCandidate.m_engine);
      const double others = static_cast<double>(
        std::max<size_t>(2, m_shares.CopyCount(evicted)) - 1);
      const double remaining = load - copyLoad;
      gain += load * load - remaining * remaining;
      // The load of the evicted copy is assumed to move to the other holders in
      // equal parts, and each of them to be loaded like the least loaded one.
      gain -= 2 * copyLoad *
                m_shares.LeastOtherHolderLoad(evicted, aCandidate.m_engine) +
              copyLoad * copyLoad / others;
      gain -= kDrainCost * copyLoad;
      load = remaining;
    }
    const size_t usedCopies = m_shares.UsedCopyCount(aCandidate.m_model);
    const double modelLoad = m_shares.ModelLoad(aCandidate.m_model);
    if (usedCopies == 0) {
      // There is no holder to relieve; the copy gets the model's whole load.
      return gain - 2 * load * modelLoad - modelLoad * modelLoad;
    }
    const double commonLoad = m_shares.CommonLoad(aCandidate.m_model);
    const auto holders = static_cast<double>(usedCopies);
    // The holders give up equal parts until they are loaded like the engine of
    // the new copy.
    const double moved =
      std::clamp((commonLoad - load) * holders / (holders + 1), 0.0, modelLoad);
    return gain + 2 * moved * (commonLoad - load) - moved * moved / holders -
           moved * moved;
  }

  /// Replaces aBest with a candidate that has a larger weighted gain.
  void Consider(Candidate aCandidate,
                const std::set<FailureDomainId>& aDomains,
                std::optional<Candidate>& aBest) const
  {
    const PlannedEngine& engine = m_engines[aCandidate.m_engine];
    aCandidate.m_isFromStore =
      !engine.m_cachedWeights.contains(m_models[aCandidate.m_model].m_name);
    if (aCandidate.m_isFromStore && m_limits.m_storeLoads == 0) {
      return;
    }
    double factor = aCandidate.m_isFromStore ? kStoreLoadFactor : 1;
    if (aCandidate.m_evicted) {
      const bool isBusy =
        m_shares.CopyLoad(*aCandidate.m_evicted, aCandidate.m_engine) >
        kBusyCopyLoad;
      factor *= isBusy ? kBusyEvictionFactor : kIdleEvictionFactor;
    }
    factor *= aDomains.contains(engine.m_domain) ? kSameDomainFactor : 1;
    const double gain = Gain(aCandidate);
    // A negative gain is divided, so that the factors lower it as well.
    aCandidate.m_gain = gain > 0 ? gain * factor : gain / factor;
    if (!aBest || aCandidate.m_gain > aBest->m_gain) {
      aBest = aCandidate;
    }
  }

  /// Returns the candidate with the largest weighted gain for a model; empty
  /// when there is none.
  std::optional<Candidate> FindBestCandidate(size_t aModel) const
  {
    std::optional<Candidate> best;
    const std::set<FailureDomainId> domains = DomainsOf(aModel);
    for (size_t i = 0; i < m_engines.size(); ++i) {
      const PlannedEngine& engine = m_engines[i];
      if (engine.m_isBusy || engine.m_isUnavailable || Holds(i, aModel)) {
        continue;
      }
      Candidate candidate;
      candidate.m_model = aModel;
      candidate.m_engine = i;
      const int64_t needed = m_models[aModel].m_megabytes;
      if (engine.m_freeMegabytes >= needed) {
        Consider(candidate, domains, best);
        continue;
      }
      for (const size_t evicted : m_held[i]) {
        const int64_t freeMegabytes =
          engine.m_freeMegabytes + m_models[evicted].m_megabytes;
        if (freeMegabytes >= needed && MayEvict(evicted, i, aModel)) {
          candidate.m_evicted = evicted;
          Consider(candidate, domains, best);
        }
      }
    }
    return best;
  }

  /// Adds the orders for a candidate to the plan and updates the placement.
  void AddToPlan(const Candidate& aCandidate)
  {
    PlannedEngine& engine = m_engines[aCandidate.m_engine];
    if (aCandidate.m_evicted) {
      m_orders.push_back(
        { engine.m_id, m_models[*aCandidate.m_evicted].m_name, false, false });
      m_servedCopies[*aCandidate.m_evicted] -=
        Serves(aCandidate.m_engine, *aCandidate.m_evicted) ? 1 : 0;
      m_shares.RemoveCopy(*aCandidate.m_evicted, aCandidate.m_engine);
      std::erase(m_held[aCandidate.m_engine], *aCandidate.m_evicted);
    }
    m_orders.push_back({ engine.m_id,
                         m_models[aCandidate.m_model].m_name,
                         true,
                         aCandidate.m_isFromStore });
    m_limits.m_storeLoads -= aCandidate.m_isFromStore ? 1 : 0;
    m_shares.AddCopy(aCandidate.m_model, aCandidate.m_engine);
    m_held[aCandidate.m_engine].push_back(aCandidate.m_model);
    m_shares.Distribute();
    // An engine gets at most one eviction and one load at a time.
    engine.m_isBusy = true;
  }

  std::vector<PlannedEngine> m_engines;
  PlanLimits m_limits;
  ModelShares m_shares;
  std::vector<Model> m_models;
  /// Engines that serve each model now and keep it.
  std::vector<size_t> m_servedCopies;
  /// Weights that an engine can cache. @unit megabytes.
  int64_t m_cacheMegabytes;
  /// For each engine, which models it could load without the weight store.
  std::vector<std::vector<bool>> m_weights;
  /// For each model, the number of engines that could load it so.
  std::vector<size_t> m_weightHolders;
  std::vector<int64_t> m_cachedMegabytes;
  /// Engines that should be able to load each model so.
  size_t m_standbyTarget = 0;
  /// Models that each engine holds.
  std::vector<std::vector<size_t>> m_held;
  /// Load of each model as reported.
  std::vector<double> m_demand;
  bool m_isScarce = false;
  std::vector<PlannedOrder> m_orders;
};

} // namespace

std::vector<PlannedOrder> ModelPlanner::Plan(
  const EngineSpec& aSpec,
  const std::vector<PlannedEngine>& aEngines,
  const std::map<std::string, double>& aLoads,
  PlanLimits aLimits)
{
  PlacementPlan plan(aSpec, aEngines, aLoads, aLimits);
  plan.PlaceMissingModels();
  for (size_t i = 0; i < aLimits.m_balancingCopies && plan.AddBestCopy(); ++i) {
  }
  for (size_t i = 0; i < aLimits.m_standbyLoads && plan.AddStandbyCopy(); ++i) {
  }
  return plan.TakeOrders();
}

} // namespace celeryspread
