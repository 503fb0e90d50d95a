#include "wire/route_assembly.h"

#include <utility>

namespace celeryspread {

std::optional<std::string> RouteAssembly::Add(const RoutePiece& aPiece)
{
  const bool isOther = aPiece.m_transfer != m_transfer &&
                       aPiece.m_transfer.m_version >= m_transfer.m_version;
  if (isOther && aPiece.m_offset == 0) {
    Clear();
    m_transfer = aPiece.m_transfer;
    m_totalBytes = aPiece.m_totalBytes;
  }
  const bool fits =
    aPiece.m_transfer == m_transfer && aPiece.m_totalBytes == m_totalBytes &&
    aPiece.m_offset == m_bytes.size() && m_totalBytes <= kMaxBytes &&
    aPiece.m_bytes.size() <= m_totalBytes - m_bytes.size();
  if (!fits) {
    return std::nullopt;
  }
  m_bytes.append(aPiece.m_bytes);
  if (m_bytes.size() < m_totalBytes) {
    return std::nullopt;
  }
  std::string bytes = std::move(m_bytes);
  Clear();
  return bytes;
}

void RouteAssembly::Clear()
{
  m_transfer = RouteTransfer();
  m_totalBytes = 0;
  m_bytes.clear();
}

} // namespace celeryspread
