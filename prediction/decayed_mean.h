#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace celeryspread {

/// Mean of samples whose weight decays exponentially with their age.
///
/// Estimates are drawn towards a given prior as if it had been observed with a
/// weight of its own, so that few or old samples change them little.
/// @thread loop thread only.
class DecayedMean
{
public:
  /// Usual weight of the prior. Two samples are about half of a decision, as
  /// single response times scatter by a factor of two.
  static constexpr double kPriorWeight = 2;

  /// Creates a mean without samples. Samples are forgotten faster while their
  /// weight exceeds aMaxWeight. @pre aTimeConstant, aMaxWeight and aPriorWeight
  /// are positive.
  explicit DecayedMean(Duration aTimeConstant,
                       double aMaxWeight = 1e9,
                       double aPriorWeight = kPriorWeight)
    : m_timeConstant(aTimeConstant)
    , m_maxWeight(aMaxWeight)
    , m_priorWeight(aPriorWeight)
  {
  }
  /// Adds a sample. @pre aWeight > 0.
  void Add(double aSample, double aWeight, TimePoint aNow)
  {
    const double old = m_weight * Remaining(aNow);
    const double room = std::max(0.0, m_maxWeight - aWeight);
    const double kept = Remaining(aNow) * (old > room ? room / old : 1.0);
    m_weight = m_weight * kept + aWeight;
    m_sum = m_sum * kept + aWeight * aSample;
    m_squares = m_squares * kept + aWeight * aSample * aSample;
    m_updatedAt = std::max(m_updatedAt, aNow);
  }
  /// Returns the mean of the samples and the prior. @pre none.
  [[nodiscard]] double Mean(double aPrior, TimePoint aNow) const
  {
    if (m_sum == 0 && aPrior == 0) {
      return 0;
    }
    const double kept = Remaining(aNow);
    return (m_sum * kept + aPrior * m_priorWeight) /
           (m_weight * kept + m_priorWeight);
  }
  /// Returns the mean of the samples alone, 0 without any. @pre none.
  [[nodiscard]] double SampleMean() const
  {
    return m_weight > 0 ? m_sum / m_weight : 0;
  }
  /// Mean of the samples and the prior, with its standard error.
  struct Estimate
  {
    double m_mean = 0;
    double m_error = 0;
  };
  /// Returns the mean and its error. The spread of the samples is taken to be
  /// at least aLeastSpread, so that a few equal ones don't seem exact. @pre
  /// none.
  [[nodiscard]] Estimate At(double aPrior,
                            double aLeastSpread,
                            TimePoint aNow) const
  {
    const double kept = Remaining(aNow);
    const double weight = m_weight * kept + m_priorWeight;
    const double mean = SampleMean();
    const double variance =
      m_weight > 0 ? m_squares / m_weight - mean * mean : 0;
    const double spread =
      std::max(std::sqrt(std::max(0.0, variance)), aLeastSpread);
    return { (m_sum * kept + aPrior * m_priorWeight) / weight,
             spread / std::sqrt(weight) };
  }
  /// Returns the weight that the samples still have. @pre none.
  [[nodiscard]] double Weight(TimePoint aNow) const
  {
    return m_weight * Remaining(aNow);
  }

private:
  [[nodiscard]] double Remaining(TimePoint aNow) const
  {
    if (m_weight == 0 || aNow <= m_updatedAt) {
      return 1;
    }
    return std::exp(-static_cast<double>((aNow - m_updatedAt).count()) /
                    static_cast<double>(m_timeConstant.count()));
  }

  Duration m_timeConstant;
  double m_maxWeight;
  double m_priorWeight;
  double m_weight = 0;
  double m_sum = 0;
  double m_squares = 0;
  TimePoint m_updatedAt;
};

} // namespace celeryspread
