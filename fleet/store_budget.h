#pragma once

#include <cstddef>
#include <deque>

#include "core/clock.h"

namespace celeryspread {

/// Keeps the loads from the weight store within its rate in every window.
/// @thread loop thread only.
class StoreBudget
{
public:
  /// Sets the store's rate and the window that is watched. @pre none.
  void SetLimits(double aLoadsPerSecond, Duration aWindow)
  {
    constexpr double kMicrosPerSecond = 1e6;
    m_window = aWindow;
    m_capacity = static_cast<size_t>(aLoadsPerSecond *
                                     static_cast<double>(aWindow.count()) /
                                     kMicrosPerSecond);
  }
  /// Returns how many loads may begin now. @pre none.
  [[nodiscard]] size_t Left(TimePoint aNow)
  {
    while (!m_begun.empty() && m_begun.front() + m_window <= aNow) {
      m_begun.pop_front();
    }
    return m_capacity > m_begun.size() ? m_capacity - m_begun.size() : 0;
  }
  /// Takes one load that begins now. @pre none. @error false when the rate
  /// is used up.
  bool TryTake(TimePoint aNow)
  {
    if (Left(aNow) == 0) {
      return false;
    }
    m_begun.push_back(aNow);
    return true;
  }
  /// Assumes that a former owner has spent half of the window. @pre none.
  void AssumeHalfSpent(TimePoint aNow) { m_begun.assign(m_capacity / 2, aNow); }

private:
  Duration m_window{};
  size_t m_capacity = 0;
  std::deque<TimePoint> m_begun;
};

} // namespace celeryspread
