#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// What a route's calls are, which decides whether they may run again.
enum class CallKind
{
  /// The answer is an event stream; runs at most once unless the route is
  /// resumable.
  Stream,
  Idempotent,
  NonIdempotent
};

/// Weight of one pool in the split of a route's calls.
struct PoolShare
{
  PoolId m_pool;
  uint32_t m_weight = 0;
};

/// Handling of the calls to one host under one path prefix.
struct Route
{
  RouteId m_id;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  CallKind m_kind = CallKind::NonIdempotent;
  /// Longest time from the arrival of a call to the end of its answer.
  Duration m_timeout{};
  /// Target latency; an answer within it has its full utility.
  Duration m_objective{};
  /// Longest pause between events with which a stream still counts as on time.
  Duration m_maxEventGap{};
  /// Priority among the calls of a pool; 0 is the most urgent.
  uint32_t m_priority = 0;
  /// Most attempts of one call that may have run; rejected ones don't count.
  uint32_t m_maxRuns = 1;
  /// As the operator wrote it; it has a meaning for streams only, so decisions
  /// ask MayResume().
  bool m_isResumable = false;
  /// Requests name a model and the parts of their prompt.
  bool m_hasPrompts = false;
  /// Calls need no key of a team, even if the configuration has teams.
  bool m_isPublic = false;
  std::vector<PoolShare> m_pools;

  /// Returns whether a stream that has broken off may go on at another
  /// upstream. @pre none. @thread any.
  [[nodiscard]] bool MayResume() const
  {
    return m_kind == CallKind::Stream && m_isResumable;
  }
  /// Returns whether a call may be sent to another upstream after one that may
  /// have run it. @pre none. @thread any.
  [[nodiscard]] bool MayRunAgain() const
  {
    return m_kind == CallKind::Idempotent || MayResume();
  }
};

/// What the calls of a team may use, summed over all entries.
struct TeamQuota
{
  /// Whether a call counts by its tokens; otherwise each counts as one.
  bool m_countsTokens = false;
  /// 0 for no limit. @unit tokens or calls a second.
  double m_ratePerSecond = 0;
  /// @unit tokens or calls.
  double m_burst = 0;
  /// Cost of a call that states no number of tokens. @unit tokens.
  uint64_t m_plainCost = 1;

  /// Returns whether the team's use is limited. @pre none. @thread any.
  [[nodiscard]] bool IsLimited() const { return m_ratePerSecond > 0; }
  /// Returns the cost of a call that states aTokens. @pre none. @thread any.
  /// @unit tokens or calls.
  [[nodiscard]] uint64_t CostOf(const std::optional<uint64_t>& aTokens) const
  {
    return m_countsTokens ? aTokens.value_or(m_plainCost) : 1;
  }
  /// Compares all fields. @pre none. @thread any.
  bool operator==(const TeamQuota&) const = default;
};

/// A team that shares the deployment with others.
struct Team
{
  TeamId m_id;
  /// Keys with which its callers prove that they belong to it.
  std::vector<std::string> m_keys;
  /// Replaces the priority of the routes; empty to keep it.
  std::optional<uint32_t> m_priority;
  TeamQuota m_quota;
};

/// A model that the engines of a pool can load.
struct ModelSpec
{
  std::string m_name;
  uint64_t m_megabytes = 0;
  /// Load times from the weight store, the engine's disk and its memory.
  Duration m_storeLoadTime{};
  Duration m_diskLoadTime{};
  Duration m_memoryLoadTime{};
  /// Number of adapters; they are named a1, a2 and so on.
  uint32_t m_adapters = 0;
  uint64_t m_adapterMegabytes = 0;
};

/// Capacity and models that all engines of a pool share.
struct EngineSpec
{
  uint32_t m_slots = 1;
  uint64_t m_cacheTokens = 0;
  uint64_t m_weightMegabytes = 0;
  /// Weights that an engine's disk can cache.
  uint64_t m_cacheMegabytes = 0;
  uint32_t m_adapterSlots = 0;
  double m_storeLoadsPerSecond = 0;
  std::map<std::string, ModelSpec, std::less<>> m_models;
};

/// A pool of upstreams that serve the same calls.
struct Pool
{
  PoolId m_id;
  std::string m_healthPath;
  /// Connections that each upstream accepts in total.
  uint32_t m_maxConnections = 0;
  /// Set when the upstreams are model engines.
  std::optional<EngineSpec> m_engine;
};

/// Limits on the size of callers' requests and on idle connections.
struct CallerLimits
{
  size_t m_maxHeaderBytes = 16'384;
  size_t m_maxBodyBytes = 4'194'304;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

/// The operator's route configuration as read, before it is checked.
struct RouteConfigData
{
  Revision m_version;
  std::vector<Route> m_routes;
  std::vector<Pool> m_pools;
  /// Empty if calls need no keys.
  std::vector<Team> m_teams;
  CallerLimits m_limits;
};

/// A checked route configuration, indexed by host and path prefix.
/// @thread immutable, safe to share.
class RouteConfig
{
public:
  /// Checks and indexes a configuration. @pre none.
  /// @error null; aReason names the invalid element and its fault.
  static std::shared_ptr<const RouteConfig> Make(RouteConfigData aData,
                                                 std::string& aReason);

  /// Returns the version number that the operator gave. @pre none.
  [[nodiscard]] Revision Version() const { return m_data.m_version; }
  /// Returns the route with the longest matching prefix, null if none matches.
  /// @pre none; aHost may include a port.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aPath) const;
  /// Returns the pool with an id, null if there is none. @pre none.
  [[nodiscard]] const Pool* FindPool(const PoolId& aId) const;
  /// Returns all pools. @pre none.
  [[nodiscard]] const std::vector<Pool>& Pools() const
  {
    return m_data.m_pools;
  }
  /// Returns all routes. @pre none.
  [[nodiscard]] const std::vector<Route>& Routes() const
  {
    return m_data.m_routes;
  }
  /// Returns all teams, empty if calls need no keys. @pre none.
  [[nodiscard]] const std::vector<Team>& Teams() const
  {
    return m_data.m_teams;
  }
  /// Returns the limits on callers. @pre none.
  [[nodiscard]] const CallerLimits& Limits() const { return m_data.m_limits; }

private:
  explicit RouteConfig(RouteConfigData aData);

  RouteConfigData m_data;
  /// For each host, routes by path prefix.
  std::map<std::string,
           std::map<std::string, const Route*, std::less<>>,
           std::less<>>
    m_byHost;
  std::map<PoolId, const Pool*> m_byPool;
};

/// Parses the document in which the operator writes the configuration.
/// @thread loop thread only.
class RouteDocumentReader
{
public:
  virtual ~RouteDocumentReader() = default;
  /// Parses and checks a document. @pre none.
  /// @error null; aReason names the invalid element and its fault.
  virtual std::shared_ptr<const RouteConfig> Read(const std::string& aDocument,
                                                  std::string& aReason) = 0;
};

} // namespace celeryspread
