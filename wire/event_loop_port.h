#pragma once

#include <cstdint>

#include <kj/async.h>

struct event;
struct event_base;

namespace celeryspread {

/// Runs KJ's event loop inside a libevent loop, so that one thread serves both.
/// @thread loop thread only.
class EventLoopPort : public kj::EventPort
{
public:
  /// Uses a libevent loop. @pre aBase outlives the port; one port per thread.
  explicit EventLoopPort(event_base* aBase);
  ~EventLoopPort();
  KJ_DISALLOW_COPY(EventLoopPort);

  bool wait() override;
  bool poll() override;
  void setRunnable(bool aIsRunnable) override;

  /// Returns the libevent loop. @pre none.
  [[nodiscard]] event_base* Base() const { return m_base; }

private:
  static void OnRun(int aFd, short aWhat, void* aSelf);

  event_base* m_base;
  event* m_runEvent;
  kj::EventLoop m_kjLoop;
  kj::WaitScope m_waitScope;
};

/// Returns a promise that is fulfilled after a delay.
/// @pre aBase runs. @unit aDelayMicros: microseconds.
/// @thread loop thread only.
kj::Promise<void> PromiseAfter(event_base* aBase, int64_t aDelayMicros);

} // namespace celeryspread
