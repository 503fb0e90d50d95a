#include "wire/event_loop_port.h"

#include <event2/event.h>

namespace celeryspread {

namespace {

constexpr int64_t kMicrosPerSecond = 1'000'000;

/// Fulfils a promise from a libevent timer. KJ destroys it together with the
/// promise, which cancels the timer.
class TimerAdapter
{
public:
  TimerAdapter(kj::PromiseFulfiller<void>& aFulfiller,
               event_base* aBase,
               int64_t aDelayMicros)
    : m_fulfiller(aFulfiller)
    , m_event(evtimer_new(aBase, OnTimeout, this))
  {
    const timeval delay = { aDelayMicros / kMicrosPerSecond,
                            aDelayMicros % kMicrosPerSecond };
    event_add(m_event, &delay);
  }
  ~TimerAdapter() { event_free(m_event); }
  KJ_DISALLOW_COPY(TimerAdapter);

private:
  static void OnTimeout(int /*aFd*/, short /*aWhat*/, void* aSelf)
  {
    static_cast<TimerAdapter*>(aSelf)->m_fulfiller.fulfill();
  }

  kj::PromiseFulfiller<void>& m_fulfiller;
  event* m_event;
};

} // namespace

EventLoopPort::EventLoopPort(event_base* aBase)
  : m_base(aBase)
  , m_runEvent(event_new(aBase, -1, 0, OnRun, this))
  , m_kjLoop(*this)
  , m_waitScope(m_kjLoop)
{
}

EventLoopPort::~EventLoopPort()
{
  event_free(m_runEvent);
}

bool EventLoopPort::wait()
{
  event_base_loop(m_base, EVLOOP_ONCE);
  return false;
}

bool EventLoopPort::poll()
{
  event_base_loop(m_base, EVLOOP_NONBLOCK);
  return false;
}

void EventLoopPort::setRunnable(bool aIsRunnable)
{
  if (aIsRunnable) {
    event_active(m_runEvent, 0, 0);
  }
}

void EventLoopPort::OnRun(int /*aFd*/, short /*aWhat*/, void* aSelf)
{
  static_cast<EventLoopPort*>(aSelf)->m_kjLoop.run();
}

kj::Promise<void> PromiseAfter(event_base* aBase, int64_t aDelayMicros)
{
  return kj::newAdaptedPromise<void, TimerAdapter>(aBase, aDelayMicros);
}

} // namespace celeryspread
