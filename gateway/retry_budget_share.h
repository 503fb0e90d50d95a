#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Bounds on the retries of the calls of one pool, over all entries together.
struct RetryBounds
{
  /// Retries allowed per call.
  double m_ratio = 0.2;
  /// Retries allowed in any window in addition to the ratio.
  uint32_t m_slack = 50;
  Duration m_window = std::chrono::seconds(10);
};

/// What became of a retry that was taken from the budget.
enum class RetryFate
{
  /// No byte of it was sent.
  NotSent,
  /// It can't reach its upstream later than now: the upstream answered it or
  /// closed the connection.
  Settled,
  /// It was given up without an answer. The upstream may still read it.
  Unknown
};

/// This entry's share of the retry budget of all entries.
///
/// Nobody adds up the retries of all entries, so the shares must keep the bound
/// together whatever happens to any of them. Each pool has a token bucket:
/// - It starts empty. An entry that was killed has lost its tokens, so it can't
///   spend those of the same window twice.
/// - It is filled in proportion to the calls of this entry and, slowly, with
///   time.
/// - It holds a part of the slack and a small share of the calls of the last
///   window, so that an engine that fails after a calm time is borne.
/// - Retries that may still be on their way take up room in it: those of
///   several windows could arrive in one.
///
/// The number of entries is the highest of a long time: entries that are not
/// counted may be cut off and go on.
/// @thread loop thread only.
class RetryBudgetShare
{
public:
  /// Sets the bounds and when this process started. @pre the window is above 0.
  RetryBudgetShare(RetryBounds aBounds, TimePoint aStartedAt);

  /// Sets how many entries share the budget. @pre none; 0 means that the number
  /// is not known at present and keeps the previous one.
  void SetEntryCount(uint32_t aCount, TimePoint aNow);
  /// Records a call of a caller. @pre none.
  void RecordCall(const PoolId& aPool, TimePoint aNow);
  /// Takes one retry from the budget. @pre none. @error false if none is left;
  /// otherwise RecordEnd() follows.
  bool TryTake(const PoolId& aPool, TimePoint aNow);
  /// Records what became of a retry. @pre TryTake() returned true for it.
  void RecordEnd(const PoolId& aPool, RetryFate aFate, TimePoint aNow);
  /// Returns how many retries of all pools may still be on their way.
  /// @pre none.
  [[nodiscard]] size_t UnsettledCount(TimePoint aNow) const;

private:
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_filledAt;
    /// Share of the ratio that the bucket holds; calls add the rest.
    double m_heldRatioShare = 0;
    /// Times of the calls of the last window.
    std::deque<TimePoint> m_calls;
    /// Retries whose fate is not known yet.
    uint32_t m_running = 0;
    /// When the retries that were given up can't arrive any more.
    std::deque<TimePoint> m_unreadUntil;
  };

  /// Number of entries as it was told at a time.
  struct CountReading
  {
    TimePoint m_at;
    uint32_t m_count = 0;
  };

  /// Returns a pool's bucket with the tokens that it holds now.
  Bucket& Fill(const PoolId& aPool, TimePoint aNow);
  /// Returns this entry's part of the slack.
  [[nodiscard]] double SlackShare() const;

  RetryBounds m_bounds;
  TimePoint m_startedAt;
  /// Readings within the memory of counts, each larger than all later ones.
  std::deque<CountReading> m_counts;
  std::map<PoolId, Bucket> m_pools;
};

} // namespace celeryspread
