#pragma once

#include <memory>

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

/// Whole process of a control instance: loop, disk, links, assembly.
/// @thread the main thread only.
class ControlProcess
{
public:
  /// Assembles the process. @pre aSettings was checked.
  ControlProcess(InstanceSettings aSettings, ControlStart aStart);
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
