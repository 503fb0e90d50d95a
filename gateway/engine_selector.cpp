#include "gateway/engine_selector.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Round trip to another region, with what its traffic costs.
constexpr Duration kOtherRegionCost = std::chrono::milliseconds(90);
/// Round trip to another domain of the region, with what its traffic costs.
constexpr Duration kOtherDomainCost = std::chrono::milliseconds(12);
/// A full batch slows each token of the others by about this much in total.
constexpr Duration kFullBatchCost = std::chrono::milliseconds(500);
/// Time for a full batch to turn over, the wait of a call behind it.
constexpr Duration kBatchTime = std::chrono::milliseconds(1000);
/// A prompt more pauses every stream of an engine that reads others already;
/// weights from trials, see docs/design/heavy-days.md.
constexpr int64_t kGapWeight = 4;
constexpr int64_t kUnreadWeight = 2;
/// Larger than any wait, so that doubtful upstreams come last.
constexpr Duration kDoubtCost = std::chrono::seconds(30);
/// Time until an adapter is loaded on request, a round trip to its owner
/// included, and what its load costs others.
constexpr Duration kAdapterCost = std::chrono::milliseconds(400);
/// Spreads calls over upstreams that look alike.
constexpr uint64_t kJitterMicros = 10'000;

} // namespace

EngineSelector::EngineSelector(const EngineTable& aTable,
                               FailureDomainId aOwnDomain,
                               DomainRegions aRegions,
                               RandomSource& aRandom)
  : m_table(aTable)
  , m_ownDomain(std::move(aOwnDomain))
  , m_regions(std::move(aRegions))
  , m_random(aRandom)
{
  const auto own = m_regions.find(m_ownDomain);
  m_ownRegion = own == m_regions.end() ? RegionId() : own->second;
}

Duration EngineSelector::DistanceCost(const FailureDomainId& aDomain) const
{
  if (aDomain == m_ownDomain) {
    return Duration::zero();
  }
  const auto region = m_regions.find(aDomain);
  const bool isOwnRegion =
    region != m_regions.end() && region->second == m_ownRegion;
  return isOwnRegion ? kOtherDomainCost : kOtherRegionCost;
}

Duration EngineSelector::ExpectedWait(const EngineState& aState, TimePoint aNow)
{
  const uint32_t load = aState.EstimatedLoad(aNow);
  const uint32_t slots = std::max<uint32_t>(1, aState.m_record.m_slots);
  Duration wait = aState.m_unreadPrompts;
  if (load >= slots) {
    wait += kBatchTime * (load - slots + 1) / slots;
  }
  return wait;
}

Duration EngineSelector::Cost(const EngineState& aState, TimePoint aNow) const
{
  const uint32_t load = aState.EstimatedLoad(aNow);
  const uint32_t slots = std::max<uint32_t>(1, aState.m_record.m_slots);
  Duration cost = kFullBatchCost * load / slots;
  cost += ExpectedWait(aState, aNow);
  cost += kGapWeight * aState.EventGap(aNow);
  cost += kUnreadWeight * aState.m_unreadPrompts;
  cost += DistanceCost(aState.m_record.m_domain);
  if (aNow < aState.m_avoidUntil || aState.IsSilent(aNow)) {
    cost += kDoubtCost;
  }
  return cost;
}

const EngineState* EngineSelector::ChooseForAdapter(const SelectQuery& aQuery,
                                                    const EngineState* aHolder,
                                                    TimePoint aNow)
{
  SelectQuery query = aQuery;
  query.m_target.m_adapter.clear();
  const EngineState* other = Choose(query, aNow);
  if (other == nullptr || aHolder == nullptr) {
    m_lastError = other == nullptr ? m_lastError : SelectError::AdapterMissing;
    return other;
  }
  const bool isBetter =
    Cost(*other, aNow) + kAdapterCost < Cost(*aHolder, aNow);
  return isBetter && !other->m_record.Holds(aQuery.m_target) ? other : nullptr;
}

const EngineState* EngineSelector::Choose(const SelectQuery& aQuery,
                                          TimePoint aNow)
{
  m_lastError = SelectError::NoUpstream;
  const EngineState* best = nullptr;
  Duration bestCost{};
  for (const EngineState* state : m_table.InPool(aQuery.m_pool)) {
    const EngineRecord& record = state->m_record;
    if (record.m_isLeaving || aQuery.m_tried.contains(record.m_id)) {
      continue;
    }
    if (!aQuery.m_target.m_model.empty()) {
      const bool hasModel = record.m_models.contains(aQuery.m_target.m_model);
      if (!hasModel) {
        if (m_lastError == SelectError::NoUpstream) {
          m_lastError = SelectError::ModelMissing;
        }
        continue;
      }
      if (!record.Holds(aQuery.m_target)) {
        m_lastError = SelectError::AdapterMissing;
        continue;
      }
    }
    const Duration cost =
      Cost(*state, aNow) +
      Duration(static_cast<int64_t>(m_random.Below(kJitterMicros)));
    if (best == nullptr || cost < bestCost) {
      best = state;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace celeryspread
