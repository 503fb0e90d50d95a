#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "control/route_admin.h"
#include "fleet/fleet_owner.h"
#include "http/caller_server.h"
#include "http/upstream_client.h"
#include "settings/instance_settings.h"
#include "teams/quota_pool.h"

namespace celeryspread {

/// How a control instance starts on an empty data folder.
enum class ControlStart
{
  /// As a new replica that joins a running cluster.
  Join,
  /// As one of the first replicas of a new cluster. Use it once per cluster:
  /// an instance that lost its disk and is started this way would vote again
  /// under its old identity.
  Bootstrap
};

/// Platform-specific dependencies of a control instance that manages engines.
struct FleetPlatform
{
  std::unique_ptr<RouteDocumentReader> m_documentReader;
  /// Creates the client for the engines and for the platform's list of them.
  std::function<std::unique_ptr<EngineControl>(UpstreamClient&, EventLog&)>
    m_makeEngineControl;
  /// Creates the handler of the operators' HTTP interface.
  std::function<std::unique_ptr<CallHandler>(RouteAdmin&)> m_makeOperatorApi;
  FleetOwner::Options m_ownerOptions;
  QuotaBounds m_quotaBounds;
  /// Reads the peer addresses again; empty when the settings are invalid.
  std::function<std::optional<std::vector<PeerAddress>>()> m_reloadPeers;
};

/// The process of a control instance: owns the event loop, the storage, the
/// links and the services, and connects them.
/// @thread the main thread only.
class ControlProcess
{
public:
  /// Creates a process without engine management. @pre aSettings was checked.
  ControlProcess(InstanceSettings aSettings, ControlStart aStart);
  /// Creates a process that also manages engines.
  /// @pre aSettings was checked; every member of aPlatform is set.
  ControlProcess(InstanceSettings aSettings,
                 ControlStart aStart,
                 FleetPlatform aPlatform);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Serves until SIGTERM or SIGINT. A replica that was removed from the
  /// replica set while it was unreachable discards its identity, and another
  /// one joins in its place within the same process.
  /// @pre called once. @return exit code, see docs/OPERATING.md.
  int Run();

private:
  class Impl;
  /// Null without engine management.
  std::unique_ptr<FleetPlatform> m_platform;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
