#include "fleet/version_census.h"

#include "streams/stream_versions.h"

namespace celeryspread {

void VersionCensus::Begin(const PoolVersions& aRecorded, TimePoint aNow)
{
  m_seenAt.clear();
  Observe(aRecorded, aNow);
}

void VersionCensus::Observe(const PoolVersions& aServing, TimePoint aNow)
{
  for (const auto& [pool, versions] : aServing) {
    for (const SoftwareVersion& version : versions) {
      m_seenAt[pool][version] = aNow;
    }
  }
}

PoolVersions VersionCensus::Changes(const PoolVersions& aRecorded,
                                    TimePoint aNow) const
{
  PoolVersions changes;
  for (const auto& [pool, seenAt] : m_seenAt) {
    std::set<SoftwareVersion> versions;
    for (const auto& [version, at] : seenAt) {
      if (aNow < at + kStreamMemory) {
        versions.insert(version);
      }
    }
    const auto recorded = aRecorded.find(pool);
    const bool isRecorded =
      recorded != aRecorded.end() && recorded->second == versions;
    // The last version of a pool stays: streams began at no other.
    if (!isRecorded && !versions.empty()) {
      changes.emplace(pool, std::move(versions));
    }
  }
  return changes;
}

} // namespace celeryspread
