#pragma once

#include <memory>

#include "settings/instance_settings.h"

namespace celeryspread {

/// Process of an entry instance: owns the event loop and every component,
/// listens for calls and handles signals.
/// @thread the main thread only.
class EntryProcess
{
public:
  /// Creates the process. @pre aSettings was validated.
  explicit EntryProcess(InstanceSettings aSettings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Serves until SIGTERM or SIGINT, then drains and returns.
  /// @pre called once. @return exit code, see docs/OPERATING.md.
  int Run();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace celeryspread
