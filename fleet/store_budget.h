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
    m_capacity = static_cast<size_t>(
      aLoadsPerSecond * static_cast<double>(aWindow.count()) /
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
  /// Notes that a load begins. @pre none.
  void NoteLoad(TimePoint aNow) { m_begun.push_back(aNow); }
  /// Assumes that a former owner has spent the window. @pre none.
  void AssumeSpent(TimePoint aNow)
  {
    m_begun.assign(m_capacity, aNow);
  }

private:
  Duration m_window{};
  size_t m_capacity = 0;
  std::deque<TimePoint> m_begun;
};

} // namespace celeryspread
