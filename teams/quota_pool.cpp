#include "teams/quota_pool.h"

#include <algorithm>
#include <array>

namespace celeryspread {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Share of the allowed excess that is granted in a window. The rest is for
/// requests and answers that are on their way.
constexpr double kExcessShare = 0.6;
/// Share of the allowed excess by which a bucket exceeds the burst. With more,
/// the window after a burst is left with less than the limit.
constexpr double kBurstExcessShare = 0.25;
/// Share of the allowed excess by which the use since any moment, with what is
/// held, may exceed the burst and the rate since then.
constexpr double kLostShare = 0.85;
/// Most that one entry may hold for calls to come, in equal parts of the whole.
constexpr double kMaxHeldParts = 1.5;
/// Share of the burst below which nothing is granted for calls to come.
constexpr double kReservedBurstShare = 0.5;
/// The same of the burst that the window permits. The level is back soon; what
/// is held elsewhere is not.
constexpr double kReservedUnusedShare = 0.65;
/// A denied call is told to wait at least this long.
constexpr double kMinRetrySeconds = 0.001;
/// Shares of the burst that calls of each rank leave to the more urgent ones;
/// the last one holds for all further ranks.
constexpr std::array kRankReserves = { 0.0, 0.15, 0.35 };
/// Share of a window that calls which are not of the most urgent rank get
/// without a reserve, so that they are not starved.
constexpr double kLessUrgentShare = 0.2;
/// Callers that were denied for this long may have returned.
constexpr Duration kDenialMemory = std::chrono::seconds(1);

/// Period in which silent entries are counted and expired parts dropped.
constexpr Duration kCountPeriod = std::chrono::milliseconds(100);
/// An entry that is silent for longer is taken to be gone.
constexpr Duration kEntryMemory = std::chrono::minutes(1);
/// Requests of an entry that are remembered until it says which were answered.
/// It sends one at a time, so that only those with lost answers add up.
constexpr size_t kMaxUnanswered = 8;
/// Resolution of the use over time.
constexpr Duration kWindowStep = std::chrono::milliseconds(100);

double Seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosPerSecond;
}

} // namespace

QuotaPool::QuotaPool(QuotaBounds aBounds)
  : m_bounds(aBounds)
{
}

void QuotaWindow::Add(double aAmount, TimePoint aNow)
{
  if (m_steps.empty() || aNow >= m_steps.back().m_beganAt + kWindowStep) {
    m_steps.push_back({ aNow, 0 });
  }
  m_steps.back().m_amount += aAmount;
  m_sum += aAmount;
}

double QuotaWindow::Sum(Duration aWindow, TimePoint aNow)
{
  while (!m_steps.empty() &&
         m_steps.front().m_beganAt + kWindowStep + aWindow < aNow) {
    m_sum -= m_steps.front().m_amount;
    m_steps.pop_front();
  }
  m_sum = m_steps.empty() ? 0 : m_sum;
  return m_sum;
}

double QuotaWindow::Headroom(double aBurst,
                             double aRatePerSecond,
                             Duration aWindow,
                             TimePoint aNow)
{
  double least = aBurst;
  double left = Sum(aWindow, aNow);
  for (const Step& step : m_steps) {
    const Duration age = std::min(aWindow, aNow - step.m_beganAt);
    least = std::min(least, aBurst + aRatePerSecond * Seconds(age) - left);
    left -= step.m_amount;
  }
  return least;
}

double QuotaPool::AllowedExcess(const TeamQuota& aQuota) const
{
  const double inWindow =
    aQuota.m_ratePerSecond * Seconds(m_bounds.m_window) + aQuota.m_burst;
  return m_bounds.m_overage * inWindow + m_bounds.m_slack;
}

double QuotaPool::Excess(const TeamQuota& aQuota) const
{
  return kExcessShare * AllowedExcess(aQuota);
}

double QuotaPool::WindowLimit(const TeamQuota& aQuota) const
{
  return aQuota.m_ratePerSecond * Seconds(m_bounds.m_window) + aQuota.m_burst +
         Excess(aQuota);
}

double QuotaPool::Unused(Bucket& aBucket, TimePoint aNow) const
{
  const TeamQuota& quota = aBucket.m_quota;
  const double unused = m_heardShare * WindowLimit(quota) -
                        aBucket.m_used.Sum(m_bounds.m_window, aNow) -
                        aBucket.m_reported.Sum(m_bounds.m_window, aNow) -
                        aBucket.m_totalHeld;
  // If all processes are lost now, the next owner grants the rate from then on.
  const double burst = quota.m_burst + kLostShare * AllowedExcess(quota);
  const double headroom =
    aBucket.m_used.Headroom(m_heardShare * burst,
                            m_heardShare * quota.m_ratePerSecond,
                            m_bounds.m_window,
                            aNow) -
    aBucket.m_totalHeld;
  return std::min(unused, headroom);
}

double QuotaPool::Available(Bucket& aBucket, TimePoint aNow) const
{
  return std::min(aBucket.m_level, Unused(aBucket, aNow));
}

void QuotaPool::Begin(TimePoint aNow)
{
  m_begunAt = aNow;
  m_countDue = aNow;
  m_entries.clear();
  for (auto& [id, bucket] : m_buckets) {
    const TeamQuota quota = bucket.m_quota;
    const auto removedAt = bucket.m_removedAt;
    bucket = Bucket();
    bucket.m_quota = quota;
    bucket.m_removedAt = removedAt;
    bucket.m_filledAt = aNow;
  }
}

void QuotaPool::SetTeams(const std::vector<Team>& aTeams, TimePoint aNow)
{
  for (auto& [id, bucket] : m_buckets) {
    Fill(bucket, aNow);
    bucket.m_removedAt = bucket.m_removedAt.value_or(aNow);
  }
  for (const Team& team : aTeams) {
    if (!team.m_quota.IsLimited()) {
      continue;
    }
    const auto added = m_buckets.try_emplace(team.m_id);
    Bucket& bucket = added.first->second;
    if (added.second) {
      // The team may have had a quota before, whose use is not known.
      bucket.m_filledAt = aNow;
    }
    bucket.m_quota = team.m_quota;
    bucket.m_removedAt.reset();
    Fill(bucket, aNow);
  }
  // A team that returns within a window has used what it used.
  std::erase_if(m_buckets, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.m_removedAt;
    return removedAt && *removedAt + m_bounds.m_window < aNow;
  });
}

void QuotaPool::SetEntryCount(uint32_t aCount)
{
  m_entryCount = aCount == 0 ? m_entryCount : aCount;
}

void QuotaPool::CountEntries(TimePoint aNow)
{
  if (aNow < m_countDue) {
    return;
  }
  m_countDue = aNow + kCountPeriod;
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return aEntry.second.m_seenAt + kEntryMemory < aNow;
  });
  // All entries count as heard when the term begins.
  if (m_entryCount == 0 || aNow < m_begunAt + kSilentAfter) {
    m_heardShare = 1;
    return;
  }
  const auto heard =
    std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      return aNow < aEntry.second.m_answeredAt + kSilentAfter;
    });
  // An entry that is cut off is no longer in m_entryCount after a while, but
  // goes on to use its part.
  const auto known = std::max<size_t>(m_entryCount, m_entries.size());
  m_heardShare =
    std::min(1.0, static_cast<double>(heard) / static_cast<double>(known));
}

void QuotaPool::Fill(Bucket& aBucket, TimePoint aNow)
{
  DropExpired(aBucket, aNow);
  const double seconds =
    Seconds(std::max(Duration::zero(), aNow - aBucket.m_filledAt));
  aBucket.m_filledAt = std::max(aBucket.m_filledAt, aNow);
  const TeamQuota& quota = aBucket.m_quota;
  const bool isFirstWindow = aNow < m_begunAt + m_bounds.m_window;
  const double rate = isFirstWindow
                        ? quota.m_ratePerSecond
                        : WindowLimit(quota) / Seconds(m_bounds.m_window);
  aBucket.m_level =
    std::min(aBucket.m_level + rate * m_heardShare * seconds,
             quota.m_burst + kBurstExcessShare * AllowedExcess(quota));
}

void QuotaPool::SetHeld(Bucket& aBucket,
                        const InstanceId& aEntry,
                        double aAmount,
                        TimePoint aNow)
{
  Held& held = aBucket.m_held[aEntry];
  aBucket.m_totalHeld += aAmount - held.m_amount;
  held = { aAmount, aNow };
  if (aAmount <= 0) {
    aBucket.m_held.erase(aEntry);
  }
}

void QuotaPool::RecordHeld(Bucket& aBucket,
                           const InstanceId& aEntry,
                           const QuotaDemand& aDemand,
                           TimePoint aNow)
{
  const auto held = aBucket.m_held.find(aEntry);
  const double former =
    held == aBucket.m_held.end() ? 0 : held->second.m_amount;
  const double returned =
    std::clamp(former - aDemand.m_held, 0.0, aDemand.m_returned);
  aBucket.m_level += returned;
  aBucket.m_used.Add(std::max(0.0, former - returned - aDemand.m_held), aNow);
  SetHeld(aBucket, aEntry, aDemand.m_held, aNow);
}

void QuotaPool::RecordAlone(Bucket& aBucket,
                            const QuotaRequest& aRequest,
                            double aUsedAlone,
                            bool aIsKnown,
                            TimePoint aNow)
{
  if (aUsedAlone <= 0) {
    return;
  }
  Alone& alone = aBucket.m_alone[aRequest.m_entry];
  if (alone.m_process != aRequest.m_process) {
    alone = { aRequest.m_process, 0 };
  }
  if (!aIsKnown) {
    aBucket.m_reported.Add(std::max(0.0, aUsedAlone - alone.m_used), aNow);
  }
  alone.m_used = aUsedAlone;
}

void QuotaPool::DropExpired(Bucket& aBucket, TimePoint aNow)
{
  while (!aBucket.m_denied.empty() &&
         aBucket.m_denied.front().m_at + kDenialMemory < aNow) {
    aBucket.m_totalDenied -= aBucket.m_denied.front().m_cost;
    aBucket.m_denied.pop_front();
  }
  if (aNow < aBucket.m_expiryDue) {
    return;
  }
  aBucket.m_expiryDue = aNow + kCountPeriod;
  for (auto it = aBucket.m_held.begin(); it != aBucket.m_held.end();) {
    if (it->second.m_reportedAt + kLeaseTime < aNow) {
      // The entry may have used it before it was lost.
      aBucket.m_used.Add(it->second.m_amount, aNow);
      aBucket.m_totalHeld -= it->second.m_amount;
      it = aBucket.m_held.erase(it);
    } else {
      ++it;
    }
  }
  aBucket.m_totalHeld = aBucket.m_held.empty() ? 0 : aBucket.m_totalHeld;
}

Duration QuotaPool::RecordDenied(Bucket& aBucket, double aCost, TimePoint aNow)
{
  const TeamQuota& quota = aBucket.m_quota;
  const double needed = aCost + std::max(0.0, aBucket.m_totalDenied);
  aBucket.m_denied.push_back({ aNow, aCost });
  aBucket.m_totalDenied += aCost;
  // The level grows by what a window allows, the rest by the rate.
  const double levelSeconds = (needed - aBucket.m_level) *
                              Seconds(m_bounds.m_window) / WindowLimit(quota);
  const double unusedSeconds =
    (needed - Unused(aBucket, aNow)) / quota.m_ratePerSecond;
  const double seconds = std::clamp(std::max(levelSeconds, unusedSeconds),
                                    kMinRetrySeconds,
                                    Seconds(m_bounds.m_window));
  return Duration(static_cast<int64_t>(seconds * kMicrosPerSecond));
}

double QuotaPool::ReserveOf(Bucket& aBucket,
                            uint32_t aRank,
                            TimePoint aNow) const
{
  const double lessUrgent = aBucket.m_lessUrgent.Sum(m_bounds.m_window, aNow);
  if (lessUrgent < kLessUrgentShare * WindowLimit(aBucket.m_quota)) {
    return 0;
  }
  const size_t index = std::min<size_t>(aRank, kRankReserves.size() - 1);
  return kRankReserves.at(index) * aBucket.m_quota.m_burst;
}

QuotaGrant QuotaPool::TakeFrom(Bucket& aBucket,
                               const InstanceId& aEntry,
                               const QuotaDemand& aDemand,
                               TimePoint aNow)
{
  QuotaGrant grant;
  grant.m_team = aDemand.m_team;
  RecordHeld(aBucket, aEntry, aDemand, aNow);
  Fill(aBucket, aNow);
  for (size_t i = 0; i < aDemand.m_needed.size(); ++i) {
    const uint64_t need = aDemand.m_needed[i];
    const auto cost = static_cast<double>(need);
    const uint32_t rank = i < aDemand.m_ranks.size() ? aDemand.m_ranks[i] : 0;
    const double reserve = rank == 0 ? 0 : ReserveOf(aBucket, rank, aNow);
    if (cost + reserve <= Available(aBucket, aNow)) {
      aBucket.m_level -= cost;
      aBucket.m_used.Add(cost, aNow);
      aBucket.m_lessUrgent.Add(rank == 0 ? 0 : cost, aNow);
      grant.m_granted += need;
      continue;
    }
    const Duration retryAfter = RecordDenied(aBucket, cost, aNow);
    if (!grant.m_isDenied || rank < grant.m_deniedRank) {
      grant.m_isDenied = true;
      grant.m_deniedRank = rank;
      grant.m_retryAfter = retryAfter;
    }
  }
  grant.m_isScarce = !aBucket.m_denied.empty();
  const double burst = aBucket.m_quota.m_burst;
  const double spare =
    std::min(aBucket.m_level - kReservedBurstShare * burst,
             Unused(aBucket, aNow) - kReservedUnusedShare * burst);
  const double maxHeld = kMaxHeldParts *
                         (aBucket.m_quota.m_burst + Excess(aBucket.m_quota)) /
                         std::max<uint32_t>(1, m_entryCount);
  const double extra =
    std::min({ aDemand.m_wanted, spare, maxHeld - aDemand.m_held });
  if (extra > 0 && extra >= aDemand.m_least) {
    const auto amount = static_cast<uint64_t>(extra);
    aBucket.m_level -= static_cast<double>(amount);
    grant.m_granted += amount;
    // The rest is spent as soon as the entry has the answer.
    SetHeld(aBucket, aEntry, aDemand.m_held + extra, aNow);
  }
  return grant;
}

void QuotaPool::RecordContact(Entry& aEntry,
                              const QuotaRequest& aRequest,
                              TimePoint aNow)
{
  if (aEntry.m_process != aRequest.m_process) {
    // A new process has had no answer yet.
    aEntry.m_process = aRequest.m_process;
    aEntry.m_unanswered.clear();
    aEntry.m_hasReportedUse = false;
  }
  auto& unanswered = aEntry.m_unanswered;
  while (!unanswered.empty() &&
         unanswered.front().first <= aRequest.m_answered) {
    if (unanswered.front().first == aRequest.m_answered) {
      aEntry.m_answeredAt = unanswered.front().second;
    }
    unanswered.pop_front();
  }
  if (unanswered.size() == kMaxUnanswered) {
    unanswered.pop_front();
  }
  unanswered.emplace_back(aRequest.m_sequence, aNow);
  aEntry.m_sequence = aRequest.m_sequence;
  aEntry.m_seenAt = aNow;
}

std::vector<QuotaGrant> QuotaPool::Take(const QuotaRequest& aRequest,
                                        TimePoint aNow)
{
  Entry& entry = m_entries[aRequest.m_entry];
  const bool isSameProcess = entry.m_process == aRequest.m_process;
  if (isSameProcess && aRequest.m_sequence <= entry.m_sequence) {
    return {};
  }
  RecordContact(entry, aRequest, aNow);
  const bool isUseNew = aRequest.m_reportsUse && !entry.m_hasReportedUse;
  entry.m_hasReportedUse = aRequest.m_reportsUse || entry.m_hasReportedUse;
  CountEntries(aNow);
  std::vector<QuotaGrant> grants;
  for (const QuotaDemand& demand : aRequest.m_demands) {
    const auto found = m_buckets.find(demand.m_team);
    if (found == m_buckets.end() || found->second.m_removedAt) {
      continue;
    }
    if (isUseNew) {
      found->second.m_reported.Add(demand.m_used, aNow);
    }
    // Until it is heard, what it uses comes from the part that is left to it.
    if (isUseNew || aNow < entry.m_answeredAt + kSilentAfter) {
      RecordAlone(found->second, aRequest, demand.m_usedAlone, isUseNew, aNow);
    }
    grants.push_back(TakeFrom(found->second, aRequest.m_entry, demand, aNow));
  }
  return grants;
}

} // namespace celeryspread
