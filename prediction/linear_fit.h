#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace celeryspread {

/// Least-squares line through samples whose weight decays with their age.
/// @thread loop thread only.
class LinearFit
{
public:
  /// Creates a fit without samples. @pre aTimeConstant > 0.
  explicit LinearFit(Duration aTimeConstant)
    : m_timeConstant(aTimeConstant)
  {
  }
  /// Adds a sample. @pre none.
  void Add(double aX, double aY, TimePoint aNow)
  {
    const double age = static_cast<double>(
      std::max(Duration::zero(), aNow - m_updatedAt).count());
    const double kept =
      m_weight == 0
        ? 0
        : std::exp(-age / static_cast<double>(m_timeConstant.count()));
    m_weight = m_weight * kept + 1;
    // The means and moments are updated about the new mean, which stays exact
    // where differences of large sums would not.
    const double dx = aX - m_meanX;
    const double dy = aY - m_meanY;
    m_meanX += dx / m_weight;
    m_meanY += dy / m_weight;
    m_momentXX = m_momentXX * kept + dx * (aX - m_meanX);
    m_momentXY = m_momentXY * kept + dx * (aY - m_meanY);
    m_updatedAt = std::max(m_updatedAt, aNow);
  }
  /// Returns whether there are enough samples for Predict(). @pre none.
  [[nodiscard]] bool IsUsable() const { return m_weight >= kMinWeight; }
  /// Returns the value of the line at aX. The slope is not negative, as more
  /// load or a longer prompt never makes an engine faster, and the value is at
  /// least a tenth of the mean. @pre IsUsable().
  [[nodiscard]] double Predict(double aX) const
  {
    const double slope =
      m_momentXX > 0 ? std::max(0.0, m_momentXY / m_momentXX) : 0;
    return std::max(m_meanY + slope * (aX - m_meanX), m_meanY / 10);
  }

private:
  /// With fewer samples, one outlier decides the line.
  static constexpr double kMinWeight = 8;

  Duration m_timeConstant;
  double m_weight = 0;
  double m_meanX = 0;
  double m_meanY = 0;
  double m_momentXX = 0;
  double m_momentXY = 0;
  TimePoint m_updatedAt;
};

} // namespace celeryspread
