#pragma once

#include <array>
#include <cstdint>

#include "admission/overload_call.h"

namespace celeryspread {

/// Decides how long the queue of an engine may be for a call to join it, by the
/// call's rank and the value that is left of it.
///
/// The most urgent calls may join a queue with which all of them still meet
/// their objectives, but for one in 20: a rare kind with a very short objective
/// would keep engines idle. It has its minimum share (MinimumShares). The more
/// of the recent calls come before a call, the shorter is the queue that it may
/// join; so the wait that is left is free for those before it, although nothing
/// is held back at the entry. Within a priority, calls that were refused before
/// come first. Calls that can't meet their objective any more may only join a
/// short queue.
/// @thread loop thread only.
class QueueLimits
{
public:
  /// Part of the limit that is kept free for the calls that come before one, if
  /// all recent calls do.
  static constexpr double kRankShare = 0.5;
  /// Limit of a call that misses its objective, relative to one that meets it.
  /// Less than the limit of the last rank, so value goes before rank.
  static constexpr double kLateShare = 0.25;

  /// Records a call that asks for admission. Calls that would miss their
  /// objective on an idle engine as well come before no others and are ignored.
  /// @pre none.
  void Record(const OverloadCall& aCall, TimePoint aNow);
  /// Returns the longest queue that a call may join. @pre its objective is not
  /// zero.
  [[nodiscard]] Duration Limit(const OverloadCall& aCall, TimePoint aNow) const;
  /// Returns the queue from which on a call is one of too many for its pool.
  /// @pre its objective is not zero.
  [[nodiscard]] Duration ScarcityLimit(const OverloadCall& aCall,
                                       TimePoint aNow) const;
  /// Returns the limit of a call before which all recent calls come. @pre its
  /// objective is not zero.
  [[nodiscard]] Duration LastRankLimit(const OverloadCall& aCall,
                                       TimePoint aNow) const;
  /// Returns the longest queue that calls of any rank may join. @pre its
  /// objective is not zero.
  [[nodiscard]] Duration FullLimit(const OverloadCall& aCall,
                                   TimePoint aNow) const;

private:
  static constexpr size_t kRecentCalls = 256;
  /// Longer than the pause after which refused callers usually come back.
  static constexpr Duration kMemory = std::chrono::seconds(2);
  struct Recent
  {
    uint32_t m_priority = 0;
    bool m_isReturning = false;
    Duration m_slack{};
    TimePoint m_at;
  };

  /// Calls aVisit with each recent call.
  template<typename Visit>
  void ForEach(TimePoint aNow, Visit aVisit) const
  {
    for (size_t index = 0; index < m_count && index < kRecentCalls; ++index) {
      if (aNow - m_recent[index].m_at <= kMemory) {
        aVisit(m_recent[index]);
      }
    }
  }

  std::array<Recent, kRecentCalls> m_recent{};
  size_t m_count = 0;
};

} // namespace celeryspread
