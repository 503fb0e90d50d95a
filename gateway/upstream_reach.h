#pragma once

#include <map>
#include <set>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Learns from attempts and probes whether this entry can reach the upstreams
/// of a pool by new connections. Connections that are open may live on while
/// new ones fail, so only a new one shows that upstreams are in reach. As long
/// as open ones bring answers, only probes show that they are not: the attempts
/// may all have met upstreams that have ended.
/// @thread loop thread only.
class UpstreamReach
{
public:
  /// What opened a connection.
  enum class Source
  {
    Attempt,
    Probe
  };

  /// Records that an upstream answered on a new connection. @pre none.
  void RecordConnected(const PoolId& aPool);
  /// Records that an upstream answered on a connection that was open before.
  /// @pre none.
  void RecordAnswer(const PoolId& aPool, TimePoint aNow);
  /// Records that a new connection was refused, reset before any byte of an
  /// answer, not opened in time, or brought no answer to a probe. aUpstreams is
  /// the number of upstreams of the pool that take calls.
  /// @pre none.
  void RecordNoConnection(const PoolId& aPool,
                          const UpstreamId& aUpstream,
                          Source aSource,
                          size_t aUpstreams,
                          TimePoint aNow);
  /// Returns whether the last new connections to the pool failed at several
  /// upstreams, at all of them if there are few, and within a short time.
  /// @pre none.
  [[nodiscard]] bool IsCutOff(const PoolId& aPool) const;
  /// Returns the pools that the entry is cut off from. @pre none.
  [[nodiscard]] const std::set<PoolId>& CutOffPools() const { return m_cutOff; }
  /// Returns whether a new connection to the pool failed a moment ago and none
  /// worked since, so that others should be tried. @pre none.
  [[nodiscard]] bool IsSuspect(const PoolId& aPool, TimePoint aNow) const;

private:
  struct Failure
  {
    TimePoint m_at;
    Source m_source = Source::Attempt;
  };
  struct Pool
  {
    /// Upstreams where the last new connection failed, since one worked.
    std::map<UpstreamId, Failure> m_failures;
    /// Last answer on a connection that was open before.
    TimePoint m_answeredAt;
  };

  /// Returns how many of the failures show that the pool is out of reach.
  [[nodiscard]] static size_t CountFailures(const Pool& aPool);

  std::map<PoolId, Pool> m_pools;
  std::set<PoolId> m_cutOff;
};

} // namespace celeryspread
