#include "prediction/pool_model.h"

namespace celeryspread {

namespace {

/// Time that an engine stays slow once it is, as seen on the engines.
constexpr Duration kSlownessTime = std::chrono::milliseconds(600);
constexpr double kUsualPercent = 100;
/// Bounds of a reported slowness, against implausible values.
constexpr double kMinPercent = 20;
constexpr double kMaxPercent = 1'000;
/// Time in which all calls of a full batch end, until it is learned.
constexpr double kInitialCallSeconds = 1;
/// Bounds of the learned time. Calls far outside them are rare, and a wait
/// that is computed from such a time would refuse calls that can be served.
constexpr double kMinCallSeconds = 0.25;
constexpr double kMaxCallSeconds = 4;
/// Calls of a report that other entries may have started or ended since.
constexpr double kLeastVariance = 0.25;

double Ratio(Duration aPart, Duration aWhole)
{
  return static_cast<double>(aPart.count()) /
         static_cast<double>(aWhole.count());
}

} // namespace

void PoolModel::RecordReport(const LoadObservation& aReport, TimePoint aNow)
{
  const double slots = std::max<uint32_t>(1, aReport.m_slots);
  const double load = std::max(aReport.m_reported, aReport.m_outstanding);
  m_loadPerSlot.Add(load / slots, 1, aNow);
  if (load > 0) {
    m_ownShare.Add(aReport.m_outstanding / load, 1, aNow);
  }
  m_slowness.Add(
    std::clamp<double>(aReport.m_slownessPercent, kMinPercent, kMaxPercent),
    1,
    aNow);
}

void PoolModel::RecordCallTime(Duration aTime, TimePoint aNow)
{
  m_callTime.Add(std::chrono::duration<double>(aTime).count(), 1, aNow);
}

PoolState PoolModel::At(TimePoint aNow) const
{
  const double seconds = std::clamp(m_callTime.Mean(kInitialCallSeconds, aNow),
                                    kMinCallSeconds,
                                    kMaxCallSeconds);
  return PoolState({ m_loadPerSlot.Mean(0, aNow),
                     m_ownShare.Mean(0, aNow),
                     m_slowness.Mean(kUsualPercent, aNow),
                     std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(seconds)) });
}

PoolState::PoolState(const Means& aMeans)
  : m_means(aMeans)
{
  const double calls = Ratio(m_means.m_callTime, kSlownessTime);
  m_slownessShare = (1 - std::exp(-calls)) / calls;
}

double PoolState::ReportWeight(const LoadObservation& aEngine) const
{
  if (!aEngine.m_hasReport) {
    return 0;
  }
  return aEngine.m_trust * std::exp(-Ratio(aEngine.m_age, m_means.m_callTime));
}

double PoolState::TypicalLoad(const LoadObservation& aEngine) const
{
  const double others =
    m_means.m_loadPerSlot * aEngine.m_slots * (1 - m_means.m_ownShare);
  return others + aEngine.m_outstanding;
}

double PoolState::Load(const LoadObservation& aEngine) const
{
  const double weight = ReportWeight(aEngine);
  const double reported =
    aEngine.m_reported + static_cast<double>(aEngine.m_ownChanges);
  const double load = weight * reported + (1 - weight) * TypicalLoad(aEngine);
  return std::max<double>(load, aEngine.m_outstanding);
}

double PoolState::LoadVariance(const LoadObservation& aEngine) const
{
  // The number of calls on an engine varies about as a Poisson variable does,
  // and a report explains the square of its correlation.
  const double weight = ReportWeight(aEngine);
  const double others =
    std::max(0.0, TypicalLoad(aEngine) - aEngine.m_outstanding);
  return kLeastVariance + (1 - weight * weight) * others;
}

double PoolState::MomentarySlowness(const LoadObservation& aEngine) const
{
  if (!aEngine.m_hasReport) {
    return 1;
  }
  const double reported =
    std::clamp<double>(aEngine.m_slownessPercent, kMinPercent, kMaxPercent);
  return 1 + std::exp(-Ratio(aEngine.m_age, kSlownessTime)) *
               (reported / m_means.m_slownessPercent - 1);
}

double PoolState::Slowness(const LoadObservation& aEngine) const
{
  return 1 + m_slownessShare * (MomentarySlowness(aEngine) - 1);
}

} // namespace celeryspread
