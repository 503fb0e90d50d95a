#pragma once

#include "prediction/decayed_mean.h"
#include "prediction/load_observation.h"

namespace celeryspread {

/// Means of a pool at one time, from which the state of single engines is
/// estimated. Computed once for a choice among many engines.
/// @thread immutable value, safe to share between threads.
class PoolState
{
public:
  /// Means of what the engines of a pool have in common.
  struct Means
  {
    /// Running and waiting calls per slot.
    double m_loadPerSlot = 0;
    /// Share of the calls on an engine that are this entry's own.
    double m_ownShare = 0;
    /// Duration of work. @unit percent of the usual duration.
    double m_slownessPercent = 100;
    /// Time from the start of a call to its last byte.
    Duration m_callTime{};
  };

  /// Creates the state. @pre m_callTime and m_slownessPercent are positive.
  explicit PoolState(const Means& aMeans);

  /// Estimates how many calls run or wait on an engine now. An old report is
  /// drawn towards the mean of the pool: calls that it counted have ended, and
  /// other entries have sent calls that this entry can't see. @pre none.
  [[nodiscard]] double Load(const LoadObservation& aEngine) const;
  /// Estimates the variance of the difference between that load and the true
  /// one. @pre none.
  [[nodiscard]] double LoadVariance(const LoadObservation& aEngine) const;
  /// Estimates how long work takes there at this moment, relative to the mean
  /// of the pool. @pre none.
  [[nodiscard]] double MomentarySlowness(const LoadObservation& aEngine) const;
  /// Estimates the duration of a call that starts now, relative to the mean of
  /// the pool, from the slowness that the engine reported. @pre none.
  [[nodiscard]] double Slowness(const LoadObservation& aEngine) const;
  /// Returns the mean time from the start of a call to its last byte.
  /// @pre none.
  [[nodiscard]] Duration CallTime() const { return m_means.m_callTime; }

private:
  /// Returns how much a report still says about the present load.
  [[nodiscard]] double ReportWeight(const LoadObservation& aEngine) const;
  /// Returns the load of an engine that has not reported for long.
  [[nodiscard]] double TypicalLoad(const LoadObservation& aEngine) const;

  Means m_means;
  /// Part of a call during which the slowness at its start lasts.
  double m_slownessShare = 1;
};

/// What the engines of one pool have in common, as one entry observes it: the
/// mean load, how slow work is, and how long calls run. It is the prior for
/// what is not known of a single engine.
/// @thread loop thread only.
class PoolModel
{
public:
  /// Records a load report of an engine. @pre aReport.m_age is zero.
  void RecordReport(const LoadObservation& aReport, TimePoint aNow);
  /// Records how long a call ran that was answered. @pre none.
  void RecordCallTime(Duration aTime, TimePoint aNow);
  /// Returns the state of the pool now. @pre none.
  [[nodiscard]] PoolState At(TimePoint aNow) const;

private:
  /// Time constant of the means; the load of a pool changes within seconds.
  static constexpr Duration kTimeConstant = std::chrono::seconds(3);

  DecayedMean m_loadPerSlot{ kTimeConstant };
  DecayedMean m_ownShare{ kTimeConstant };
  /// Percent.
  DecayedMean m_slowness{ kTimeConstant };
  /// Seconds.
  DecayedMean m_callTime{ std::chrono::seconds(10) };
};

} // namespace celeryspread
