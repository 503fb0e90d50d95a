#pragma once

#include <memory>

#include <event2/event.h>

namespace celeryspread {

/// Frees a libevent event loop. @thread any.
struct EventBaseDeleter
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};

/// Owns a libevent event loop.
using EventBasePointer = std::unique_ptr<event_base, EventBaseDeleter>;

} // namespace celeryspread
