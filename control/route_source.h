#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/commands.h"
#include "core/clock.h"
#include "wire/route_assembly.h"

namespace celeryspread {

/// The route documents that a control instance serves to entries: the newest of
/// those that its replica has and those that it has read from the owner, and
/// some former ones, against which newer ones are compressed.
///
/// A replica may lag behind what the owner proves, or take no part for a time,
/// as when its disk is full. The instance then reads the document from the
/// owner, so that its entries need not wait for the replica.
/// @thread loop thread only.
class RouteSource
{
public:
  /// The replica usually has a committed version within this time after the
  /// owner has proved it.
  static constexpr Duration kMaxReplicaLag = std::chrono::milliseconds(300);
  /// Documents that are kept, the one served included.
  static constexpr size_t kMaxDocuments = 64;

  /// Bytes that are sent for a document, and what they are.
  struct Content
  {
    RouteTransfer m_transfer;
    std::shared_ptr<const std::string> m_bytes;
  };

  /// Records the document that the replica has. @pre none; an older one is
  /// ignored.
  void SetReplicated(const RouteChange& aRoutes);
  /// Records a document that was read from the owner. @pre none.
  void SetFetched(const RouteDocument& aDocument);
  /// Records that a version is proved to be committed. @pre none.
  void RecordProven(Revision aVersion, TimePoint aNow);

  /// Returns the version served, 0 for none. @pre none.
  [[nodiscard]] Revision Version() const { return m_version; }
  /// Returns the newest version that was proved. @pre none.
  [[nodiscard]] Revision Proven() const { return m_proven; }
  /// Returns the document served. @pre none.
  [[nodiscard]] const std::shared_ptr<const std::string>& Document() const
  {
    return m_document;
  }
  /// Returns the time for which a newer version than the one served has been
  /// proved; zero if none is. @pre none.
  [[nodiscard]] Duration Lag(TimePoint aNow) const;
  /// Returns whether the document has to be read from the owner. @pre none.
  [[nodiscard]] bool NeedsFetch(TimePoint aNow) const
  {
    return Lag(aNow) >= kMaxReplicaLag;
  }
  /// Returns the document served as it is sent to an entry that has aBase, 0
  /// for no document. @pre none.
  [[nodiscard]] Content Encode(Revision aBase);
  /// Returns a piece of a transfer. If it can't be continued here, the piece is
  /// the first one of the document served, for an entry that has the same base.
  /// @pre Version() is not 0; the piece is valid until the next call of another
  /// method.
  [[nodiscard]] RoutePiece Read(const RouteTransfer& aTransfer,
                                uint64_t aOffset);

private:
  void Serve(Revision aVersion, std::string aDocument);
  /// Returns the bytes of a transfer; null if its document or base is not kept.
  std::shared_ptr<const std::string> BytesOf(const RouteTransfer& aTransfer);

  Revision m_version;
  std::shared_ptr<const std::string> m_document =
    std::make_shared<const std::string>();
  /// The newest documents, the one served included.
  std::map<Revision, std::shared_ptr<const std::string>> m_documents;
  size_t m_documentBytes = 0;
  /// Compressed documents of which both documents are kept.
  std::map<RouteTransfer, std::shared_ptr<const std::string>> m_encoded;
  Revision m_proven;
  std::optional<TimePoint> m_behindSince;
};

} // namespace celeryspread
