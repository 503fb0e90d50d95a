#include "gateway/engine_table.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// An older reading is a worse estimate than the number of own calls.
constexpr Duration kMaxReadingAge = std::chrono::seconds(2);
/// Busy engines emit a token every few tens of milliseconds.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(700);
/// Time constant of the decay of the event gap. An engine reads a burst of
/// prompts in about this time; older gaps no longer describe its state.
constexpr Duration kEventGapDecay = std::chrono::milliseconds(400);
/// Divisor of the exponential smoothing: each gap has a weight of a quarter, so
/// that a burst of prompts shows after few events.
constexpr int64_t kEventGapSmoothing = 4;
/// Consecutive failures after which an upstream is avoided.
constexpr uint32_t kFailuresToAvoid = 3;
/// Consecutive failures after which the owner is asked to check an engine.
constexpr uint32_t kFailuresToReport = 2;
/// Answers of one engine on different connections may arrive out of order by
/// this much.
constexpr Duration kMaxAnswerDisorder = std::chrono::milliseconds(500);
/// A trial call after a back-off that has no answer yet holds up others this
/// long.
constexpr Duration kTrialTime = std::chrono::seconds(1);
/// Weight of an attempt in the share of attempts that were refused.
constexpr double kRefusalShareWeight = 0.25;
/// Time constant of the decay of that share.
constexpr Duration kRefusalShareDecay = std::chrono::seconds(2);
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(500);
constexpr uint32_t kMaxAvoidanceDoublings = 4;

} // namespace

uint32_t EngineState::EstimatedLoad(TimePoint aNow) const
{
  if (m_readingAt == TimePoint() || aNow - m_readingAt > kMaxReadingAge) {
    return m_outstanding;
  }
  const int64_t load = static_cast<int64_t>(m_reading.m_running) +
                       m_reading.m_waiting + m_changesSinceReading;
  return static_cast<uint32_t>(std::max<int64_t>(load, m_outstanding));
}

Duration EngineState::EventGap(TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - m_eventGapAt).count());
  const double remaining =
    std::exp(-age / static_cast<double>(kEventGapDecay.count()));
  const Duration gap(
    static_cast<int64_t>(remaining * static_cast<double>(m_eventGap.count())));
  const Duration silence =
    m_outstanding > 0 ? aNow - m_lastByteAt : Duration::zero();
  return std::max(gap, silence);
}

double EngineState::RefusalShare(TimePoint aNow) const
{
  if (m_refusalShare == 0) {
    return 0;
  }
  const auto age = static_cast<double>((aNow - m_refusalShareAt).count());
  return m_refusalShare *
         std::exp(-age / static_cast<double>(kRefusalShareDecay.count()));
}

std::optional<TimePoint> EngineState::BackOffEnd(TimePoint aNow) const
{
  if (!m_said.m_backOffUntil) {
    return std::nullopt;
  }
  const TimePoint end = std::max(*m_said.m_backOffUntil, m_said.m_trialUntil);
  return aNow < end ? std::optional<TimePoint>(end) : std::nullopt;
}

bool EngineState::IsUnresponsive(TimePoint aNow) const
{
  return m_outstanding > 0 && aNow - m_lastByteAt > kUnresponsiveAfter;
}

EngineState* EngineTable::FindMutable(const UpstreamId& aId)
{
  const auto found = m_engines.find(aId);
  return found == m_engines.end() ? nullptr : found->second.get();
}

const EngineState* EngineTable::Find(const UpstreamId& aId) const
{
  const auto found = m_engines.find(aId);
  return found == m_engines.end() ? nullptr : found->second.get();
}

EngineHistory* EngineTable::History(const UpstreamId& aId)
{
  EngineState* state = FindMutable(aId);
  return state == nullptr ? nullptr : &state->m_history;
}

void EngineTable::Update(const EngineRecord& aRecord)
{
  std::unique_ptr<EngineState>& state = m_engines[aRecord.m_id];
  const bool isNew = state == nullptr;
  if (isNew) {
    state = std::make_unique<EngineState>();
  }
  const bool isMoved = state->m_record.m_pool != aRecord.m_pool;
  const bool isOtherProcess =
    state->m_record.m_startedAt != aRecord.m_startedAt;
  if (isOtherProcess) {
    state->m_said = EngineStatements();
    state->m_history = EngineHistory();
  }
  const double known = state->m_record.m_rateLimit;
  const bool isSameLimit =
    !isNew && aRecord.m_rateLimit == state->m_listedRateLimit;
  state->m_record = aRecord;
  state->m_listedRateLimit = aRecord.m_rateLimit;
  if (isSameLimit) {
    state->m_record.m_rateLimit = known;
  }
  if (isNew) {
    RestoreFormer(*state);
  }
  if (isNew) {
    m_byPool[aRecord.m_pool].push_back(state.get());
  } else if (isMoved) {
    Reindex();
  }
}

void EngineTable::RememberFormer(const EngineState& aState)
{
  const EngineRecord& record = aState.m_record;
  const auto added = m_former.try_emplace(record.m_id);
  added.first->second = { record.m_startedAt,
                          aState.m_said,
                          record.m_rateLimit };
  if (!added.second) {
    return;
  }
  m_formerOrder.push_back(record.m_id);
  if (m_formerOrder.size() > kMaxFormerEngines) {
    m_former.erase(m_formerOrder.front());
    m_formerOrder.pop_front();
  }
}

void EngineTable::RestoreFormer(EngineState& aState)
{
  const auto former = m_former.find(aState.m_record.m_id);
  if (former == m_former.end() ||
      former->second.m_startedAt != aState.m_record.m_startedAt) {
    return;
  }
  aState.m_said = former->second.m_said;
  if (aState.m_record.m_rateLimit == 0) {
    aState.m_record.m_rateLimit = former->second.m_rateLimit;
  }
}

EngineStatements* EngineTable::FindStatements(const UpstreamId& aId)
{
  if (EngineState* state = FindMutable(aId)) {
    return &state->m_said;
  }
  const auto former = m_former.find(aId);
  return former == m_former.end() ? nullptr : &former->second.m_said;
}

void EngineTable::BeginTerm()
{
  for (const auto& [id, state] : m_engines) {
    state->m_listedRateLimit = 0;
  }
}

void EngineTable::Remove(const UpstreamId& aId)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  RememberFormer(*found->second);
  std::erase(m_byPool[found->second->m_record.m_pool], found->second.get());
  m_engines.erase(found);
}

void EngineTable::KeepOnly(const std::set<UpstreamId>& aKeep)
{
  std::erase_if(m_engines, [&](const auto& aEntry) {
    const bool isRemoved = !aKeep.contains(aEntry.first);
    if (isRemoved) {
      RememberFormer(*aEntry.second);
    }
    return isRemoved;
  });
  Reindex();
}

void EngineTable::Reindex()
{
  ++m_reindexCount;
  m_byPool.clear();
  for (const auto& [id, state] : m_engines) {
    m_byPool[state->m_record.m_pool].push_back(state.get());
  }
}

const EngineTable::EnginePointers& EngineTable::InPool(
  const PoolId& aPool) const
{
  const auto found = m_byPool.find(aPool);
  return found == m_byPool.end() ? m_noEngines : found->second;
}

std::vector<UpstreamId> EngineTable::FailingEngines() const
{
  std::vector<UpstreamId> failing;
  for (const auto& [id, state] : m_engines) {
    if (state->m_consecutiveFailures >= kFailuresToReport &&
        !state->m_record.m_models.empty()) {
      failing.push_back(id);
    }
  }
  return failing;
}

void EngineTable::RecordPrefillEnd(const UpstreamId& aId, Duration aPrefill)
{
  EngineState* state = FindMutable(aId);
  if (state != nullptr) {
    state->m_pendingPrefill =
      std::max(Duration::zero(), state->m_pendingPrefill - aPrefill);
  }
}

void EngineTable::RecordStart(const UpstreamId& aId,
                              Duration aPrefill,
                              TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return;
  }
  if (state->m_outstanding == 0) {
    state->m_lastByteAt = aNow;
  }
  if (state->m_said.m_backOffUntil) {
    state->m_said.m_trialUntil = aNow + kTrialTime;
  }
  ++state->m_outstanding;
  ++state->m_attempts;
  state->m_pendingPrefill += aPrefill;
  ++state->m_changesSinceReading;
}

void EngineTable::RecordBytes(const UpstreamId& aId, TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state != nullptr) {
    state->m_lastByteAt = aNow;
  }
}

void EngineTable::RecordEventGap(const UpstreamId& aId,
                                 Duration aGap,
                                 TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state != nullptr) {
    state->m_eventGap += (aGap - state->m_eventGap) / kEventGapSmoothing;
    state->m_eventGapAt = aNow;
  }
}

void EngineTable::RecordLoad(const UpstreamId& aId,
                             const LoadReading& aReading,
                             TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return;
  }
  state->m_reading = aReading;
  state->m_readingAt = aNow;
  state->m_changesSinceReading = 0;
}

bool EngineTable::RecordRateLimit(
  const UpstreamId& aId,
  const std::optional<double>& aRequestsPerSecond,
  TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return false;
  }
  double& limit = state->m_record.m_rateLimit;
  if (aRequestsPerSecond) {
    limit = *aRequestsPerSecond;
    state->m_rateLimitSeenAt = aNow;
    return false;
  }
  const bool hasEnded =
    limit != 0 && aNow > state->m_rateLimitSeenAt + kMaxAnswerDisorder;
  if (hasEnded) {
    limit = 0;
    state->m_rateDeniedUntil = aNow;
  }
  return hasEnded;
}

void EngineTable::RecordLeaving(const UpstreamId& aId)
{
  if (EngineStatements* said = FindStatements(aId)) {
    said->m_isLeaving = true;
  }
}

void EngineTable::RecordBackOff(const UpstreamId& aId, TimePoint aUntil)
{
  if (EngineStatements* said = FindStatements(aId)) {
    said->m_backOffUntil =
      std::max(said->m_backOffUntil.value_or(aUntil), aUntil);
  }
}

void EngineTable::RecordBackOffOver(const UpstreamId& aId, TimePoint aSentAt)
{
  EngineStatements* said = FindStatements(aId);
  if (said != nullptr && said->m_backOffUntil &&
      aSentAt >= *said->m_backOffUntil) {
    said->m_backOffUntil.reset();
    said->m_trialUntil = TimePoint();
  }
}

void EngineTable::RecordRateDenied(const UpstreamId& aId, TimePoint aUntil)
{
  EngineState* state = FindMutable(aId);
  if (state != nullptr) {
    state->m_rateDeniedUntil = std::max(state->m_rateDeniedUntil, aUntil);
    state->m_rateDenials =
      std::min(state->m_rateDenials + 1, EngineState::kMaxRateDenials);
  }
}

void EngineTable::RecordRateGranted(const UpstreamId& aId)
{
  EngineState* state = FindMutable(aId);
  if (state != nullptr) {
    state->m_rateDenials = 0;
  }
}

void EngineTable::RecordMissing(const UpstreamId& aId,
                                const ModelTarget& aTarget)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return;
  }
  const auto model = state->m_record.m_models.find(aTarget.m_model);
  if (model == state->m_record.m_models.end()) {
    return;
  }
  if (aTarget.m_adapter.empty()) {
    state->m_record.m_models.erase(model);
  } else {
    model->second.m_adapters.erase(aTarget.m_adapter);
  }
}

void EngineTable::RecordLoaded(const UpstreamId& aId,
                               const ModelTarget& aTarget)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return;
  }
  const auto model = state->m_record.m_models.find(aTarget.m_model);
  if (model != state->m_record.m_models.end() && !aTarget.m_adapter.empty()) {
    model->second.m_adapters.insert(aTarget.m_adapter);
  }
}

void EngineTable::RecordEnd(const UpstreamId& aId,
                            AttemptOutcome aOutcome,
                            TimePoint aNow)
{
  EngineState* state = FindMutable(aId);
  if (state == nullptr) {
    return;
  }
  state->m_outstanding -= state->m_outstanding > 0 ? 1 : 0;
  --state->m_changesSinceReading;
  const bool isRefused =
    aOutcome == AttemptOutcome::Rejected || aOutcome == AttemptOutcome::Erred;
  if (isRefused || aOutcome == AttemptOutcome::Answered) {
    const double share = state->RefusalShare(aNow);
    const double sample = isRefused ? 1 : 0;
    state->m_refusalShare = share + kRefusalShareWeight * (sample - share);
    state->m_refusalShareAt = aNow;
  }
  if (aOutcome != AttemptOutcome::Failed &&
      aOutcome != AttemptOutcome::Cancelled) {
    state->m_consecutiveFailures = 0;
    state->m_lastByteAt = aNow;
  }
  if (aOutcome != AttemptOutcome::Failed) {
    return;
  }
  ++state->m_consecutiveFailures;
  if (state->m_consecutiveFailures >= kFailuresToAvoid) {
    const uint32_t doublings = std::min(
      state->m_consecutiveFailures - kFailuresToAvoid, kMaxAvoidanceDoublings);
    state->m_avoidUntil = aNow + kInitialAvoidance * (1U << doublings);
  }
}

} // namespace celeryspread
