#include "admission/queue_limits.h"

#include <algorithm>

namespace celeryspread {

namespace {

Duration Share(double aShare, Duration aTime)
{
  return Duration(
    static_cast<int64_t>(aShare * static_cast<double>(aTime.count())));
}

} // namespace

void QueueLimits::Record(const OverloadCall& aCall, TimePoint aNow)
{
  const Duration slack = aCall.QueueSlack();
  // Whatever the queue is now: if calls with a short objective counted only
  // while they can meet it, a long queue would last.
  if (slack < aCall.m_age) {
    return;
  }
  // The time to read a long prompt shortens the limit of its own call only.
  const Duration limit = std::max(slack, aCall.m_objective / 2);
  m_recent[m_count % kRecentCalls] = {
    aCall.m_priority, aCall.m_age > Duration::zero(), limit, aNow
  };
  ++m_count;
}

Duration QueueLimits::FullLimit(const OverloadCall& aCall, TimePoint aNow) const
{
  const Duration own = aCall.QueueSlack();
  const Duration limit = own > Duration::zero() ? own : aCall.m_objective;
  std::array<Duration, kRecentCalls> slacks{};
  size_t count = 0;
  ForEach(aNow, [&slacks, &count, &aCall](const Recent& aRecent) {
    if (aRecent.m_priority <= aCall.m_priority) {
      slacks[count] = aRecent.m_slack;
      ++count;
    }
  });
  if (count == 0) {
    return limit;
  }
  constexpr size_t kIgnoredDivisor = 20;
  const auto shortest =
    slacks.begin() + static_cast<std::ptrdiff_t>(count / kIgnoredDivisor);
  std::nth_element(slacks.begin(),
                   shortest,
                   slacks.begin() + static_cast<std::ptrdiff_t>(count));
  return std::min(limit, *shortest);
}

Duration QueueLimits::ScarcityLimit(const OverloadCall& aCall,
                                    TimePoint aNow) const
{
  return Share(kLateShare, FullLimit(aCall, aNow));
}

Duration QueueLimits::LastRankLimit(const OverloadCall& aCall,
                                    TimePoint aNow) const
{
  return Share(1 - kRankShare, FullLimit(aCall, aNow));
}

Duration QueueLimits::Limit(const OverloadCall& aCall, TimePoint aNow) const
{
  if (!aCall.IsOnTime()) {
    return ScarcityLimit(aCall, aNow);
  }
  const bool isReturning = aCall.m_age > Duration::zero();
  size_t all = 0;
  size_t before = 0;
  ForEach(aNow, [&](const Recent& aRecent) {
    ++all;
    const bool isBefore = aRecent.m_priority < aCall.m_priority ||
                          (aRecent.m_priority == aCall.m_priority &&
                           aRecent.m_isReturning && !isReturning);
    before += isBefore ? 1 : 0;
  });
  const double share =
    all == 0 ? 0 : static_cast<double>(before) / static_cast<double>(all);
  return Share(1 - kRankShare * share, FullLimit(aCall, aNow));
}

} // namespace celeryspread
