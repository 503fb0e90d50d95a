#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Bounds on arrivals beyond the first of each call, for a pool and over all
/// entries together.
struct RetryBounds
{
  /// Further arrivals allowed for each call.
  double m_ratio = 0.2;
  /// Further arrivals allowed in any window besides.
  uint32_t m_slack = 50;
  Duration m_window = std::chrono::seconds(10);
};

/// This entry's share of the retry budget that all entries hold together.
/// The share of the slack shrinks with the number of entries.
/// @thread loop thread only.
class RetryShare
{
public:
  /// Sets the bounds. @pre the window is above 0.
  explicit RetryShare(RetryBounds aBounds);

  /// Sets how many entries share the budget. @pre none; 0 means not known now
  /// and leaves the count as it was.
  void SetEntryCount(uint32_t aCount);
  /// Notes a call of a client. @pre none.
  void NoteCall(const PoolId& aPool, TimePoint aNow);
  /// Takes one further arrival. @pre none. @error false when none is left.
  bool TryTake(const PoolId& aPool, TimePoint aNow);

private:
  struct Events
  {
    std::deque<TimePoint> m_calls;
    std::deque<TimePoint> m_repeats;
  };

  void Forget(Events& aEvents, TimePoint aNow) const;

  RetryBounds m_bounds;
  uint32_t m_entryCount = 0;
  std::map<PoolId, Events> m_pools;
};

} // namespace celeryspread
