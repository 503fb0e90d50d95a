#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "reports/load_report.h"

namespace celeryspread {

/// State of one model or adapter on one engine, as its owner knows it.
enum class ResidencyState
{
  Resident,
  /// A load was ordered and its end is not confirmed.
  Loading,
  /// An unload was ordered and its end is not confirmed.
  Unloading
};

/// One model or adapter on an engine.
struct Residency
{
  ByteCount m_bytes;
  ResidencyState m_state = ResidencyState::Resident;
  /// The engine's word counts from this time on: an order that was sent
  /// before may still change what an earlier report said.
  TimePoint m_settledAt;
};

/// Memory of one engine's accelerators: what is resident, loading or not yet
/// confirmed gone, plus the cache reserve, never exceeds the capacity.
/// @thread loop thread only.
class MemoryLedger
{
public:
  /// Starts without knowing what the engine holds. @pre none.
  MemoryLedger(ByteCount aCapacity, ByteCount aCacheReserve);

  /// Takes the engine's word of what it holds. Space is freed only here.
  /// @pre aSizes gives the declared sizes of known names.
  void ApplyReport(const LoadReport& aReport,
                   const std::map<std::string, ByteCount>& aSizes);
  /// Takes space for a load before its order is sent. @pre none.
  /// @error false when there is no room or contents are not known.
  bool TryReserve(const std::string& aName,
                  ByteCount aBytes,
                  TimePoint aSettledAt);
  /// Marks something as being unloaded; its space stays taken.
  /// @pre aName is resident.
  void NoteUnload(const std::string& aName, TimePoint aSettledAt);
  /// Lets reports asked for from aSettledAt on count again. @pre none.
  void NoteSettled(const std::string& aName, TimePoint aSettledAt);
  /// Changes the capacity after a change of settings. @pre none.
  void SetCapacity(ByteCount aCapacity, ByteCount aCacheReserve);

  /// Returns what is free for loads. @pre none.
  [[nodiscard]] ByteCount Free() const;
  /// Returns what is taken, cache reserve included. @pre none.
  [[nodiscard]] ByteCount Taken() const;
  /// Tells whether a report was read since the ledger was made. @pre none.
  [[nodiscard]] bool IsKnown() const { return m_isKnown; }
  /// Returns everything that takes memory. @pre none.
  [[nodiscard]] const std::map<std::string, Residency>& Contents() const
  {
    return m_contents;
  }

private:
  [[nodiscard]] ByteCount SizeOf(
    const std::string& aName,
    const LoadReport& aReport,
    const std::map<std::string, ByteCount>& aSizes) const;

  ByteCount m_capacity;
  ByteCount m_cacheReserve;
  std::map<std::string, Residency> m_contents;
  bool m_isKnown = false;
};

} // namespace celeryspread
