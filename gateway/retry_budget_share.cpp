#include "gateway/retry_budget_share.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Share of the ratio that the bucket holds for the calls of the last window;
/// the rest fills it with each call.
constexpr double kHeldRatioShare = 0.2;
/// The same where the bucket would hold less than one retry, and never give
/// any.
constexpr double kLargeHeldRatioShare = 0.5;
/// Share of the slack that the bucket holds; the rest fills it over a window.
constexpr double kHeldSlackShare = 0.5;
/// Entries that are not counted any more keep their parts for this long, which
/// is longer than machines are usually cut off.
constexpr Duration kCountMemory = std::chrono::minutes(1);
/// An upstream that stands still reads what was sent to it at most this much
/// later.
constexpr Duration kMaxUnreadTime = std::chrono::seconds(20);

} // namespace

RetryBudgetShare::RetryBudgetShare(RetryBounds aBounds, TimePoint aStartedAt)
  : m_bounds(aBounds)
  , m_startedAt(aStartedAt)
{
}

void RetryBudgetShare::SetEntryCount(uint32_t aCount, TimePoint aNow)
{
  if (aCount == 0) {
    return;
  }
  while (!m_counts.empty() && m_counts.back().m_count <= aCount) {
    m_counts.pop_back();
  }
  m_counts.push_back({ aNow, aCount });
  // The last reading stays, however old it is.
  while (m_counts.size() > 1 && m_counts.front().m_at + kCountMemory < aNow) {
    m_counts.pop_front();
  }
}

double RetryBudgetShare::SlackShare() const
{
  // While the number of entries is not known, there may be any number of them.
  return m_counts.empty()
           ? 0
           : static_cast<double>(m_bounds.m_slack) / m_counts.front().m_count;
}

RetryBudgetShare::Bucket& RetryBudgetShare::Fill(const PoolId& aPool,
                                                 TimePoint aNow)
{
  const auto added = m_pools.try_emplace(aPool);
  Bucket& bucket = added.first->second;
  if (added.second) {
    bucket.m_filledAt = m_startedAt;
  }
  while (!bucket.m_calls.empty() &&
         bucket.m_calls.front() < aNow - m_bounds.m_window) {
    bucket.m_calls.pop_front();
  }
  while (!bucket.m_unreadUntil.empty() &&
         bucket.m_unreadUntil.front() <= aNow) {
    bucket.m_unreadUntil.pop_front();
  }
  const double slack = SlackShare();
  // A bucket that holds less than one retry would never give any.
  const double heldSlack =
    std::max(kHeldSlackShare * slack, std::min(1.0, slack));
  const double earned =
    m_bounds.m_ratio * static_cast<double>(bucket.m_calls.size());
  bucket.m_heldRatioShare = heldSlack + kHeldRatioShare * earned < 1
                              ? kLargeHeldRatioShare
                              : kHeldRatioShare;
  const double capacity = heldSlack + bucket.m_heldRatioShare * earned;
  const auto unsettled =
    static_cast<double>(bucket.m_running + bucket.m_unreadUntil.size());
  const double windows =
    static_cast<double>((aNow - bucket.m_filledAt).count()) /
    static_cast<double>(m_bounds.m_window.count());
  bucket.m_tokens += (slack - heldSlack) * std::max(0.0, windows);
  bucket.m_tokens =
    std::clamp(bucket.m_tokens, 0.0, std::max(0.0, capacity - unsettled));
  bucket.m_filledAt = std::max(bucket.m_filledAt, aNow);
  return bucket;
}

void RetryBudgetShare::RecordCall(const PoolId& aPool, TimePoint aNow)
{
  Bucket& bucket = Fill(aPool, aNow);
  bucket.m_calls.push_back(aNow);
  bucket.m_tokens += (1 - bucket.m_heldRatioShare) * m_bounds.m_ratio;
}

bool RetryBudgetShare::TryTake(const PoolId& aPool, TimePoint aNow)
{
  // Sums of fractions may come out slightly below a whole number.
  constexpr double kRoundingError = 1e-9;
  Bucket& bucket = Fill(aPool, aNow);
  if (bucket.m_tokens < 1 - kRoundingError) {
    return false;
  }
  bucket.m_tokens = std::max(0.0, bucket.m_tokens - 1);
  ++bucket.m_running;
  return true;
}

void RetryBudgetShare::RecordEnd(const PoolId& aPool,
                                 RetryFate aFate,
                                 TimePoint aNow)
{
  Bucket& bucket = Fill(aPool, aNow);
  bucket.m_running -= bucket.m_running > 0 ? 1 : 0;
  if (aFate == RetryFate::NotSent) {
    bucket.m_tokens += 1;
  } else if (aFate == RetryFate::Unknown) {
    bucket.m_unreadUntil.push_back(aNow + kMaxUnreadTime);
  }
}

size_t RetryBudgetShare::UnsettledCount(TimePoint aNow) const
{
  size_t count = 0;
  for (const auto& [pool, bucket] : m_pools) {
    count += bucket.m_running;
    count += static_cast<size_t>(
      std::count_if(bucket.m_unreadUntil.begin(),
                    bucket.m_unreadUntil.end(),
                    [&](TimePoint aUntil) { return aUntil > aNow; }));
  }
  return count;
}

} // namespace celeryspread
