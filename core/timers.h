#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"

namespace celeryspread {

/// A pending timer; destroying it cancels it.
/// @thread loop thread only.
class Timer
{
public:
  virtual ~Timer() = default;
};

/// Creates timers on the event loop.
/// @thread loop thread only.
class Timers
{
public:
  virtual ~Timers() = default;
  /// Calls aAction once after aDelay, never from within this call. @pre none.
  virtual std::unique_ptr<Timer> After(Duration aDelay,
                                       std::function<void()> aAction) = 0;
  /// Calls aAction once every aPeriod. @pre aPeriod > 0.
  virtual std::unique_ptr<Timer> Every(Duration aPeriod,
                                       std::function<void()> aAction) = 0;
};

} // namespace celeryspread
