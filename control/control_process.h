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

namespace celeryspread {

/// How a control instance starts on an empty data folder.
enum class ControlStart
{
  /// As a new replica that joins a running cluster.
  Join,
  /// As one of the first replicas of a new cluster. Used once in the life of
  /// a cluster: with it, an instance that lost its disk would vote again.
  Bootstrap
};

/// What a control instance that looks after engines gets from the platform
/// that it runs on.
struct FleetEdges
{
  std::unique_ptr<RouteDocumentReader> m_documents;
  /// Makes the client for engines and the platform's list.
  std::function<std::unique_ptr<EngineControl>(UpstreamClient&, EventLog&)>
    m_makeEngineControl;
  /// Makes the operators' HTTP interface.
  std::function<std::unique_ptr<CallHandler>(RouteAdmin&)> m_makeOperatorApi;
  FleetOwner::Limits m_limits;
  /// Reads the peers again; empty when the settings are refused.
  std::function<std::optional<std::vector<PeerAddress>>()> m_reloadPeers;
};

/// Whole process of a control instance: loop, disk, links, assembly.
/// @thread the main thread only.
class ControlProcess
{
public:
  /// Assembles the process. @pre aSettings was checked.
  ControlProcess(InstanceSettings aSettings, ControlStart aStart);
  /// Assembles the process of an instance that looks after engines as well.
  /// @pre aSettings was checked; all edges are set.
  ControlProcess(InstanceSettings aSettings,
                 ControlStart aStart,
                 FleetEdges aEdges);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Serves until SIGTERM or SIGINT.
  /// @pre called once. @return exit code, see docs/OPERATING.md.
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
