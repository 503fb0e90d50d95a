#include "gateway/engine_learning.h"

namespace celeryspread {

namespace {

/// A time to the first event counts for the time to read a prompt if at most
/// one part in this many of it was spent waiting.
constexpr int64_t kMaxWaitDivisor = 4;

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

EngineLearning::EngineLearning(EngineTable& aTable)
  : m_table(aTable)
{
}

LoadObservation EngineLearning::Observe(const EngineState& aState,
                                        TimePoint aNow)
{
  LoadObservation seen;
  seen.m_hasReport = aState.m_readingAt != TimePoint();
  seen.m_reported = aState.m_reading.m_running + aState.m_reading.m_waiting;
  seen.m_ownChanges = aState.m_changesSinceReading;
  seen.m_outstanding = aState.m_outstanding;
  seen.m_slots = std::max<uint32_t>(1, aState.m_record.m_slots);
  seen.m_slownessPercent = aState.m_reading.m_slownessPercent;
  seen.m_age = std::max(Duration::zero(), aNow - aState.m_readingAt);
  seen.m_trust = aState.m_history.Trust(aNow);
  return seen;
}

void EngineLearning::RecordReport(const UpstreamId& aId, TimePoint aNow)
{
  const EngineState* state = m_table.Find(aId);
  if (state != nullptr) {
    const bool isFalse = Observe(*state, aNow).IsContradicted();
    m_table.History(aId)->m_falseReports.Add(isFalse ? 1 : 0, 1, aNow);
    m_pools[state->m_record.m_pool].m_load.RecordReport(Observe(*state, aNow),
                                                        aNow);
  }
}

Prediction EngineLearning::Predict(const EngineState& aState,
                                   const TimingModel::Prompt& aPrompt,
                                   Duration aWait,
                                   TimePoint aNow) const
{
  const PoolModels& pool = Pool(aState.m_record.m_pool);
  const LoadObservation seen = Observe(aState, aNow);
  const EngineHistory& history = aState.m_history;
  const double learned = pool.m_timing.Slowdown(history, aNow);
  const PoolState state = pool.m_load.At(aNow);
  const double now = learned * state.MomentarySlowness(seen);
  const double mean = learned * state.Slowness(seen);
  Prediction prediction;
  if (const auto usual = pool.m_timing.FirstEvent(aPrompt)) {
    prediction.m_firstEvent = aWait + Scale(*usual, now);
  }
  const double load = state.Load(seen) + 1;
  if (const auto usual = pool.m_timing.Pause(load / seen.m_slots)) {
    prediction.m_pause = Scale(*usual, mean);
  }
  prediction.m_lastEvent = aWait + Scale(state.CallTime(), mean);
  prediction.m_refusal = std::min(
    1.0, history.m_refusals.Mean(0, aNow) + history.m_failures.Mean(0, aNow));
  return prediction;
}

EngineLearning::Started EngineLearning::RecordStart(const UpstreamId& aId,
                                                    TimingModel::Prompt aPrompt,
                                                    Duration aWait,
                                                    TimePoint aNow)
{
  Started started;
  started.m_at = aNow;
  started.m_prompt = std::move(aPrompt);
  started.m_wait = aWait;
  const EngineState* state = m_table.Find(aId);
  if (state == nullptr) {
    return started;
  }
  m_table.History(aId)->m_lastStartAt = aNow;
  const PoolModels& pool = Pool(state->m_record.m_pool);
  if (const auto usual = pool.m_timing.FirstEvent(started.m_prompt)) {
    started.m_firstEvent =
      aWait +
      Scale(*usual,
            pool.m_load.At(aNow).MomentarySlowness(Observe(*state, aNow)));
  }
  started.m_prediction = Predict(*state, started.m_prompt, aWait, aNow);
  return started;
}

void EngineLearning::RecordFirstEvent(const UpstreamId& aId,
                                      const Started& aStarted,
                                      TimePoint aNow)
{
  const EngineState* state = m_table.Find(aId);
  const Duration time = aNow - aStarted.m_at;
  if (state == nullptr || time <= Duration::zero()) {
    return;
  }
  TimingModel& timing = m_pools[state->m_record.m_pool].m_timing;
  if (aStarted.m_firstEvent) {
    timing.Compare(*m_table.History(aId),
                   TimingModel::Kind::FirstEvent,
                   *aStarted.m_firstEvent,
                   time,
                   aNow);
    PredictionErrors::Add(
      m_errors.m_firstEvent, *aStarted.m_prediction.m_firstEvent, time, aNow);
  }
  // What a queue adds would be taken for the time to read the prompt.
  if (aStarted.m_wait < time / kMaxWaitDivisor) {
    timing.AddFirstEvent(aStarted.m_prompt, time - aStarted.m_wait, aNow);
  }
}

void EngineLearning::RecordPause(const UpstreamId& aId,
                                 Duration aPause,
                                 TimePoint aNow)
{
  const EngineState* state = m_table.Find(aId);
  if (state == nullptr || aPause <= Duration::zero()) {
    return;
  }
  PoolModels& pool = m_pools[state->m_record.m_pool];
  const LoadObservation seen = Observe(*state, aNow);
  const PoolState poolState = pool.m_load.At(aNow);
  const double load = poolState.Load(seen) / seen.m_slots;
  if (const auto usual = pool.m_timing.Pause(load)) {
    const Duration predicted(static_cast<int64_t>(
      poolState.MomentarySlowness(seen) * static_cast<double>(usual->count())));
    if (predicted > Duration::zero()) {
      const double slowdown = pool.m_timing.Slowdown(state->m_history, aNow);
      PredictionErrors::Add(
        m_errors.m_pause, Scale(predicted, slowdown), aPause, aNow);
      pool.m_timing.Compare(*m_table.History(aId),
                            TimingModel::Kind::Pause,
                            predicted,
                            aPause,
                            aNow);
    }
  }
  pool.m_timing.AddPause(load, aPause, aNow);
}

void EngineLearning::RecordEnd(const UpstreamId& aId,
                               AttemptOutcome aOutcome,
                               const Started& aStarted,
                               TimePoint aNow)
{
  const EngineState* state = m_table.Find(aId);
  if (state == nullptr) {
    return;
  }
  const bool isRefused = aOutcome == AttemptOutcome::Rejected;
  const bool isFailed =
    aOutcome == AttemptOutcome::Failed || aOutcome == AttemptOutcome::Erred;
  if (isRefused || isFailed || aOutcome == AttemptOutcome::Answered) {
    EngineHistory& history = *m_table.History(aId);
    history.m_refusals.Add(isRefused ? 1 : 0, 1, aNow);
    history.m_failures.Add(isFailed ? 1 : 0, 1, aNow);
    const double happened = isRefused || isFailed ? 1 : 0;
    m_errors.m_refusal.Add(
      std::abs(aStarted.m_prediction.m_refusal - happened), 1, aNow);
  }
  const Duration time = aNow - aStarted.m_at;
  if (aOutcome == AttemptOutcome::Answered && time > Duration::zero()) {
    m_pools[state->m_record.m_pool].m_load.RecordCallTime(time, aNow);
    PredictionErrors::Add(
      m_errors.m_lastEvent, aStarted.m_prediction.m_lastEvent, time, aNow);
  }
}

const EngineLearning::PoolModels& EngineLearning::Pool(
  const PoolId& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ? m_unknown : found->second;
}

} // namespace celeryspread
