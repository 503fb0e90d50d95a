#include "http/event_timers.h"

#include <event2/event.h>

namespace celeryspread {

namespace {

constexpr int64_t kMicrosPerSecond = 1'000'000;

class EventTimer : public Timer
{
public:
  EventTimer(event_base* aBase,
             short aFlags,
             Duration aDelay,
             std::function<void()> aAction)
    : m_action(std::move(aAction))
    , m_event(event_new(aBase, -1, aFlags, OnTimeout, this))
  {
    const timeval delay = { aDelay.count() / kMicrosPerSecond,
                            aDelay.count() % kMicrosPerSecond };
    event_add(m_event, &delay);
  }
  ~EventTimer() override { event_free(m_event); }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

private:
  static void OnTimeout(int /*aFd*/, short /*aWhat*/, void* aSelf)
  {
    // A copy, because the action may destroy the timer that owns it.
    const std::function<void()> action =
      static_cast<EventTimer*>(aSelf)->m_action;
    action();
  }

  std::function<void()> m_action;
  event* m_event;
};

} // namespace

std::unique_ptr<Timer> EventTimers::After(Duration aDelay,
                                          std::function<void()> aAction)
{
  return std::make_unique<EventTimer>(m_base, 0, aDelay, std::move(aAction));
}

std::unique_ptr<Timer> EventTimers::Every(Duration aPeriod,
                                          std::function<void()> aAction)
{
  return std::make_unique<EventTimer>(
    m_base, EV_PERSIST, aPeriod, std::move(aAction));
}

} // namespace celeryspread
