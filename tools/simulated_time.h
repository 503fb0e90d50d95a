#pragma once

#include <map>
#include <memory>

#include "core/clock.h"
#include "core/timers.h"

namespace celeryspread {

/// Simulated time and the queue of tasks that are scheduled in it.
class SimulatedTime
{
public:
  /// Returns the current simulated time. @pre none.
  [[nodiscard]] TimePoint Now() const { return m_now; }

  /// Schedules a task; one in the past runs with the next RunFor(). @pre none.
  void Schedule(TimePoint aTime, std::function<void()> aTask)
  {
    m_tasks.emplace(aTime, std::move(aTask));
  }

  /// Advances the simulated time by aTime and runs the tasks that become due,
  /// in order of time. @pre none.
  void RunFor(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
      const auto first = m_tasks.begin();
      m_now = std::max(m_now, first->first);
      const auto task = std::move(first->second);
      m_tasks.erase(first);
      task();
    }
    m_now = end;
  }

private:
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> m_tasks;
};

/// Clock that runs faster or slower than simulated time by a percentage.
class SkewedClock : public Clock
{
public:
  SkewedClock(const SimulatedTime& aTime, int64_t aSkewPercent)
    : m_time(aTime)
    , m_skewPercent(aSkewPercent)
  {
  }
  [[nodiscard]] TimePoint Now() const override
  {
    const Duration passed = m_time.Now().time_since_epoch();
    return TimePoint(passed * (100 + m_skewPercent) / 100);
  }
  [[nodiscard]] Duration WallTime() const override
  {
    return m_time.Now().time_since_epoch();
  }

private:
  const SimulatedTime& m_time;
  int64_t m_skewPercent;
};

/// Timers in simulated time. The action of a destroyed timer does not run.
class SimulatedTimers : public Timers
{
public:
  explicit SimulatedTimers(SimulatedTime& aTime)
    : m_time(aTime)
  {
  }
  std::unique_ptr<Timer> After(Duration aDelay,
                               std::function<void()> aAction) override
  {
    auto timer = std::make_unique<SimulatedTimer>();
    m_time.Schedule(m_time.Now() + aDelay,
                    [isLive = timer->m_isLive, action = std::move(aAction)] {
                      if (*isLive) {
                        action();
                      }
                    });
    return timer;
  }
  std::unique_ptr<Timer> Every(Duration aPeriod,
                               std::function<void()> aAction) override
  {
    auto timer = std::make_unique<SimulatedTimer>();
    Repeat(aPeriod, aAction, timer->m_isLive);
    return timer;
  }

private:
  struct SimulatedTimer : Timer
  {
    ~SimulatedTimer() override { *m_isLive = false; }
    std::shared_ptr<bool> m_isLive = std::make_shared<bool>(true);
  };

  void Repeat(Duration aPeriod,
              const std::function<void()>& aAction,
              const std::shared_ptr<bool>& aIsLive)
  {
    m_time.Schedule(m_time.Now() + aPeriod, [=, this] {
      if (*aIsLive) {
        aAction();
        Repeat(aPeriod, aAction, aIsLive);
      }
    });
  }

  SimulatedTime& m_time;
};

} // namespace celeryspread
