#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace celeryspread {

/// A piece of a route document.
struct RoutePiece
{
  Revision m_version;
  /// Bytes of the whole document.
  uint64_t m_totalBytes = 0;
  uint64_t m_offset = 0;
  std::string_view m_bytes;
};

/// A whole route document.
struct RouteDocument
{
  Revision m_version;
  std::string m_bytes;
};

/// Puts a route document together from pieces, which may come from several
/// instances. What has arrived is kept until the document is whole or an
/// instance no longer has its version.
/// @thread loop thread only.
class RouteAssembly
{
public:
  /// Largest piece of a document in one answer. @unit bytes.
  static constexpr uint64_t kPieceBytes = 32'768;
  /// Largest document that is accepted. @unit bytes.
  static constexpr uint64_t kMaxBytes = 16'777'216;

  /// Returns the version being assembled, 0 for none. @pre none.
  [[nodiscard]] Revision Version() const { return m_version; }
  /// Returns the number of bytes that have arrived, which is the offset of the
  /// next piece. @pre none.
  [[nodiscard]] uint64_t NextOffset() const { return m_bytes.size(); }
  /// Adds a piece. One of another version begins anew if it is newer. @pre
  /// none. @return the document once it is whole. @error empty, without
  /// progress, for a piece that does not fit.
  std::optional<RouteDocument> Add(const RoutePiece& aPiece);
  /// Drops what has arrived. @pre none.
  void Clear();

private:
  Revision m_version;
  uint64_t m_totalBytes = 0;
  std::string m_bytes;
};

} // namespace celeryspread
