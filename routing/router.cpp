#include "routing/router.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// With more candidates than this, only two random ones are compared. This
/// bounds the cost of a choice and keeps the entry instances from all choosing
/// the same upstream.
constexpr size_t kMaxComparedCandidates = 16;
/// An upstream counts as slow when a call there has waited for its first token
/// longer than this many times the best first-token time of the candidates,
/// which counts as kDefaultServiceTime at most.
constexpr int kSlowFirstTokenFactor = 3;
/// Adds this many times that wait to the expected finish time of a slow
/// upstream.
constexpr int kSlownessPenaltyFactor = 4;
/// A call may move to another upstream after waiting for its first token this
/// many times the best first-token time of the engines with the model.
constexpr int kFirstTokenTimeoutFactor = 6;
constexpr Duration kMinFirstTokenTimeout = std::chrono::milliseconds(450);
/// Service time and first-token time assumed of the candidates. A smaller
/// average of one of them replaces it, a larger one doesn't.
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(100);

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
  const uint32_t callsAhead = load >= slots ? load - slots + 1 : 0;
  return service * callsAhead / slots;
}

Duration Router::ExpectedFinish(const UpstreamState& aState,
                                const RouteQuery& aQuery,
                                Duration aPeerServiceTime) const
{
  const Duration service = aState.m_serviceTime > Duration::zero()
                             ? aState.m_serviceTime
                             : aPeerServiceTime;
  const uint32_t slots = aState.m_declaration.m_slots;
  // Running calls slow each other: a full batch adds a quarter of the service
  // time.
  const Duration batchingDelay =
    service * std::min(aState.EstimatedLoad(), slots) / (slots * 4);
  const bool isRemote = aState.m_declaration.m_failureDomain != m_ownDomain;
  const Duration remotePenalty =
    isRemote ? aQuery.m_remotePenalty : Duration::zero();
  return service + ExpectedWait(aState, aPeerServiceTime) + batchingDelay +
         remotePenalty;
}

bool Router::CollectCandidates(const RouteQuery& aQuery, TimePoint aNow)
{
  const UpstreamTable::Candidates& upstreams =
    aQuery.m_engineName.empty()
      ? m_table.UpstreamsOfService(aQuery.m_plainService)
      : m_table.UpstreamsWithResident(aQuery.m_engineName);
  m_lastError = RouteError::NotResident;
  m_candidates.clear();
  std::vector<const UpstreamState*> ejected;
  for (const UpstreamState* state : upstreams) {
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
    m_candidates.push_back(state);
  }
  // When every upstream is ejected, the network path is the more likely cause
  // of the failures, and refusing all calls would make the model unreachable.
  if (m_candidates.empty()) {
    m_candidates = std::move(ejected);
  }
  return !m_candidates.empty();
}

void Router::SampleTwoCandidates()
{
  const size_t first = m_random.Below(m_candidates.size());
  std::swap(m_candidates[0], m_candidates[first]);
  const size_t second = 1 + m_random.Below(m_candidates.size() - 1);
  std::swap(m_candidates[1], m_candidates[second]);
  m_candidates.resize(2);
}

Duration Router::SlownessPenalty(const UpstreamState& aState,
                                 Duration aPeerFirstTokenTime,
                                 TimePoint aNow)
{
  if (aState.m_awaitingFirstToken.empty()) {
    return Duration::zero();
  }
  // A call that has waited too long for its first token shows a slowdown long
  // before a load report or a moving average does.
  const Duration longestWait = aNow - *aState.m_awaitingFirstToken.begin();
  return longestWait > aPeerFirstTokenTime * kSlowFirstTokenFactor
           ? longestWait * kSlownessPenaltyFactor
           : Duration::zero();
}

std::optional<UpstreamId> Router::Choose(const RouteQuery& aQuery,
                                         TimePoint aNow)
{
  if (!CollectCandidates(aQuery, aNow)) {
    return std::nullopt;
  }
  if (m_candidates.size() > kMaxComparedCandidates) {
    SampleTwoCandidates();
  }
  Duration peerServiceTime = kDefaultServiceTime;
  Duration peerFirstTokenTime = kDefaultServiceTime;
  for (const UpstreamState* state : m_candidates) {
    if (state->m_serviceTime > Duration::zero()) {
      peerServiceTime = std::min(peerServiceTime, state->m_serviceTime);
    }
    if (state->m_firstTokenTime > Duration::zero()) {
      peerFirstTokenTime =
        std::min(peerFirstTokenTime, state->m_firstTokenTime);
    }
  }
  const UpstreamState* best = nullptr;
  Duration bestFinish = Duration::max();
  // A random starting point makes entry instances choose different upstreams
  // among equal candidates.
  const size_t offset = m_random.Below(m_candidates.size());
  for (size_t i = 0; i < m_candidates.size(); ++i) {
    const UpstreamState* state =
      m_candidates[(i + offset) % m_candidates.size()];
    const Duration finish = ExpectedFinish(*state, aQuery, peerServiceTime) +
                            SlownessPenalty(*state, peerFirstTokenTime, aNow);
    if (finish < bestFinish) {
      bestFinish = finish;
      best = state;
    }
  }
  m_lastExpectedWait = ExpectedWait(*best, peerServiceTime);
  return best->m_id;
}

Duration Router::FirstTokenTimeout(const RouteQuery& aQuery) const
{
  Duration fastest = Duration::zero();
  for (const UpstreamState* state :
       m_table.UpstreamsWithResident(aQuery.m_engineName)) {
    const Duration firstTokenTime = state->m_firstTokenTime;
    const bool isFaster =
      fastest == Duration::zero() || firstTokenTime < fastest;
    if (firstTokenTime > Duration::zero() && isFaster) {
      fastest = firstTokenTime;
    }
  }
  return std::max(kMinFirstTokenTimeout, fastest * kFirstTokenTimeoutFactor);
}

std::optional<UpstreamId> Router::ChooseWithFreeSlot(const RouteQuery& aQuery,
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
