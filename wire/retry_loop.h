#pragma once

#include <functional>

#include "core/clock.h"
#include "wire/event_loop_port.h"

namespace celeryspread {

/// Work that a process repeats for as long as it runs, such as following
/// another instance.
struct RetryLoop
{
  /// One round. It may fail, or throw before its promise exists.
  std::function<kj::Promise<void>()> m_step;
  /// Called after a round that failed; may throw.
  std::function<void(const kj::Exception&)> m_onFailure;
  /// Time between a round that failed and the next one.
  Duration m_pause{};
};

/// Repeats rounds until the promise is dropped, whatever fails in them.
/// @pre aPort and what the functions use outlive the promise; a round takes
/// some time. @thread loop thread only.
kj::Promise<void> RepeatForever(EventLoopPort& aPort, RetryLoop aLoop);

} // namespace celeryspread
