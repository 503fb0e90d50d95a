#include "fleet/version_admission.h"

#include <algorithm>
#include <utility>

namespace celeryspread {

VersionAdmission::VersionAdmission(IsRecorded aIsRecorded)
  : m_isRecorded(std::move(aIsRecorded))
{
}

void VersionAdmission::Clear()
{
  m_listed.clear();
  m_waiting.clear();
  m_listedVersion = 0;
}

void VersionAdmission::Filter(std::vector<EngineRecord>& aList)
{
  PoolVersions listed;
  for (const EngineRecord& record : aList) {
    listed[record.m_pool].insert(record.m_software);
  }
  if (listed != m_listed || m_listedVersion == 0) {
    m_listed = std::move(listed);
    ++m_listedVersion;
  }
  m_waiting.clear();
  for (const auto& [pool, versions] : m_listed) {
    for (const SoftwareVersion& version : versions) {
      if (!m_isRecorded(pool, version)) {
        m_waiting[pool].insert(version);
      }
    }
  }
  if (m_waiting.empty()) {
    return;
  }
  std::erase_if(aList, [this](const EngineRecord& aRecord) {
    const auto pool = m_waiting.find(aRecord.m_pool);
    return pool != m_waiting.end() && pool->second.contains(aRecord.m_software);
  });
}

bool VersionAdmission::TakeAdmitted()
{
  const size_t admitted = std::erase_if(m_waiting, [this](const auto& aPool) {
    return std::all_of(aPool.second.begin(),
                       aPool.second.end(),
                       [&](const SoftwareVersion& aVersion) {
                         return m_isRecorded(aPool.first, aVersion);
                       });
  });
  return admitted > 0;
}

} // namespace celeryspread
