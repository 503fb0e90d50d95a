#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/call_facts.h"
#include "routes/route_config.h"
#include "settings/node_settings.h"

namespace celeryspread {

/// What a gateway gets from the platform that it runs on.
struct GatewayEdges
{
  std::unique_ptr<CallCodec> m_codec;
  std::unique_ptr<RouteDocumentReader> m_documents;
  /// Path of the balancer's readiness probe.
  std::string m_readyPath;
  /// Reads the settings again; empty when they are refused.
  std::function<std::optional<NodeSettings>()> m_reload;
};

/// Whole process of an entry that serves routed calls: loop, sockets,
/// signals, assembly.
/// @thread the main thread only.
class GatewayProcess
{
public:
  /// Assembles the process. @pre aSettings was checked.
  GatewayProcess(NodeSettings aSettings, GatewayEdges aEdges);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Serves until SIGTERM and the drain after it; SIGHUP reads the settings
  /// again. @pre called once. @return exit code, see docs/OPERATING.md.
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
