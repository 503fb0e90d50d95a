#pragma once

#include "admission/minimum_shares.h"
#include "admission/overload_call.h"
#include "admission/queue_limits.h"
#include "admission/team_shares.h"

namespace celeryspread {

/// Why a call is not admitted under overload.
enum class OverloadRefusal
{
  None,
  /// The caller is expected to give up before the first event.
  FirstEventTooLate,
  /// The predicted end is after the deadline.
  DeadlineTooShort,
  /// The queue is longer than a call of its rank and value may join.
  QueueTooLong,
  /// The same, and its team has used up its share.
  ShareExceeded
};

/// Admits the calls of one pool by the value that can still be obtained.
/// @thread loop thread only.
class OverloadGate
{
public:
  struct Decision
  {
    OverloadRefusal m_refusal = OverloadRefusal::None;
    /// Time before which the call would be refused again. The call's remaining
    /// time means never.
    Duration m_earliest{};
  };

  /// What the pool serves per second; 0 if it is not known.
  struct Served
  {
    double m_calls = 0;
    double m_tokens = 0;
  };

  /// Decides about one call. @pre called once for each request; aNow does not
  /// decrease.
  Decision Decide(const OverloadCall& aCall,
                  const Served& aServed,
                  TimePoint aNow);

private:
  /// Time after a refusal in which the admitted calls of each class are
  /// counted.
  static constexpr Duration kPressureMemory = std::chrono::seconds(4);

  [[nodiscard]] static MinimumShares::Classes ClassesOf(
    const OverloadCall& aCall);

  /// Returns the longest queue that a call may join, its team's share included.
  [[nodiscard]] Duration Limit(const OverloadCall& aCall,
                               TeamShares::Use aUse,
                               TimePoint aNow) const;
  void RecordAdmitted(const OverloadCall& aCall,
                      const Served& aServed,
                      TimePoint aNow);

  QueueLimits m_limits;
  TeamShares m_shares;
  MinimumShares m_minimum;
  /// Empty before the first refusal.
  TimePoint m_pressureUntil = TimePoint::min();
};

} // namespace celeryspread
