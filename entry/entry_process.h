#pragma once

#include <memory>

#include "settings/instance_settings.h"

namespace celeryspread {

/// Whole process of an entry instance: loop, sockets, signals, assembly.
/// @thread the main thread only.
class EntryProcess
{
public:
  /// Assembles the process. @pre aSettings was checked.
  explicit EntryProcess(InstanceSettings aSettings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Serves until SIGTERM or SIGINT and the drain after it.
  /// @pre called once. @return exit code, see docs/OPERATING.md.
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
