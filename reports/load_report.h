#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Load and resident models as reported by an engine.
struct LoadReport
{
  /// When the report was requested, so the engine's state is at least as new.
  TimePoint m_takenAt;
  /// Calls in execution.
  uint32_t m_running = 0;
  /// Calls in the engine's queue.
  uint32_t m_waiting = 0;
  /// The engine will stop and gets no new calls.
  bool m_isLeaving = false;
  /// Engine names of the models and adapters that it can serve now.
  std::set<std::string> m_resident;
  /// Engine names of the models and adapters that are being loaded; they
  /// already take memory.
  std::set<std::string> m_loading;
  /// Memory by engine name, for those whose size the engine reports.
  std::map<std::string, ByteCount> m_residentBytes;
};

/// Parses an engine's metrics in the Prometheus text format. Unknown series
/// are ignored.
/// @pre none. @thread any. @error empty when no known series is present.
std::optional<LoadReport> ParseLoadReport(std::string_view aText,
                                          TimePoint aTakenAt);

} // namespace celeryspread
