#include "prediction/timing_model.h"

namespace celeryspread {

namespace {

/// A call has one first event but tens of pauses, which depend on each other.
constexpr double kPauseWeight = 0.25;
/// Bound of the ratio of observed to predicted time, against outliers.
constexpr double kMaxRatio = 8;
/// Least spread of the logarithm of a single ratio.
constexpr double kLeastSpread = 0.4;

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::optional<Duration> TimingModel::FirstEvent(const Prompt& aPrompt) const
{
  const auto found = m_firstEvents.find(aPrompt.m_model);
  const bool isKnown = found != m_firstEvents.end() && found->second.IsUsable();
  const LinearFit& fit = isKnown ? found->second : m_anyFirstEvent;
  return fit.IsUsable()
           ? std::optional<Duration>(FromSeconds(fit.Predict(aPrompt.m_tokens)))
           : std::nullopt;
}

std::optional<Duration> TimingModel::Pause(double aLoadPerSlot) const
{
  return m_pauses.IsUsable() ? std::optional<Duration>(
                                 FromSeconds(m_pauses.Predict(aLoadPerSlot)))
                             : std::nullopt;
}

double TimingModel::Slowdown(const EngineHistory& aEngine, TimePoint aNow) const
{
  const double mean = m_meanSlowness.Mean(0, aNow);
  const DecayedMean::Estimate own =
    aEngine.m_slowness.At(mean, kLeastSpread, aNow);
  const double difference = own.m_mean - mean;
  const double certain = std::abs(difference) - own.m_error;
  if (certain <= 0) {
    return 1;
  }
  return std::exp(std::copysign(certain, difference));
}

void TimingModel::AddFirstEvent(const Prompt& aPrompt,
                                Duration aTime,
                                TimePoint aNow)
{
  m_anyFirstEvent.Add(aPrompt.m_tokens, Seconds(aTime), aNow);
  auto found = m_firstEvents.find(aPrompt.m_model);
  if (found == m_firstEvents.end()) {
    if (m_firstEvents.size() >= kMaxModels) {
      return;
    }
    found = m_firstEvents.emplace(aPrompt.m_model, LinearFit(kFitTime)).first;
  }
  found->second.Add(aPrompt.m_tokens, Seconds(aTime), aNow);
}

void TimingModel::AddPause(double aLoadPerSlot, Duration aTime, TimePoint aNow)
{
  m_pauses.Add(aLoadPerSlot, Seconds(aTime), aNow);
}

void TimingModel::Compare(EngineHistory& aEngine,
                          Kind aKind,
                          Duration aPredicted,
                          Duration aObserved,
                          TimePoint aNow)
{
  const double ratio = std::clamp(
    Seconds(aObserved) / Seconds(aPredicted), 1 / kMaxRatio, kMaxRatio);
  const double weight = aKind == Kind::Pause ? kPauseWeight : 1;
  aEngine.m_slowness.Add(std::log(ratio), weight, aNow);
  m_meanSlowness.Add(std::log(ratio), weight, aNow);
}

} // namespace celeryspread
