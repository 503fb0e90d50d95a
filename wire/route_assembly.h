#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace celeryspread {

/// Names the bytes in which a route document is sent. The bytes are the same on
/// every instance, so that reading may go on at another one.
struct RouteTransfer
{
  Revision m_version;
  /// Version of the document that the bytes were compressed against, 0 for
  /// none.
  Revision m_base;
  /// Whether the bytes are compressed; else they are the document itself.
  bool m_isEncoded = false;

  /// Compares all fields. @pre none. @thread any.
  auto operator<=>(const RouteTransfer&) const = default;
};

/// A piece of a route document.
struct RoutePiece
{
  RouteTransfer m_transfer;
  /// Bytes of the whole transfer.
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

/// Puts the bytes of a route document together from pieces, which may come from
/// several instances. What has arrived is kept until the transfer is whole or
/// an instance can't go on with it.
/// @thread loop thread only.
class RouteAssembly
{
public:
  /// Largest piece of a document in one answer. @unit bytes.
  static constexpr uint64_t kPieceBytes = 32'768;
  /// Largest document that is accepted. @unit bytes.
  static constexpr uint64_t kMaxBytes = 16'777'216;

  /// Returns what is being put together; version 0 for nothing. @pre none.
  [[nodiscard]] const RouteTransfer& Transfer() const { return m_transfer; }
  /// Returns the number of bytes that have arrived, which is the offset of the
  /// next piece. @pre none.
  [[nodiscard]] uint64_t NextOffset() const { return m_bytes.size(); }
  /// Adds a piece. The first one of another transfer begins anew unless its
  /// version is older. @pre none. @return the bytes once the transfer is whole.
  /// @error empty, without progress, for a piece that does not fit.
  std::optional<std::string> Add(const RoutePiece& aPiece);
  /// Drops what has arrived. @pre none.
  void Clear();

private:
  RouteTransfer m_transfer;
  uint64_t m_totalBytes = 0;
  std::string m_bytes;
};

} // namespace celeryspread
