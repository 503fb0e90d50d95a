#include "control/route_source.h"

#include <algorithm>
#include <utility>

#include "wire/route_encoding.h"

namespace celeryspread {

namespace {

/// Documents beyond this are dropped, but for the newest two. @unit bytes.
constexpr size_t kMaxDocumentBytes = 33'554'432;
constexpr size_t kMinDocuments = 2;

} // namespace

void RouteSource::SetReplicated(const RouteChange& aRoutes)
{
  if (aRoutes.m_version > m_version) {
    Serve(aRoutes.m_version, aRoutes.m_document);
  }
}

void RouteSource::SetFetched(const RouteDocument& aDocument)
{
  if (aDocument.m_version > m_version) {
    Serve(aDocument.m_version, aDocument.m_bytes);
  }
}

void RouteSource::Serve(Revision aVersion, std::string aDocument)
{
  m_version = aVersion;
  m_document = std::make_shared<const std::string>(std::move(aDocument));
  m_documents.emplace(aVersion, m_document);
  m_documentBytes += m_document->size();
  // Which entries still read a document plays no part: a slow reader must not
  // take the place of one that others read.
  while (m_documents.size() > kMaxDocuments ||
         (m_documentBytes > kMaxDocumentBytes &&
          m_documents.size() > kMinDocuments)) {
    m_documentBytes -= m_documents.begin()->second->size();
    m_documents.erase(m_documents.begin());
  }
  std::erase_if(m_encoded, [this](const auto& aEncoded) {
    const RouteTransfer& transfer = aEncoded.first;
    return !m_documents.contains(transfer.m_version) ||
           (transfer.m_base != Revision() &&
            !m_documents.contains(transfer.m_base));
  });
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

std::shared_ptr<const std::string> RouteSource::BytesOf(
  const RouteTransfer& aTransfer)
{
  const auto document = m_documents.find(aTransfer.m_version);
  const auto base = m_documents.find(aTransfer.m_base);
  const bool hasBase = aTransfer.m_base != Revision();
  if (document == m_documents.end() || (hasBase && base == m_documents.end())) {
    return nullptr;
  }
  if (!aTransfer.m_isEncoded) {
    return hasBase ? nullptr : document->second;
  }
  auto& encoded = m_encoded[aTransfer];
  if (encoded == nullptr) {
    encoded = std::make_shared<const std::string>(
      EncodeRoutes(*document->second, hasBase ? *base->second : std::string()));
  }
  return encoded;
}

RouteSource::Content RouteSource::Encode(Revision aBase)
{
  const bool hasBase = aBase < m_version && m_documents.contains(aBase);
  const RouteTransfer transfer{ m_version, hasBase ? aBase : Revision(), true };
  return { transfer, BytesOf(transfer) };
}

RoutePiece RouteSource::Read(const RouteTransfer& aTransfer, uint64_t aOffset)
{
  Content content{ aTransfer, BytesOf(aTransfer) };
  uint64_t offset = aOffset;
  if (content.m_bytes == nullptr) {
    content = aTransfer.m_isEncoded
                ? Encode(aTransfer.m_base)
                : Content{ { m_version, Revision(), false }, m_document };
    offset = 0;
  }
  const std::string_view bytes(*content.m_bytes);
  offset = std::min<uint64_t>(offset, bytes.size());
  return { content.m_transfer,
           bytes.size(),
           offset,
           bytes.substr(offset, RouteAssembly::kPieceBytes) };
}

} // namespace celeryspread
