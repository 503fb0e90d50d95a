#include "control/route_source.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryspread {

namespace {

/// A former document is kept for this long after the last piece was read.
constexpr Duration kReadMemory = std::chrono::seconds(3);
/// Former documents that are kept, each of up to a few megabytes.
constexpr size_t kMaxFormer = 2;

} // namespace

void RouteSource::SetReplicated(const RouteChange& aRoutes, TimePoint aNow)
{
  if (aRoutes.m_version > m_version) {
    Serve(aRoutes.m_version, aRoutes.m_document, aNow);
  }
}

void RouteSource::SetFetched(const RouteDocument& aDocument, TimePoint aNow)
{
  if (aDocument.m_version > m_version) {
    Serve(aDocument.m_version, aDocument.m_bytes, aNow);
  }
}

void RouteSource::Serve(Revision aVersion,
                        std::string aDocument,
                        TimePoint aNow)
{
  std::erase_if(m_former, [&](const auto& aFormer) {
    return aFormer.second.m_readAt + kReadMemory < aNow;
  });
  if (m_readAt && aNow < *m_readAt + kReadMemory) {
    m_former[m_version] = { m_document, *m_readAt };
  }
  // The older ones stay, as their readers are further. If each change displaced
  // the oldest one, changes in series could keep every entry from finishing.
  while (m_former.size() > kMaxFormer) {
    m_former.erase(std::prev(m_former.end()));
  }
  m_version = aVersion;
  m_document = std::make_shared<const std::string>(std::move(aDocument));
  m_readAt.reset();
  if (m_version >= m_proven) {
    m_behindSince.reset();
  }
}

void RouteSource::RecordProven(Revision aVersion, TimePoint aNow)
{
  m_proven = std::max(m_proven, aVersion);
  if (m_proven > m_version && !m_behindSince) {
    m_behindSince = aNow;
  }
}

Duration RouteSource::Lag(TimePoint aNow) const
{
  return m_behindSince ? aNow - *m_behindSince : Duration::zero();
}

RoutePiece RouteSource::Read(Revision aVersion,
                             uint64_t aOffset,
                             TimePoint aNow)
{
  const auto former = m_former.find(aVersion);
  const bool isFormer = former != m_former.end();
  if (isFormer) {
    former->second.m_readAt = aNow;
  } else {
    m_readAt = aNow;
  }
  const std::string& bytes = isFormer ? *former->second.m_bytes : *m_document;
  const Revision version = isFormer ? aVersion : m_version;
  const uint64_t offset =
    version == aVersion ? std::min<uint64_t>(aOffset, bytes.size()) : 0;
  return { version,
           bytes.size(),
           offset,
           std::string_view(bytes).substr(offset, RouteAssembly::kPieceBytes) };
}

} // namespace celeryspread
