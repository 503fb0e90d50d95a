#pragma once

#include <map>
#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Software versions of the engines of each pool.
using PoolVersions = std::map<PoolId, std::set<SoftwareVersion>>;

/// Decides which software versions are recorded for a pool in the replicated
/// state: those at which a stream may have begun whose caller can still ask for
/// the rest. The record outlives the loss of all processes. A version is added
/// when its first engine is seen, and leaves some time after its last one.
/// @thread loop thread only.
class VersionCensus
{
public:
  /// Starts a term of the owner: all that is recorded counts as seen now, as
  /// its predecessor may have seen it last. @pre none.
  void Begin(const PoolVersions& aRecorded, TimePoint aNow);
  /// Records the versions of the engines that the platform lists. @pre none.
  void Observe(const PoolVersions& aServing, TimePoint aNow);
  /// Returns the pools whose record has to be replaced, and by what. @pre none.
  [[nodiscard]] PoolVersions Changes(const PoolVersions& aRecorded,
                                     TimePoint aNow) const;

private:
  std::map<PoolId, std::map<SoftwareVersion, TimePoint>> m_seenAt;
};

} // namespace celeryspread
