#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/call_fields.h"
#include "routes/route_config.h"
#include "settings/node_settings.h"

namespace celeryspread {

/// Objects that the platform provides to the gateway.
struct GatewayPlatform
{
  std::unique_ptr<CallCodec> m_codec;
  std::unique_ptr<RouteDocumentReader> m_documentReader;
  /// Path of the load balancer's readiness probe.
  std::string m_readyPath;
  /// Reads the settings again; returns empty if they are invalid.
  std::function<std::optional<NodeSettings>()> m_reload;
};

/// The process of an entry that serves routed calls: event loop, sockets,
/// signals and the objects behind them.
/// @thread the main thread only.
class GatewayProcess
{
public:
  /// Creates the objects of the process. @pre aSettings was checked.
  GatewayProcess(NodeSettings aSettings, GatewayPlatform aPlatform);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Serves until SIGTERM or SIGINT and the drain that follows; SIGHUP reads
  /// the settings again. @pre called once. @return exit code, see
  /// docs/OPERATING.md.
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
