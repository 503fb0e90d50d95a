#include "wire/route_assembly.h"

#include <utility>

namespace celeryspread {

std::optional<RouteDocument> RouteAssembly::Add(const RoutePiece& aPiece)
{
  if (aPiece.m_version > m_version && aPiece.m_offset == 0) {
    Clear();
    m_version = aPiece.m_version;
    m_totalBytes = aPiece.m_totalBytes;
  }
  const bool fits =
    aPiece.m_version == m_version && aPiece.m_totalBytes == m_totalBytes &&
    aPiece.m_offset == m_bytes.size() && m_totalBytes <= kMaxBytes &&
    aPiece.m_bytes.size() <= m_totalBytes - m_bytes.size();
  if (!fits) {
    return std::nullopt;
  }
  m_bytes.append(aPiece.m_bytes);
  if (m_bytes.size() < m_totalBytes) {
    return std::nullopt;
  }
  RouteDocument document{ m_version, std::move(m_bytes) };
  Clear();
  return document;
}

void RouteAssembly::Clear()
{
  m_version = Revision();
  m_totalBytes = 0;
  m_bytes.clear();
}

} // namespace celeryspread
