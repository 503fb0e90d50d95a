#include "control/stream_service.h"

#include <algorithm>

#include "wire/message_bytes.h"
#include "wire/version_codec.h"

namespace celeryspread {

namespace {

/// A change of the list is recorded at once, anything else in this time.
constexpr Duration kCensusPeriod = std::chrono::seconds(1);

PoolVersions ServingVersions(const EngineDirectory& aDirectory)
{
  PoolVersions serving;
  for (const auto& [id, entry] : aDirectory.All()) {
    if (!entry.m_isGone) {
      serving[entry.m_record.m_pool].insert(entry.m_record.m_software);
    }
  }
  return serving;
}

std::string VersionsText(const std::set<SoftwareVersion>& aVersions)
{
  std::string text;
  for (const SoftwareVersion& version : aVersions) {
    text += (text.empty() ? "" : ",") + version.Value();
  }
  return text;
}

bool HasSeveral(const PoolVersions& aPools)
{
  return std::any_of(aPools.begin(), aPools.end(), [](const auto& aPool) {
    return aPool.second.size() > 1;
  });
}

} // namespace

StreamService::StreamService(const Clock& aClock,
                             ReplicaHost& aHost,
                             EventLog& aLog)
  : m_clock(aClock)
  , m_host(aHost)
  , m_log(aLog)
  , m_streams(kStreamMemory, kMaxStreams)
{
}

void StreamService::Begin()
{
  m_census.Begin(m_host.State().RecordedVersions(), m_clock.Now());
  m_censusDue = TimePoint();
  m_seenList = 0;
}

void StreamService::Tick(const VersionAdmission& aListed)
{
  const TimePoint now = m_clock.Now();
  const bool isDue =
    now >= m_censusDue || aListed.ListedVersion() != m_seenList;
  if (!isDue || aListed.ListedVersion() == 0 || !m_host.HasLease()) {
    return;
  }
  m_censusDue = now + kCensusPeriod;
  m_seenList = aListed.ListedVersion();
  m_census.Observe(aListed.Listed(), now);
  // A change that is not committed is proposed again.
  for (const auto& [pool, versions] :
       m_census.Changes(m_host.State().RecordedVersions(), now)) {
    m_log.Write(EventId::PoolVersionsProposed,
                "pool=" + pool.Value() + " versions=\"" +
                  VersionsText(versions) + "\"");
    m_host.Propose({ {}, PoolVersionsChange{ pool, versions } },
                   [](const std::optional<CommandResult>&) {});
  }
}

bool StreamService::HasSeveralVersions(const EngineDirectory* aDirectory)
{
  if (HasSeveral(m_host.State().RecordedVersions())) {
    return true;
  }
  if (aDirectory == nullptr) {
    return false;
  }
  if (m_servedVersion != aDirectory->Version()) {
    m_servedVersion = aDirectory->Version();
    m_servesSeveral = HasSeveral(ServingVersions(*aDirectory));
  }
  return m_servesSeveral;
}

void StreamService::Record(wire::StreamReport::Reader aReport)
{
  const TimePoint now = m_clock.Now();
  const auto versions = aReport.getVersions();
  for (const auto stream : aReport.getStreams()) {
    KJ_REQUIRE(stream.getVersion() < versions.size(), "no such version");
    m_streams.Record(StreamKey(stream.getStream()),
                     SoftwareVersion(TextOf(versions[stream.getVersion()])),
                     now);
  }
}

void StreamService::Find(const PoolId& aPool,
                         StreamKey aStream,
                         wire::StreamAnswer::Builder aOut) const
{
  if (const auto version = m_streams.Find(aStream)) {
    aOut.setIsKnown(true);
    aOut.setVersion(version->Value());
  }
  // Another replica may not know of the newest version yet.
  const PoolVersions& recorded = m_host.State().RecordedVersions();
  const auto pool = recorded.find(aPool);
  if (!m_host.HasLease() || pool == recorded.end()) {
    return;
  }
  aOut.setHasPoolVersions(true);
  auto list = aOut.initPoolVersions(static_cast<unsigned>(pool->second.size()));
  unsigned at = 0;
  for (const SoftwareVersion& version : pool->second) {
    list.set(at++, version.Value());
  }
}

} // namespace celeryspread
