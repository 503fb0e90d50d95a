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
  const auto told = aReport.m_residentBytes.find(aName);
  const auto declared = aSizes.find(aName);
  const bool isTold = told != aReport.m_residentBytes.end();
  const bool isDeclared = declared != aSizes.end();
  if (!isTold && !isDeclared) {
    // Nobody knows the size, so nothing may be added beside it.
    return m_capacity;
  }
  return std::max(isTold ? told->second : ByteCount(),
                  isDeclared ? declared->second : ByteCount());
}

void MemoryLedger::ApplyReport(const LoadReport& aReport,
                               const std::map<std::string, ByteCount>& aSizes)
{
  std::erase_if(m_contents, [&](const auto& aEntry) {
    const bool isSettled = aReport.m_takenAt >= aEntry.second.m_settledAt;
    return isSettled && !aReport.m_resident.contains(aEntry.first) &&
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
                             aReport.m_takenAt < residency.m_settledAt;
    if (!isUnloading) {
      residency.m_state = ResidencyState::Resident;
    }
  }
  m_isKnown = true;
}

bool MemoryLedger::TryReserve(const std::string& aName,
                              ByteCount aBytes,
                              TimePoint aSettledAt)
{
  if (!m_isKnown || m_contents.contains(aName) || aBytes > Free()) {
    return false;
  }
  m_contents[aName] = { aBytes, ResidencyState::Loading, aSettledAt };
  return true;
}

void MemoryLedger::NoteUnload(const std::string& aName, TimePoint aSettledAt)
{
  Residency& residency = m_contents.at(aName);
  residency.m_state = ResidencyState::Unloading;
  residency.m_settledAt = aSettledAt;
}

void MemoryLedger::NoteSettled(const std::string& aName, TimePoint aSettledAt)
{
  const auto found = m_contents.find(aName);
  if (found != m_contents.end()) {
    found->second.m_settledAt = std::min(found->second.m_settledAt, aSettledAt);
  }
}

} // namespace celeryspread
