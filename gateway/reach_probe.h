#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/timers.h"
#include "gateway/engine_table.h"
#include "gateway/upstream_reach.h"
#include "http/upstream_client.h"
#include "routes/route_config.h"
#include "telemetry/event_log.h"

namespace celeryspread {

/// Asks upstreams for their health on new connections while it is in doubt
/// whether this entry reaches those of a pool: after a new connection failed,
/// after all of them fell silent, and from time to time while it is cut off.
/// Sends nothing otherwise.
/// @thread loop thread only.
class ReachProbe
{
public:
  /// Objects that the probe uses. All of them outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    UpstreamClient& m_client;
    const EngineTable& m_table;
    UpstreamReach& m_reach;
    EventLog& m_log;
  };

  explicit ReachProbe(Dependencies aDependencies);
  ~ReachProbe();
  ReachProbe(const ReachProbe&) = delete;
  ReachProbe& operator=(const ReachProbe&) = delete;

  /// Puts a configuration in force, which names the pools. @pre none.
  void SetConfig(std::shared_ptr<const RouteConfig> aConfig);

private:
  class Probe;

  struct PoolState
  {
    /// Where the next round of probes begins among the pool's upstreams.
    size_t m_next = 0;
    TimePoint m_nextRoundAt;
  };

  void Tick();
  /// Logs the pools that came out of reach, or back, since the last call.
  void LogChanges();
  /// Returns whether all upstreams that have calls of this entry are silent.
  [[nodiscard]] bool IsSilent(const PoolId& aPool, TimePoint aNow) const;
  void ProbeSome(const Pool& aPool, size_t aCount);
  void Remove(uint64_t aId);

  Dependencies m_deps;
  std::shared_ptr<const RouteConfig> m_config;
  std::map<PoolId, PoolState> m_pools;
  std::set<PoolId> m_loggedCutOff;
  std::map<uint64_t, std::unique_ptr<Probe>> m_probes;
  std::vector<std::unique_ptr<Probe>> m_ended;
  uint64_t m_nextProbe = 0;
  std::unique_ptr<Timer> m_timer;
};

} // namespace celeryspread
