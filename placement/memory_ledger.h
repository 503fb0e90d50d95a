#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "reports/load_report.h"

namespace celeryspread {

/// State of one model or adapter on one engine, as the owner knows it.
enum class ResidencyState
{
  Resident,
  /// A load was ordered or reported as running, and isn't confirmed as
  /// finished.
  Loading,
  /// An unload was ordered, and isn't confirmed as finished.
  Unloading
};

/// One model or adapter on an engine.
struct Residency
{
  ByteCount m_bytes;
  ResidencyState m_state = ResidencyState::Resident;
  /// A report of an earlier time can't show that this is gone, because an order
  /// that was already sent may still take effect after it.
  TimePoint m_trustReportsFrom;
};

/// Accounts for the accelerator memory of one engine, so that everything
/// resident, loading or not confirmed as unloaded, plus the cache reserve,
/// never exceeds the capacity.
/// @thread loop thread only.
class MemoryLedger
{
public:
  /// Creates a ledger that reserves nothing before the first report. @pre none.
  MemoryLedger(ByteCount aCapacity, ByteCount aCacheReserve);

  /// Applies what the engine reports as resident and loading. Memory is freed
  /// only here.
  /// @pre aSizes gives the declared sizes of known names.
  void ApplyReport(const LoadReport& aReport,
                   const std::map<std::string, ByteCount>& aSizes);
  /// Reserves memory for a load before its order is sent. @pre none.
  /// @error false when there is no room, when aName already takes memory, or
  /// before the first report.
  bool TryReserve(const std::string& aName,
                  ByteCount aBytes,
                  TimePoint aTrustReportsFrom);
  /// Records that an unload is ordered; the memory stays reserved until a
  /// report shows it as free. @pre aName is resident.
  void RecordUnload(const std::string& aName, TimePoint aTrustReportsFrom);
  /// Trusts reports from aTrustReportsFrom on, if that is earlier than the time
  /// set with the order: the engine has answered the order. @pre none.
  void TrustReportsFrom(const std::string& aName, TimePoint aTrustReportsFrom);
  /// Replaces capacity and reserve after a change of settings. @pre none.
  void SetCapacity(ByteCount aCapacity, ByteCount aCacheReserve);

  /// Returns the memory that is free for loads. @pre none.
  [[nodiscard]] ByteCount Free() const;
  /// Returns the memory in use or reserved, including the cache reserve.
  /// @pre none.
  [[nodiscard]] ByteCount Taken() const;
  /// Returns true once a report was applied. @pre none.
  [[nodiscard]] bool HasReport() const { return m_hasReport; }
  /// Returns everything that takes memory. @pre none.
  [[nodiscard]] const std::map<std::string, Residency>& Contents() const
  {
    return m_contents;
  }

private:
  /// The larger of the reported and the declared size; the whole capacity when
  /// neither is known.
  [[nodiscard]] ByteCount SizeOf(
    const std::string& aName,
    const LoadReport& aReport,
    const std::map<std::string, ByteCount>& aSizes) const;

  ByteCount m_capacity;
  ByteCount m_cacheReserve;
  std::map<std::string, Residency> m_contents;
  bool m_hasReport = false;
};

} // namespace celeryspread
