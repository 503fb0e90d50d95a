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

/// What an engine says of itself.
struct LoadReport
{
  TimePoint m_takenAt;
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  bool m_isLeaving = false;
  /// Engine names of the models and adapters it can serve now.
  std::set<std::string> m_resident;
  /// Engine names of what is being loaded; it takes memory already.
  std::set<std::string> m_loading;
  /// Memory that each resident one takes, as far as the engine tells.
  std::map<std::string, ByteCount> m_residentBytes;
};

/// Reads the Prometheus text page of an engine. Unknown series are skipped.
/// @pre none. @thread any. @error empty when no known series is present.
std::optional<LoadReport> ParseLoadReport(std::string_view aText,
                                          TimePoint aTakenAt);

} // namespace celeryspread
