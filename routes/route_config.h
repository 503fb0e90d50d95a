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

/// What may be repeated of a route's calls.
enum class CallKind
{
  /// An event stream; runs at most once unless the route is resumable.
  Stream,
  Idempotent,
  NonIdempotent
};

/// Share of a route's calls that goes to one pool.
struct PoolShare
{
  PoolId m_pool;
  uint32_t m_weight = 0;
};

/// A route: calls of one host under one path prefix.
struct Route
{
  RouteId m_id;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_pathPrefix;
  CallKind m_kind = CallKind::NonIdempotent;
  /// Longest time that a call may be kept waiting.
  Duration m_timeout{};
  /// Time within which an answer earns its full credit.
  Duration m_objective{};
  /// Longest pause between events of a stream that is still on time.
  Duration m_maxGap{};
  /// Rank among the calls of a pool; 0 is the most urgent.
  uint32_t m_priority = 0;
  /// Most upstreams that may run one call.
  uint32_t m_maxAttempts = 1;
  bool m_isResumable = false;
  /// Calls name a model and their prompt's parts.
  bool m_hasPrompts = false;
  std::vector<PoolShare> m_pools;
};

/// A model that the engines of a pool can load.
struct ModelSpec
{
  std::string m_name;
  uint64_t m_megabytes = 0;
  /// Time of a load from the weight store, the engine's disk, its memory.
  Duration m_storeLoad{};
  Duration m_diskLoad{};
  Duration m_memoryLoad{};
  /// Adapters are named a1, a2 and so on up to this count.
  uint32_t m_adapters = 0;
  uint64_t m_adapterMegabytes = 0;
};

/// What all engines of a pool have in common.
struct EngineSpec
{
  uint32_t m_slots = 1;
  uint64_t m_cacheTokens = 0;
  uint64_t m_weightMegabytes = 0;
  uint32_t m_adapterPlaces = 0;
  double m_storeLoadsPerSecond = 0;
  std::map<std::string, ModelSpec, std::less<>> m_models;
};

/// A pool of upstreams that serve the same calls.
struct Pool
{
  PoolId m_id;
  std::string m_healthPath;
  /// Connections that each upstream accepts from all callers together.
  uint32_t m_maxConnections = 0;
  /// Set when the upstreams are model engines.
  std::optional<EngineSpec> m_engine;
};

/// Limits on what clients may send and how long they may idle.
struct ClientLimits
{
  size_t m_maxHeaderBytes = 16'384;
  size_t m_maxBodyBytes = 4'194'304;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

/// Everything an operator configures, under the operator's version number.
struct RouteConfigData
{
  Revision m_version;
  std::vector<Route> m_routes;
  std::vector<Pool> m_pools;
  ClientLimits m_limits;
};

/// A checked route configuration with its index.
/// @thread immutable, safe to share.
class RouteConfig
{
public:
  /// Checks and indexes a configuration. @pre none.
  /// @error null with aReason telling what is wrong and where.
  static std::shared_ptr<const RouteConfig> Make(RouteConfigData aData,
                                                 std::string& aReason);

  /// Returns the operator's version. @pre none.
  [[nodiscard]] Revision Version() const { return m_data.m_version; }
  /// Finds the route with the longest matching prefix; null for none.
  /// @pre none; the host may carry a port.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aPath) const;
  /// Finds a pool; null for none. @pre none.
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
  /// Returns the limits on clients. @pre none.
  [[nodiscard]] const ClientLimits& Limits() const { return m_data.m_limits; }

private:
  explicit RouteConfig(RouteConfigData aData);

  RouteConfigData m_data;
  /// Prefix to route for each host; prefixes are few for each host.
  std::map<std::string,
           std::map<std::string, const Route*, std::less<>>,
           std::less<>>
    m_byHost;
  std::map<PoolId, const Pool*> m_byPool;
};

/// Reads the operator's document.
/// @thread loop thread only.
class RouteDocumentReader
{
public:
  virtual ~RouteDocumentReader() = default;
  /// Reads and checks a document. @pre none.
  /// @error null with aReason telling what is wrong and where.
  virtual std::shared_ptr<const RouteConfig> Read(const std::string& aDocument,
                                                  std::string& aReason) = 0;
};

} // namespace celeryspread
