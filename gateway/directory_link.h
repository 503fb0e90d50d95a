#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/engine_table.h"
#include "gateway/gateway_context.h"
#include "settings/node_settings.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// An entry's link to the control instances: follows the route configuration
/// and the engine directory of their leader, tells it what clients ask for,
/// and asks it for adapters. Control instances are found from seeds and from
/// what any of them tells.
/// @thread loop thread only.
class DirectoryLink
  : public AdapterLoader
  , public DemandSink
{
public:
  /// Hears a newer route configuration as the operator's document.
  using RoutesListener =
    std::function<void(Revision aVersion, const std::string& aDocument)>;

  /// What the link works with; all references outlive it.
  struct Parts
  {
    LoopPort& m_port;
    const Clock& m_clock;
    EventLog& m_log;
    EngineTable& m_table;
    RetryShare& m_retries;
  };

  /// Starts following. @pre the settings were checked.
  DirectoryLink(Parts aParts,
                const ClusterKey& aKey,
                NodeSettings aSettings,
                RoutesListener aListener);
  ~DirectoryLink() noexcept override;
  KJ_DISALLOW_COPY(DirectoryLink);

  /// Takes seeds that were exchanged. @pre none.
  void SetSeeds(const std::vector<UpstreamAddress>& aSeeds);
  /// Tells whether a directory was received. @pre none.
  [[nodiscard]] bool HasDirectory() const { return m_hasDirectory; }

  void LoadAdapter(const PoolId& aPool,
                   const ModelTarget& aTarget,
                   const UpstreamId& aPreferred,
                   std::function<void(UpstreamId)> aDone) override;
  void NoteDemand(const PoolId& aPool, const ModelTarget& aTarget) override;
  void NoteRunning(const PoolId& aPool,
                   const ModelTarget& aTarget,
                   int aChange) override;

private:
  struct Demand
  {
    uint32_t m_calls = 0;
    uint32_t m_running = 0;
    /// Time that calls spent at engines, up to m_countedAt.
    Duration m_work{};
    TimePoint m_countedAt;
  };
  struct DemandKey
  {
    PoolId m_pool;
    ModelTarget m_target;
    auto operator<=>(const DemandKey&) const = default;
  };

  void WriteDemand(wire::FollowRequest::Builder aOut);
  void CountWork(Demand& aDemand);
  WireLink& LinkTo(const std::string& aAddress);
  WireLink* CurrentLink();
  void TryNext();
  kj::Promise<void> FollowLoop();
  kj::Promise<void> FollowOnce();
  void Apply(wire::FollowReply::Reader aReply);
  void ApplyEngines(wire::FollowReply::Reader aReply);
  void LearnControls(wire::FollowReply::Reader aReply);

  Parts m_parts;
  ClusterKey m_key;
  NodeSettings m_settings;
  RoutesListener m_listener;
  /// Links by IP number; those of instances that are gone stay down.
  std::map<std::string, std::unique_ptr<WireLink>> m_links;
  std::string m_current;
  Revision m_routeVersion;
  uint64_t m_epoch = 0;
  uint64_t m_directoryVersion = 0;
  bool m_hasDirectory = false;
  std::map<DemandKey, Demand> m_demand;
  /// Callers that wait for the same adapter.
  using LoadKey = std::pair<DemandKey, UpstreamId>;
  std::map<LoadKey, std::vector<std::function<void(UpstreamId)>>> m_loads;
  kj::Promise<void> m_follow;
};

} // namespace celeryspread
