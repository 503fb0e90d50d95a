#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/random_source.h"
#include "gateway/engine_table.h"

namespace celeryspread {

/// Failure domains and the region of each.
using DomainRegions = std::map<FailureDomainId, RegionId>;

/// Why no upstream was chosen. Each means that the call has not run.
enum class SelectError
{
  /// The pool has no upstream that takes new work.
  NoUpstream,
  /// No upstream holds the model.
  ModelMissing,
  /// Some upstream holds the model, but none the adapter.
  AdapterMissing
};

/// What to choose an upstream for.
struct SelectQuery
{
  PoolId m_pool;
  /// Empty model for plain services.
  ModelTarget m_target;
  /// Upstreams that the call was sent to before.
  std::set<UpstreamId> m_tried;
};

/// Chooses the upstream where a call is expected to start first and to hold up
/// others least.
///
/// Pattern answered: prompts of several entries that meet at one engine pause
/// all its streams. What other entries send shows in the time between events
/// of own streams, so an engine whose events slow down is left alone for a
/// moment.
/// @thread loop thread only.
class EngineSelector
{
public:
  /// Chooses for an entry of aOwnDomain. @pre references outlive it.
  EngineSelector(const EngineTable& aTable,
                 FailureDomainId aOwnDomain,
                 DomainRegions aRegions,
                 RandomSource& aRandom);

  /// Chooses an upstream. @pre none. @error null; see LastError().
  const EngineState* Choose(const SelectQuery& aQuery, TimePoint aNow);
  /// Chooses an upstream that holds the model and is worth the load of the
  /// adapter there. @pre aHolder is the best one that holds the adapter, null
  /// for none. @error null when there is none.
  const EngineState* ChooseForAdapter(const SelectQuery& aQuery,
                                      const EngineState* aHolder,
                                      TimePoint aNow);
  /// Returns how long a call is expected to wait there before its own prompt
  /// is read. @pre none.
  [[nodiscard]] static Duration ExpectedWait(const EngineState& aState,
                                             TimePoint aNow);
  /// Returns why the last Choose() failed. @pre it failed.
  [[nodiscard]] SelectError LastError() const { return m_lastError; }

private:
  [[nodiscard]] Duration Cost(const EngineState& aState, TimePoint aNow) const;
  [[nodiscard]] Duration DistanceCost(const FailureDomainId& aDomain) const;

  const EngineTable& m_table;
  FailureDomainId m_ownDomain;
  RegionId m_ownRegion;
  DomainRegions m_regions;
  RandomSource& m_random;
  SelectError m_lastError = SelectError::NoUpstream;
};

} // namespace celeryspread
