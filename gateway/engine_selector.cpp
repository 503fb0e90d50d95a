#include "gateway/engine_selector.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// Round trip to another region, plus a charge for the traffic.
constexpr Duration kOtherRegionCost = std::chrono::milliseconds(90);
/// Round trip to another domain of the region, plus a charge for the traffic.
constexpr Duration kOtherDomainCost = std::chrono::milliseconds(12);
/// Total delay that a call adds to the other calls of a full batch.
constexpr Duration kFullBatchCost = std::chrono::milliseconds(500);
/// Time in which all calls of a full batch end; a call queued behind a full
/// batch waits this long.
constexpr Duration kBatchDuration = std::chrono::milliseconds(1000);
/// A further prompt pauses every stream of an engine that is reading other
/// prompts; see docs/design/heavy-days.md.
constexpr int64_t kEventGapWeight = 4;
constexpr int64_t kPrefillWeight = 2;
/// Larger than any expected wait, so that upstreams that may be down come last.
constexpr Duration kUnhealthyCost = std::chrono::seconds(30);
/// Delay of a call whose attempt is refused, with the retry that it takes from
/// others. As much as a full batch, so that a sound engine that is busy is
/// preferred to an idle one that turns calls away.
constexpr Duration kRefusedAttemptCost = std::chrono::milliseconds(500);
/// Time to load an adapter on request, including the round trip to the owner,
/// plus a charge for the delay of other calls.
constexpr Duration kAdapterLoadCost = std::chrono::milliseconds(400);
/// Round trip to the owner, which grants each request to a limited engine. Each
/// request that was not granted lately makes the next one less likely.
constexpr Duration kRateRequestCost = std::chrono::milliseconds(60);
/// Upper bound of a random cost that spreads calls over upstreams of nearly
/// equal cost.
constexpr uint64_t kMaxJitterMicros = 10'000;

/// Delay of the other calls of a full batch by one more, as a share of the time
/// that a call takes. Equals kFullBatchCost for calls of one second.
constexpr double kFullBatchShare = 0.5;
/// Weight of the delay of the call itself on a slow engine, as a share of that
/// delay. A response within its route's objective has its full value, so that
/// not every delay matters.
constexpr double kOwnDelayShare = 0.5;

/// Delay of a call whose attempt fails: the time until the failure shows, and a
/// retry, for which the budget may be used up.
constexpr Duration kFailedAttemptCost = std::chrono::milliseconds(1500);

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// Returns the learned wait until an engine starts to read a new prompt.
Duration LearnedWait(const LoadObservation& aSeen,
                     const PoolState& aPoolState,
                     double aLoad,
                     double aSlowdown)
{
  const double batches =
    std::max(0.0, aLoad - aSeen.m_slots + 1) / aSeen.m_slots;
  return Scale(aPoolState.CallTime(), batches * aSlowdown);
}

} // namespace

EngineSelector::EngineSelector(const EngineTable& aTable,
                               FailureDomainId aOwnDomain,
                               DomainRegions aRegions,
                               RandomSource& aRandom,
                               const EngineLearning* aLearning)
  : m_table(aTable)
  , m_ownDomain(std::move(aOwnDomain))
  , m_regions(std::move(aRegions))
  , m_random(aRandom)
  , m_learning(aLearning)
  , m_nearEqual(aRandom)
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

Duration EngineSelector::ExpectedWait(const EngineState& aState,
                                      TimePoint aNow) const
{
  if (m_learning != nullptr) {
    const EngineLearning::PoolModels& pool =
      m_learning->Pool(aState.m_record.m_pool);
    const PoolState poolState = pool.m_load.At(aNow);
    const LoadObservation seen = EngineLearning::Observe(aState, aNow);
    const double slowdown =
      pool.m_timing.Slowdown(aState.m_history, aNow) * poolState.Slowness(seen);
    return aState.m_pendingPrefill +
           LearnedWait(seen, poolState, poolState.Load(seen), slowdown);
  }
  const uint32_t load = aState.EstimatedLoad(aNow);
  const uint32_t slots = std::max<uint32_t>(1, aState.m_record.m_slots);
  Duration wait = aState.m_pendingPrefill;
  if (load >= slots) {
    wait += kBatchDuration * (load - slots + 1) / slots;
  }
  return wait;
}

Duration EngineSelector::FixedCost(const EngineState& aState,
                                   TimePoint aNow) const
{
  Duration cost = kEventGapWeight * aState.EventGap(aNow);
  cost += kPrefillWeight * aState.m_pendingPrefill;
  cost += DistanceCost(aState.m_record.m_domain);
  if (aState.m_record.m_rateLimit > 0) {
    cost += kRateRequestCost * (1 + aState.m_rateDenials);
  }
  if (aNow < aState.m_avoidUntil || aState.IsUnresponsive(aNow)) {
    cost += kUnhealthyCost;
  }
  return cost;
}

Duration EngineSelector::Cost(const EngineState& aState, TimePoint aNow) const
{
  if (m_learning != nullptr) {
    const EngineLearning::PoolModels& pool =
      m_learning->Pool(aState.m_record.m_pool);
    return LearnedCost(aState, pool, pool.m_load.At(aNow), aNow).m_cost;
  }
  const uint32_t load = aState.EstimatedLoad(aNow);
  const uint32_t slots = std::max<uint32_t>(1, aState.m_record.m_slots);
  return kFullBatchCost * load / slots + ExpectedWait(aState, aNow) +
         Scale(kRefusedAttemptCost, aState.RefusalShare(aNow)) +
         FixedCost(aState, aNow);
}

EngineCandidate EngineSelector::LearnedCost(
  const EngineState& aState,
  const EngineLearning::PoolModels& aPool,
  const PoolState& aPoolState,
  TimePoint aNow) const
{
  const LoadObservation seen = EngineLearning::Observe(aState, aNow);
  const Duration callTime = aPoolState.CallTime();
  const Duration callCost = Scale(callTime, kFullBatchShare / seen.m_slots);
  const double load = aPoolState.Load(seen);
  const double slowdown =
    aPool.m_timing.Slowdown(aState.m_history, aNow) * aPoolState.Slowness(seen);
  EngineCandidate candidate;
  candidate.m_state = &aState;
  candidate.m_distance = DistanceCost(aState.m_record.m_domain);
  candidate.m_error = Scale(callCost, std::sqrt(aPoolState.LoadVariance(seen)));
  candidate.m_penalty =
    Scale(callCost, load * (slowdown - 1)) +
    Scale(callTime, kOwnDelayShare * (slowdown - 1)) +
    Scale(kRefusedAttemptCost, aState.m_history.m_refusals.Mean(0, aNow)) +
    Scale(kFailedAttemptCost, aState.m_history.m_failures.Mean(0, aNow));
  candidate.m_cost =
    Scale(callCost, load) + candidate.m_penalty + aState.m_pendingPrefill +
    LearnedWait(seen, aPoolState, load, slowdown) + FixedCost(aState, aNow);
  return candidate;
}

const EngineState* EngineSelector::ChooseForAdapter(const SelectQuery& aQuery,
                                                    const EngineState* aHolder,
                                                    TimePoint aNow)
{
  SelectQuery query = aQuery;
  query.m_target.m_adapter.clear();
  // An adapter on an engine that limits its requests helps few calls.
  query.m_skipsLimited = true;
  const EngineState* other = Choose(query, aNow);
  if (other == nullptr) {
    query.m_skipsLimited = aQuery.m_skipsLimited;
    other = Choose(query, aNow);
  }
  if (other == nullptr || aHolder == nullptr) {
    m_lastError = other == nullptr ? m_lastError : SelectError::AdapterMissing;
    return other;
  }
  const bool isBetter =
    Cost(*other, aNow) + kAdapterLoadCost < Cost(*aHolder, aNow);
  return isBetter && !other->m_record.Holds(aQuery.m_target) ? other : nullptr;
}

void EngineSelector::DelayCalls(const EngineState& aState,
                                const std::optional<TimePoint>& aBackOffEnd)
{
  const TimePoint availableAt = aBackOffEnd.value_or(aState.m_rateDeniedUntil);
  if (availableAt < m_availableAt) {
    m_availableAt = availableAt;
    if (m_lastError != SelectError::AdapterMissing) {
      m_lastError =
        aBackOffEnd ? SelectError::BackingOff : SelectError::RateLimited;
    }
  }
}

Duration EngineSelector::RetryAfterBackOff(TimePoint aNow)
{
  constexpr int64_t kSpreadDivisor = 4;
  constexpr Duration kMinSpread = std::chrono::milliseconds(250);
  const Duration left = std::max(Duration::zero(), m_availableAt - aNow);
  const Duration spread = left / kSpreadDivisor + kMinSpread;
  return left + Duration(static_cast<int64_t>(
                  m_random.Below(static_cast<uint64_t>(spread.count()))));
}

const EngineState* EngineSelector::Choose(const SelectQuery& aQuery,
                                          TimePoint aNow)
{
  m_lastError = SelectError::NoUpstream;
  m_availableAt = TimePoint::max();
  const EngineState* best = nullptr;
  Duration bestCost{};
  const EngineLearning::PoolModels* pool =
    m_learning == nullptr ? nullptr : &m_learning->Pool(aQuery.m_pool);
  std::optional<PoolState> poolState;
  if (pool != nullptr) {
    poolState = pool->m_load.At(aNow);
  }
  m_candidates.clear();
  for (const EngineState* state : m_table.InPool(aQuery.m_pool)) {
    const EngineRecord& record = state->m_record;
    if (state->IsLeaving() || aQuery.m_tried.contains(record.m_id)) {
      continue;
    }
    if (aQuery.m_software && record.m_software != *aQuery.m_software) {
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
    const bool isAtLimit =
      record.m_rateLimit > 0 &&
      (aQuery.m_skipsLimited || aNow < state->m_rateDeniedUntil);
    const auto backOffEnd = state->BackOffEnd(aNow);
    if (isAtLimit || backOffEnd) {
      DelayCalls(*state, backOffEnd);
      continue;
    }
    if (pool != nullptr) {
      m_candidates.push_back(LearnedCost(*state, *pool, *poolState, aNow));
      continue;
    }
    const Duration cost =
      Cost(*state, aNow) +
      Duration(static_cast<int64_t>(m_random.Below(kMaxJitterMicros)));
    if (best == nullptr || cost < bestCost) {
      best = state;
      bestCost = cost;
    }
  }
  if (pool == nullptr) {
    return best;
  }
  // A call that has failed before is not used for trials.
  return m_nearEqual.Choose(m_candidates, aQuery.m_tried.empty(), aNow);
}

} // namespace celeryspread
