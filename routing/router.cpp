#include "routing/router.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Above this many candidates two random ones are compared, which bounds the
/// cost and keeps many entries from all choosing the same upstream.
constexpr size_t kMaxCompared = 16;
/// First tokens later than this many usual ones count as a slowdown.
constexpr int kSlowFactor = 3;
constexpr int kSlowWeight = 4;
/// A first token later than this many usual ones is worth a move.
constexpr int kPatienceFactor = 6;
constexpr Duration kLeastPatience = std::chrono::milliseconds(450);
constexpr Duration kUnknownServiceTime = std::chrono::milliseconds(100);

} // namespace

Router::Router(const UpstreamTable& aTable,
               FailureDomainId aOwnDomain,
               RandomSource& aRandom)
  : m_table(aTable)
  , m_ownDomain(std::move(aOwnDomain))
  , m_random(aRandom)
{
}

Duration Router::ExpectedWait(const UpstreamState& aState,
                              Duration aPeerServiceTime)
{
  const Duration service = aState.m_serviceTime > Duration::zero()
                             ? aState.m_serviceTime
                             : aPeerServiceTime;
  const uint32_t load = aState.EstimatedLoad();
  const uint32_t slots = aState.m_declaration.m_slots;
  const uint32_t ahead = load >= slots ? load - slots + 1 : 0;
  return service * ahead / slots;
}

Duration Router::ExpectedFinish(const UpstreamState& aState,
                                const RouteQuery& aQuery,
                                Duration aPeerServiceTime) const
{
  const Duration service = aState.m_serviceTime > Duration::zero()
                             ? aState.m_serviceTime
                             : aPeerServiceTime;
  const uint32_t slots = aState.m_declaration.m_slots;
  // Batching slows every call a little as an engine fills up.
  const Duration sharing =
    service * std::min(aState.EstimatedLoad(), slots) / (slots * 4);
  const bool isRemote = aState.m_declaration.m_failureDomain != m_ownDomain;
  const Duration penalty = isRemote ? aQuery.m_remotePenalty : Duration::zero();
  return service + ExpectedWait(aState, aPeerServiceTime) + sharing + penalty;
}

bool Router::Collect(const RouteQuery& aQuery, TimePoint aNow)
{
  const UpstreamTable::Candidates& known =
    aQuery.m_engineName.empty() ? m_table.ServersOf(aQuery.m_plainService)
                                : m_table.HoldersOf(aQuery.m_engineName);
  m_lastError = RouteError::NotResident;
  m_usable.clear();
  std::vector<const UpstreamState*> ejected;
  for (const UpstreamState* state : known) {
    if (state->IsLeaving()) {
      m_lastError = std::max(m_lastError, RouteError::AllLeaving);
      continue;
    }
    if (aQuery.m_tried.contains(state->m_id)) {
      m_lastError = std::max(m_lastError, RouteError::AllTried);
      continue;
    }
    const uint32_t limit = state->m_declaration.m_slots + aQuery.m_maxQueued;
    if (state->EstimatedLoad() >= limit) {
      m_lastError = std::max(m_lastError, RouteError::AllBusy);
      continue;
    }
    if (state->m_ejectedUntil > aNow) {
      ejected.push_back(state);
      continue;
    }
    m_usable.push_back(state);
  }
  // With every holder ejected the failures say more of the path than of the
  // upstreams, and refusing all work would make the model unreachable.
  if (m_usable.empty()) {
    m_usable = std::move(ejected);
  }
  return !m_usable.empty();
}

void Router::KeepTwoRandom()
{
  const size_t first = m_random.Below(m_usable.size());
  std::swap(m_usable[0], m_usable[first]);
  const size_t second = 1 + m_random.Below(m_usable.size() - 1);
  std::swap(m_usable[1], m_usable[second]);
  m_usable.resize(2);
}

Duration Router::SlownessOf(const UpstreamState& aState,
                            Duration aPeerFirstToken,
                            TimePoint aNow)
{
  if (aState.m_awaitingFirst.empty()) {
    return Duration::zero();
  }
  // A call that waits for its first token longer than is usual for the peers
  // tells of a slowdown long before a report or an average does.
  const Duration oldest = aNow - *aState.m_awaitingFirst.begin();
  return oldest > aPeerFirstToken * kSlowFactor ? oldest * kSlowWeight
                                                : Duration::zero();
}

std::optional<UpstreamId> Router::Choose(const RouteQuery& aQuery,
                                         TimePoint aNow)
{
  if (!Collect(aQuery, aNow)) {
    return std::nullopt;
  }
  if (m_usable.size() > kMaxCompared) {
    KeepTwoRandom();
  }
  Duration peerTime = kUnknownServiceTime;
  Duration peerFirst = kUnknownServiceTime;
  for (const UpstreamState* state : m_usable) {
    if (state->m_serviceTime > Duration::zero()) {
      peerTime = std::min(peerTime, state->m_serviceTime);
    }
    if (state->m_firstTokenTime > Duration::zero()) {
      peerFirst = std::min(peerFirst, state->m_firstTokenTime);
    }
  }
  const UpstreamState* best = nullptr;
  Duration bestFinish = Duration::max();
  // A random start spreads equal candidates over the entry instances.
  const size_t offset = m_random.Below(m_usable.size());
  for (size_t i = 0; i < m_usable.size(); ++i) {
    const UpstreamState* state = m_usable[(i + offset) % m_usable.size()];
    const Duration finish = ExpectedFinish(*state, aQuery, peerTime) +
                            SlownessOf(*state, peerFirst, aNow);
    if (finish < bestFinish) {
      bestFinish = finish;
      best = state;
    }
  }
  m_lastWait = ExpectedWait(*best, peerTime);
  return best->m_id;
}

Duration Router::FirstTokenPatience(const RouteQuery& aQuery) const
{
  Duration usual = Duration::zero();
  for (const UpstreamState* state : m_table.HoldersOf(aQuery.m_engineName)) {
    const Duration own = state->m_firstTokenTime;
    const bool isLess = usual == Duration::zero() || own < usual;
    if (own > Duration::zero() && isLess) {
      usual = own;
    }
  }
  return std::max(kLeastPatience, usual * kPatienceFactor);
}

std::optional<UpstreamId> Router::ChooseFree(const RouteQuery& aQuery,
                                             TimePoint aNow)
{
  const std::optional<UpstreamId> chosen = Choose(aQuery, aNow);
  if (!chosen) {
    return std::nullopt;
  }
  const UpstreamState& state = *m_table.All().at(*chosen);
  const bool isFree = state.EstimatedLoad() < state.m_declaration.m_slots;
  return isFree ? chosen : std::nullopt;
}

} // namespace celeryspread
