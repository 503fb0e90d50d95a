#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/random_source.h"
#include "gateway/engine_learning.h"
#include "gateway/engine_table.h"
#include "gateway/near_equal_choice.h"

namespace celeryspread {

/// Failure domains and the region of each.
using DomainRegions = std::map<FailureDomainId, RegionId>;

/// Why no upstream was chosen. In each case this attempt was not dispatched.
enum class SelectError
{
  /// The pool has no upstream that accepts new calls.
  NoUpstream,
  /// No upstream has the model loaded.
  ModelMissing,
  /// An upstream has the model loaded, but none has the adapter.
  AdapterMissing,
  /// Every upstream that could serve the call has reached the limit on requests
  /// that it named, or asked for a back-off.
  RateLimited,
  /// The same, and one that asked for a back-off takes a call first.
  BackingOff
};

/// Call that an upstream is chosen for.
struct SelectQuery
{
  PoolId m_pool;
  /// The model is empty for plain services.
  ModelTarget m_target;
  /// Upstreams of earlier attempts of the call; they are not chosen again.
  std::set<UpstreamId> m_tried;
  /// Upstreams that limit requests are left out.
  bool m_skipsLimited = false;
  /// If set, only upstreams of this software are chosen.
  std::optional<SoftwareVersion> m_software = std::nullopt;
};

/// Chooses the upstream where a call is expected to start earliest and to delay
/// other calls least.
///
/// When several entries send prompts to one engine at once, all streams of that
/// engine pause. An entry can't see the prompts of the others, but the time
/// between events of its own streams grows. So an engine whose events become
/// slow is avoided for a short time.
///
/// With an EngineLearning, the cost follows from what it predicts instead of
/// constants, and engines of nearly equal cost are chosen at random; see
/// docs/design/engine-model.md.
/// @thread loop thread only.
class EngineSelector
{
public:
  /// Creates the selector of an entry in aOwnDomain. @pre aTable, aRandom and
  /// aLearning outlive it; aLearning is null if it doesn't learn.
  EngineSelector(const EngineTable& aTable,
                 FailureDomainId aOwnDomain,
                 DomainRegions aRegions,
                 RandomSource& aRandom,
                 const EngineLearning* aLearning = nullptr);

  /// Returns the upstream with the least cost. @pre none.
  /// @error null; see LastError().
  const EngineState* Choose(const SelectQuery& aQuery, TimePoint aNow);
  /// Returns an upstream with the model where the call costs less than on
  /// aHolder even though the adapter has to be loaded; without aHolder, the
  /// best upstream with the model. @pre aHolder is the best upstream that has
  /// the adapter, null for none. @error null if there is no such upstream.
  const EngineState* ChooseForAdapter(const SelectQuery& aQuery,
                                      const EngineState* aHolder,
                                      TimePoint aNow);
  /// Returns the expected wait of a new call until the engine starts to read
  /// its prompt. @pre none.
  [[nodiscard]] Duration ExpectedWait(const EngineState& aState,
                                      TimePoint aNow) const;
  /// Returns why the last Choose() failed. @pre it failed.
  [[nodiscard]] SelectError LastError() const { return m_lastError; }
  /// Returns when one of the upstreams takes a request again.
  /// @pre LastError() is RateLimited or BackingOff.
  [[nodiscard]] TimePoint AvailableAt() const { return m_availableAt; }
  /// Returns when a caller should come back. Callers are spread over a time, as
  /// the upstream would turn most of them away if all came at once.
  /// @pre LastError() is BackingOff.
  [[nodiscard]] Duration RetryAfterBackOff(TimePoint aNow);

private:
  [[nodiscard]] Duration Cost(const EngineState& aState, TimePoint aNow) const;
  /// Returns the cost of an engine of a pool that is learned, and its error.
  [[nodiscard]] EngineCandidate LearnedCost(
    const EngineState& aState,
    const EngineLearning::PoolModels& aPool,
    const PoolState& aPoolState,
    TimePoint aNow) const;
  /// Returns the part of the cost that is the same with and without learning.
  [[nodiscard]] Duration FixedCost(const EngineState& aState,
                                   TimePoint aNow) const;
  /// Notes that an upstream could serve the call later.
  void DelayCalls(const EngineState& aState,
                  const std::optional<TimePoint>& aBackOffEnd);
  [[nodiscard]] Duration DistanceCost(const FailureDomainId& aDomain) const;

  const EngineTable& m_table;
  FailureDomainId m_ownDomain;
  RegionId m_ownRegion;
  DomainRegions m_regions;
  RandomSource& m_random;
  const EngineLearning* m_learning;
  NearEqualChoice m_nearEqual;
  /// Candidates of the current choice, kept to save allocations.
  std::vector<EngineCandidate> m_candidates;
  SelectError m_lastError = SelectError::NoUpstream;
  TimePoint m_availableAt;
};

} // namespace celeryspread
