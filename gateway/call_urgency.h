#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "routes/route_config.h"

namespace celeryspread {

/// Decides how urgent a call is to an engine.
///
/// Pattern answered: more calls than engines start in time. Calls that can
/// still be on time go first; those that are late already, or are bound to be,
/// fill what is left, so that a queue makes few calls late and not all of
/// them.
/// @thread any; no state.
class CallUrgency
{
public:
  /// What is known of a call when it is sent.
  struct Situation
  {
    /// Time since the client's first attempt, as far as it shows.
    Duration m_age{};
    /// Expected time to the first event.
    Duration m_expectedWait{};
  };

  /// Returns the engine's rank of a call, 0 first and 9 last; empty leaves the
  /// engine's own. Calls on time all rank alike: a more urgent one would
  /// preempt others in the middle of their streams. @pre none.
  static std::optional<uint32_t> RankOf(const Route& aRoute,
                                        const Situation& aSituation)
  {
    constexpr uint32_t kLateRank = 8;
    const bool isLate =
      aSituation.m_age + aSituation.m_expectedWait > aRoute.m_objective;
    return isLate ? std::optional<uint32_t>(kLateRank) : std::nullopt;
  }

  /// Tells whether a client will have left before the first event.
  /// @pre none.
  static bool IsHopeless(const Route& aRoute, const Situation& aSituation)
  {
    return aSituation.m_expectedWait > Patience(aRoute);
  }

  /// Returns how long a client waits for the first event of a stream: two
  /// seconds, four objectives or eight pauses, whichever is longest, less a
  /// part for what the expectation is wrong by.
  /// @pre none.
  static Duration Patience(const Route& aRoute)
  {
    constexpr Duration kShortest = std::chrono::seconds(2);
    constexpr int64_t kObjectives = 4;
    constexpr int64_t kPauses = 8;
    constexpr int64_t kUsedPercent = 80;
    constexpr int64_t kWholePercent = 100;
    const Duration longest = std::max({ kShortest,
                                        kObjectives * aRoute.m_objective,
                                        kPauses * aRoute.m_maxGap });
    return longest * kUsedPercent / kWholePercent;
  }
};

} // namespace celeryspread
