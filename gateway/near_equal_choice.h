#pragma once

#include <vector>

#include "core/random_source.h"
#include "gateway/engine_table.h"

namespace celeryspread {

/// Engine that could serve a call, with what its choice would cost.
struct EngineCandidate
{
  const EngineState* m_state = nullptr;
  Duration m_cost{};
  /// Part of the cost that is due to the distance to the engine.
  Duration m_distance{};
  /// Standard error of the cost.
  Duration m_error{};
  /// What its past performance adds to the cost.
  Duration m_penalty{};
};

/// Chooses at random among engines of nearly equal cost.
///
/// Many entries choose by similar, outdated reports. If each took the engine
/// with the least cost, they would send to the same one. The chance of an
/// engine falls exponentially with the difference of its cost to the least one
/// in proportion to the error of the costs. Engines farther or nearer than the
/// best are left out, as random choices shall not cause traffic between
/// domains.
/// @thread loop thread only.
class NearEqualChoice
{
public:
  /// One choice in this many goes to an engine that is avoided for its past
  /// performance, the one that was tried least recently.
  static constexpr uint64_t kExplorationPeriod = 50;

  /// Creates the choice. @pre aRandom outlives it.
  explicit NearEqualChoice(RandomSource& aRandom);
  /// Returns one of the candidates, null if there are none. Engines that are
  /// avoided are tried if aMayExplore. @pre none.
  const EngineState* Choose(const std::vector<EngineCandidate>& aCandidates,
                            bool aMayExplore,
                            TimePoint aNow);

private:
  /// Returns the candidate to be tried again, null for none.
  static const EngineState* Explored(
    const std::vector<EngineCandidate>& aCandidates,
    const EngineCandidate& aBest,
    TimePoint aNow);

  RandomSource& m_random;
  /// Weights of the candidates, kept to save allocations.
  std::vector<double> m_weights;
};

} // namespace celeryspread
