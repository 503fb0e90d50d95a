#include "streams/stream_versions.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/key_hash.h"

namespace celeryspread {

StreamKey KeyOfStream(const AttemptId& aAttempt)
{
  return StreamKey(ContentHash(aAttempt.Value()));
}

StreamVersions::StreamVersions(Duration aMemory, size_t aMaxStreams)
  : m_memory(aMemory)
  , m_maxStreams(aMaxStreams)
{
}

std::optional<SoftwareVersion> StreamVersions::FindIn(
  const Generation& aGeneration,
  StreamKey aStream)
{
  const auto found = aGeneration.m_streams.find(aStream.Value());
  return found == aGeneration.m_streams.end()
           ? std::nullopt
           : std::optional(aGeneration.m_versions[found->second]);
}

std::optional<SoftwareVersion> StreamVersions::Find(StreamKey aStream) const
{
  const auto version = FindIn(m_current, aStream);
  return version ? version : FindIn(m_former, aStream);
}

size_t StreamVersions::Size() const
{
  return m_current.m_streams.size() + m_former.m_streams.size();
}

void StreamVersions::Record(StreamKey aStream,
                            const SoftwareVersion& aVersion,
                            TimePoint aNow)
{
  if (Find(aStream)) {
    return;
  }
  auto& versions = m_current.m_versions;
  auto at = std::find(versions.begin(), versions.end(), aVersion);
  const bool isFull = 2 * m_current.m_streams.size() >= m_maxStreams ||
                      (at == versions.end() &&
                       versions.size() > std::numeric_limits<uint16_t>::max());
  m_begunAt = m_begunAt.value_or(aNow);
  if (isFull || *m_begunAt + m_memory <= aNow) {
    m_former = std::exchange(m_current, Generation());
    m_begunAt = aNow;
    at = versions.end();
  }
  if (at == versions.end()) {
    at = versions.insert(versions.end(), aVersion);
  }
  m_current.m_streams.emplace(aStream.Value(),
                              static_cast<uint16_t>(at - versions.begin()));
}

} // namespace celeryspread
