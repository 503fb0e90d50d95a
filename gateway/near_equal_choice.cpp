#include "gateway/near_equal_choice.h"

#include <algorithm>
#include <cmath>

namespace celeryspread {

namespace {

/// Engines that cost more than the best by this many errors are left out.
constexpr double kMaxErrors = 3;
/// Share of the error that counts. Lower values send more calls of all entries
/// to the same engine, larger ones ignore what the reports say.
constexpr double kErrorShare = 0.5;
constexpr uint64_t kRandomSteps = 1U << 30;

} // namespace

NearEqualChoice::NearEqualChoice(RandomSource& aRandom)
  : m_random(aRandom)
{
}

const EngineState* NearEqualChoice::Choose(
  const std::vector<EngineCandidate>& aCandidates,
  bool aMayExplore,
  TimePoint aNow)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  const auto best = std::min_element(aCandidates.begin(),
                                     aCandidates.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.m_cost < aRight.m_cost;
                                     });
  if (aMayExplore && m_random.Below(kExplorationPeriod) == 0) {
    if (const EngineState* explored = Explored(aCandidates, *best, aNow)) {
      return explored;
    }
  }
  const double scale =
    kErrorShare *
    std::max<double>(1, static_cast<double>(best->m_error.count()));
  m_weights.resize(aCandidates.size());
  double total = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const EngineCandidate& candidate = aCandidates[i];
    const double errors =
      static_cast<double>((candidate.m_cost - best->m_cost).count()) / scale;
    const bool isNear =
      errors <= kMaxErrors && candidate.m_distance == best->m_distance;
    m_weights[i] = isNear ? std::exp(-errors) : 0;
    total += m_weights[i];
  }
  double left = total * static_cast<double>(m_random.Below(kRandomSteps)) /
                static_cast<double>(kRandomSteps);
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    left -= m_weights[i];
    if (left < 0) {
      return aCandidates[i].m_state;
    }
  }
  return best->m_state;
}

const EngineState* NearEqualChoice::Explored(
  const std::vector<EngineCandidate>& aCandidates,
  const EngineCandidate& aBest,
  TimePoint aNow)
{
  const EngineState* chosen = nullptr;
  for (const EngineCandidate& candidate : aCandidates) {
    const EngineState& state = *candidate.m_state;
    const bool isAvoidedForPast =
      candidate.m_cost - candidate.m_penalty <= aBest.m_cost &&
      candidate.m_cost > aBest.m_cost + aBest.m_error;
    const bool isUsable = aNow >= state.m_avoidUntil &&
                          !state.IsUnresponsive(aNow) &&
                          state.m_outstanding < state.m_record.m_slots;
    if (isAvoidedForPast && isUsable &&
        (chosen == nullptr ||
         state.m_history.m_lastStartAt < chosen->m_history.m_lastStartAt)) {
      chosen = &state;
    }
  }
  return chosen;
}

} // namespace celeryspread
