#pragma once

#include "core/timers.h"

struct event_base;

namespace celeryspread {

/// Timers of a libevent event loop.
/// @thread loop thread only.
class EventTimers : public Timers
{
public:
  /// Creates timers on aBase. @pre aBase outlives every timer.
  explicit EventTimers(event_base* aBase)
    : m_base(aBase)
  {
  }
  std::unique_ptr<Timer> After(Duration aDelay,
                               std::function<void()> aAction) override;
  std::unique_ptr<Timer> Every(Duration aPeriod,
                               std::function<void()> aAction) override;

private:
  event_base* m_base;
};

} // namespace celeryspread
