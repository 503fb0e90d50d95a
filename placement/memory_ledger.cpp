#include "placement/memory_ledger.h"

#include <algorithm>

namespace celeryspread {

MemoryLedger::MemoryLedger(ByteCount aCapacity, ByteCount aCacheReserve)
  : m_capacity(aCapacity)
  , m_cacheReserve(aCacheReserve)
{
}

void MemoryLedger::SetCapacity(ByteCount aCapacity, ByteCount aCacheReserve)
{
  m_capacity = aCapacity;
  m_cacheReserve = aCacheReserve;
}

ByteCount MemoryLedger::Taken() const
{
  ByteCount taken = m_cacheReserve;
  for (const auto& [name, residency] : m_contents) {
    taken += residency.m_bytes;
  }
  return taken;
}

ByteCount MemoryLedger::Free() const
{
  const ByteCount taken = Taken();
  return taken >= m_capacity ? ByteCount() : m_capacity - taken;
}

ByteCount MemoryLedger::SizeOf(
  const std::string& aName,
  const LoadReport& aReport,
  const std::map<std::string, ByteCount>& aSizes) const
{
  const auto reported = aReport.m_residentBytes.find(aName);
  const auto declared = aSizes.find(aName);
  const bool isReported = reported != aReport.m_residentBytes.end();
  const bool isDeclared = declared != aSizes.end();
  if (!isReported && !isDeclared) {
    // The size is unknown, so the engine counts as full.
    return m_capacity;
  }
  return std::max(isReported ? reported->second : ByteCount(),
                  isDeclared ? declared->second : ByteCount());
}

void MemoryLedger::ApplyReport(const LoadReport& aReport,
                               const std::map<std::string, ByteCount>& aSizes)
{
  std::erase_if(m_contents, [&](const auto& aEntry) {
    const bool isTrusted =
      aReport.m_takenAt >= aEntry.second.m_trustReportsFrom;
    return isTrusted && !aReport.m_resident.contains(aEntry.first) &&
           !aReport.m_loading.contains(aEntry.first);
  });
  for (const std::string& name : aReport.m_loading) {
    Residency& residency = m_contents[name];
    residency.m_bytes =
      std::max(residency.m_bytes, SizeOf(name, aReport, aSizes));
    residency.m_state = ResidencyState::Loading;
  }
  for (const std::string& name : aReport.m_resident) {
    Residency& residency = m_contents[name];
    residency.m_bytes =
      std::max(residency.m_bytes, SizeOf(name, aReport, aSizes));
    const bool isUnloading = residency.m_state == ResidencyState::Unloading &&
                             aReport.m_takenAt < residency.m_trustReportsFrom;
    if (!isUnloading) {
      residency.m_state = ResidencyState::Resident;
    }
  }
  m_hasReport = true;
}

bool MemoryLedger::TryReserve(const std::string& aName,
                              ByteCount aBytes,
                              TimePoint aTrustReportsFrom)
{
  if (!m_hasReport || m_contents.contains(aName) || aBytes > Free()) {
    return false;
  }
  m_contents[aName] = { aBytes, ResidencyState::Loading, aTrustReportsFrom };
  return true;
}

void MemoryLedger::RecordUnload(const std::string& aName,
                                TimePoint aTrustReportsFrom)
{
  Residency& residency = m_contents.at(aName);
  residency.m_state = ResidencyState::Unloading;
  residency.m_trustReportsFrom = aTrustReportsFrom;
}

void MemoryLedger::TrustReportsFrom(const std::string& aName,
                                    TimePoint aTrustReportsFrom)
{
  const auto found = m_contents.find(aName);
  if (found != m_contents.end()) {
    found->second.m_trustReportsFrom =
      std::min(found->second.m_trustReportsFrom, aTrustReportsFrom);
  }
}

} // namespace celeryspread
