#include "teams/quota_lease.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Time constant of the smoothed demand of a team.
constexpr double kRateSeconds = 8;
/// A part is held for this much of the coming demand and for this many calls on
/// top, as calls come unevenly.
constexpr double kLeaseSeconds = 2;
constexpr double kMinLeaseCalls = 1.5;
/// A part is of use from this share of an average call on, as most calls are
/// smaller than the average.
constexpr double kMinLeaseShare = 0.5;
/// What is held beyond this is given back.
constexpr double kMaxLeaseSeconds = 3;
constexpr double kMaxLeaseCalls = 3;
/// A team whose part has not changed is named this often, which renews the part
/// and repeats what is wanted.
constexpr Duration kRepeatPeriod = std::chrono::milliseconds(900);
/// A part is filled up once it is below this share of its size.
constexpr double kRefillShare = 0.75;
/// A team whose calls would have come this often, and did not, calls no more.
constexpr double kIdleCalls = 5;
/// The calls of teams that call less often are asked for one by one.
constexpr double kMinCallRate = 0.1;
/// A denied cost is not asked for again within this time, as each question
/// costs the owner as much as a granted one.
constexpr Duration kMaxDenialTime = std::chrono::milliseconds(200);

double Seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosPerSecond;
}

} // namespace

QuotaLeases::QuotaLeases(TimePoint aStartedAt)
  : m_answeredAt(aStartedAt)
{
}

void QuotaLeases::SetTeams(const std::vector<Team>& aTeams)
{
  std::map<TeamId, TeamState> former;
  former.swap(m_teams);
  for (const Team& team : aTeams) {
    if (!team.m_quota.IsLimited()) {
      continue;
    }
    TeamState& state = m_teams[team.m_id];
    const auto found = former.find(team.m_id);
    if (found != former.end()) {
      state = std::move(found->second);
    }
    state.m_quota = team.m_quota;
  }
}

QuotaLeases::TeamState* QuotaLeases::Find(const TeamId& aTeam)
{
  const auto found = m_teams.find(aTeam);
  return found == m_teams.end() ? nullptr : &found->second;
}

void QuotaLeases::DropExpired(TeamState& aState, TimePoint aNow)
{
  if (aState.m_expiresAt <= aNow) {
    aState.m_held = 0;
  }
}

double QuotaLeases::TotalHeld() const
{
  double held = 0;
  for (const auto& [id, state] : m_teams) {
    held += state.m_held;
  }
  return held;
}

void QuotaLeases::Decay(TeamState& aState, TimePoint aNow)
{
  const double elapsed =
    Seconds(std::max(Duration::zero(), aNow - aState.m_rateAt));
  const double remaining = std::exp(-elapsed / kRateSeconds);
  aState.m_callRate *= remaining;
  aState.m_costRate *= remaining;
  aState.m_rateAt = std::max(aState.m_rateAt, aNow);
}

void QuotaLeases::RecordCall(const TeamId& aTeam,
                             uint64_t aCost,
                             TimePoint aNow)
{
  if (TeamState* state = Find(aTeam)) {
    Decay(*state, aNow);
    state->m_callRate += 1 / kRateSeconds;
    state->m_calledAt = aNow;
    state->m_rateAtCall = state->m_callRate;
    state->m_costRate += static_cast<double>(aCost) / kRateSeconds;
  }
}

bool QuotaLeases::TryTake(const TeamId& aTeam, uint64_t aCost, TimePoint aNow)
{
  TeamState* state = Find(aTeam);
  if (state == nullptr) {
    return false;
  }
  DropExpired(*state, aNow);
  const auto cost = static_cast<double>(aCost);
  if (cost > state->m_held) {
    return false;
  }
  state->m_held -= cost;
  state->m_used.Add(cost, aNow);
  return true;
}

void QuotaLeases::GiveBack(const TeamId& aTeam, uint64_t aCost)
{
  // Expires with what is held now.
  if (TeamState* state = Find(aTeam)) {
    state->m_held += static_cast<double>(aCost);
  }
}

bool QuotaLeases::IsScarce(const TeamId& aTeam) const
{
  const auto found = m_teams.find(aTeam);
  return found != m_teams.end() && found->second.m_isScarce;
}

std::optional<Duration> QuotaLeases::DeniedFor(const TeamId& aTeam,
                                               uint64_t aCost,
                                               TimePoint aNow,
                                               uint32_t aRank) const
{
  const auto found = m_teams.find(aTeam);
  if (found == m_teams.end()) {
    return std::nullopt;
  }
  const TeamState& state = found->second;
  const bool isDenied = aNow < state.m_deniedUntil &&
                        aCost >= state.m_deniedCost &&
                        aRank >= state.m_deniedRank;
  return isDenied ? std::optional<Duration>(state.m_availableAt - aNow)
                  : std::nullopt;
}

std::optional<Duration> QuotaLeases::AvailableAfter(const TeamId& aTeam,
                                                    TimePoint aNow) const
{
  const auto found = m_teams.find(aTeam);
  return found != m_teams.end() && aNow < found->second.m_availableAt
           ? std::optional<Duration>(found->second.m_availableAt - aNow)
           : std::nullopt;
}

bool QuotaLeases::TryTakeAlone(const TeamId& aTeam,
                               uint64_t aCost,
                               TimePoint aNow)
{
  TeamState* state = Find(aTeam);
  const TimePoint aloneAt = m_answeredAt + kAloneAfter;
  if (state == nullptr || aNow < aloneAt || m_entryCount == 0) {
    return false;
  }
  if (state->m_ownAt < aloneAt) {
    state->m_own = 0;
    state->m_ownAt = aloneAt;
  }
  const double rate = state->m_quota.m_ratePerSecond / m_entryCount;
  const double most = std::min(rate, state->m_quota.m_burst / m_entryCount);
  state->m_own =
    std::min(most, state->m_own + rate * Seconds(aNow - state->m_ownAt));
  state->m_ownAt = aNow;
  if (state->m_own < static_cast<double>(aCost)) {
    return false;
  }
  state->m_own -= static_cast<double>(aCost);
  state->m_usedAlone += static_cast<double>(aCost);
  state->m_usedAloneAt = aNow;
  state->m_used.Add(static_cast<double>(aCost), aNow);
  return true;
}

void QuotaLeases::PlanLease(TeamState& aState,
                            TimePoint aNow,
                            QuotaDemand& aDemand)
{
  const bool isIdle =
    Seconds(aNow - aState.m_calledAt) * aState.m_rateAtCall > kIdleCalls;
  const bool isFrequent =
    !isIdle && !aState.m_isScarce && aState.m_callRate >= kMinCallRate;
  const double averageCost =
    isFrequent ? aState.m_costRate / aState.m_callRate : 0;
  const double target =
    std::max(kMinLeaseCalls * averageCost, kLeaseSeconds * aState.m_costRate);
  const double most = std::max(kMaxLeaseCalls * averageCost,
                               kMaxLeaseSeconds * aState.m_costRate);
  aDemand.m_returned =
    isFrequent ? std::max(0.0, aState.m_held - most) : aState.m_held;
  aState.m_held -= aDemand.m_returned;
  aDemand.m_held = aState.m_held;
  if (isFrequent && aDemand.m_held < kRefillShare * target) {
    aDemand.m_wanted = target - aDemand.m_held;
    aDemand.m_least = std::min(kMinLeaseShare * averageCost, aDemand.m_wanted);
  }
}

void QuotaLeases::MakeDemands(
  const std::map<TeamId, std::vector<uint64_t>>& aNeeded,
  TimePoint aNow,
  QuotaRequest& aRequest)
{
  aRequest.m_reportsUse = m_reportsUse;
  aRequest.m_answered = m_answeredSequence;
  m_lastSequence = aRequest.m_sequence;
  for (auto& [id, state] : m_teams) {
    DropExpired(state, aNow);
    Decay(state, aNow);
    QuotaDemand demand;
    demand.m_team = id;
    const auto needed = aNeeded.find(id);
    if (needed != aNeeded.end() && !needed->second.empty()) {
      demand.m_needed = needed->second;
      const auto [least, most] =
        std::minmax_element(demand.m_needed.begin(), demand.m_needed.end());
      state.m_leastNeeded = *least;
      state.m_mostNeeded = *most;
    }
    PlanLease(state, aNow, demand);
    if (m_reportsUse) {
      demand.m_used = state.m_used.Sum(m_window, aNow);
    }
    demand.m_usedAlone = state.m_usedAlone;
    const bool wasAlone =
      state.m_usedAlone > 0 && aNow < state.m_usedAloneAt + m_window;
    // What the owner knows already needs no more than to be renewed in time.
    const bool isNew =
      !demand.m_needed.empty() || demand.m_returned > 0 ||
      demand.m_held != state.m_toldHeld ||
      (m_reportsUse && (demand.m_used > 0 || demand.m_usedAlone > 0));
    const bool isKnown = demand.m_wanted > 0 || demand.m_held > 0 || wasAlone;
    if (isNew || (isKnown && aNow >= state.m_toldAt + kRepeatPeriod)) {
      state.m_toldAt = aNow;
      state.m_toldHeld = demand.m_held;
      aRequest.m_demands.push_back(std::move(demand));
    }
  }
}

void QuotaLeases::Apply(const QuotaAnswer& aAnswer,
                        TimePoint aSentAt,
                        TimePoint aNow)
{
  m_answeredAt = std::max(m_answeredAt, aSentAt);
  m_answeredSequence = m_lastSequence;
  m_entryCount =
    aAnswer.m_entryCount == 0 ? m_entryCount : aAnswer.m_entryCount;
  m_window = std::max(m_window, aAnswer.m_window);
  m_reportsUse = aAnswer.m_epoch != m_epoch;
  m_epoch = aAnswer.m_epoch;
  for (const QuotaGrant& grant : aAnswer.m_grants) {
    TeamState* state = Find(grant.m_team);
    if (state == nullptr) {
      continue;
    }
    // The owner counts what it was told to be held from that request on.
    state->m_expiresAt =
      std::max(state->m_expiresAt, aSentAt + QuotaPool::kLeaseTime);
    state->m_held += static_cast<double>(grant.m_granted);
    state->m_toldHeld += static_cast<double>(grant.m_granted);
    state->m_isScarce = grant.m_isScarce;
    if (grant.m_isDenied) {
      // With something granted, only the larger calls did not fit.
      state->m_deniedCost =
        grant.m_granted == 0 ? state->m_leastNeeded : state->m_mostNeeded;
      state->m_deniedRank = grant.m_deniedRank;
      state->m_availableAt = aNow + grant.m_retryAfter;
      state->m_deniedUntil =
        std::min(state->m_availableAt, aNow + kMaxDenialTime);
    } else {
      state->m_deniedUntil = TimePoint();
    }
  }
}

} // namespace celeryspread
