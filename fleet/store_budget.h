#pragma once

#include <cstddef>
#include <deque>
#include <memory>

#include "core/clock.h"

namespace celeryspread {

/// Limits the loads from the weight store to its rate in every sliding window.
///
/// A planned load may have to wait for the calls of the model that it replaces.
/// It is reserved meanwhile: it counts against the rate, and its window begins
/// when it starts.
/// @thread loop thread only.
class StoreBudget
{
public:
  /// A planned load that has not started. Destroying it gives the load back.
  class Reservation
  {};

  /// Sets the weight store's rate and the length of the window. @pre none.
  void SetLimits(double aLoadsPerSecond, Duration aWindow)
  {
    constexpr double kMicrosPerSecond = 1e6;
    m_window = aWindow;
    m_capacity = static_cast<size_t>(aLoadsPerSecond *
                                     static_cast<double>(aWindow.count()) /
                                     kMicrosPerSecond);
  }
  /// Returns how many loads may start in one window. @pre none.
  [[nodiscard]] size_t Capacity() const { return m_capacity; }
  /// Returns how many more loads may be reserved now. @pre none.
  [[nodiscard]] size_t RemainingLoads(TimePoint aNow)
  {
    while (!m_startTimes.empty() && m_startTimes.front() + m_window <= aNow) {
      m_startTimes.pop_front();
    }
    const auto reserved = static_cast<size_t>(m_reservations.use_count() - 1);
    const size_t used = m_startTimes.size() + reserved;
    return m_capacity > used ? m_capacity - used : 0;
  }
  /// Reserves one load. @pre none. @error null when the rate is used up.
  std::shared_ptr<Reservation> Reserve(TimePoint aNow)
  {
    return RemainingLoads(aNow) == 0 ? nullptr : m_reservations;
  }
  /// Starts a reserved load now. @pre aReservation came from Reserve().
  void Start(std::shared_ptr<Reservation> aReservation, TimePoint aNow)
  {
    aReservation.reset();
    m_startTimes.push_back(aNow);
  }
  /// Assumes that the previous owner has just started half of the loads that a
  /// window allows. @pre none.
  void AssumeHalfSpent(TimePoint aNow)
  {
    m_startTimes.assign(m_capacity / 2, aNow);
  }

private:
  Duration m_window{};
  /// Loads that may start in one window.
  size_t m_capacity = 0;
  std::deque<TimePoint> m_startTimes;
  /// Shared by all reservations; its other owners are the loads reserved.
  std::shared_ptr<Reservation> m_reservations = std::make_shared<Reservation>();
};

} // namespace celeryspread
