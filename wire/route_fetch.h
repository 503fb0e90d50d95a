#pragma once

#include <functional>
#include <memory>
#include <string>

#include "wire/route_assembly.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// A route document that has arrived, and how.
struct RouteArrival
{
  RouteDocument m_document;
  /// Calls that it took besides the one that announced it.
  uint32_t m_pieces = 0;
  /// Bytes that were sent for it.
  uint64_t m_sentBytes = 0;
};

/// Receives route documents from control instances: whole ones in answers to
/// other calls, and larger ones piece by piece, so that a document of any size
/// arrives over a slow link beside other messages, however often a call fails
/// or the instance changes.
/// @thread loop thread only.
class RouteFetch
{
public:
  /// Returns the link to read from now, null for none.
  using LinkSource = std::function<WireLink*()>;
  /// Puts a document in force. @return false if it can't be; it is read again
  /// after a while. An exception counts as false.
  using Listener = std::function<bool(const RouteArrival&)>;

  /// Creates a fetch that is idle. @pre aPort outlives it; aListener may call
  /// Want() and RecordHeld().
  RouteFetch(EventLoopPort& aPort, LinkSource aLinks, Listener aListener);
  KJ_DISALLOW_COPY(RouteFetch);

  /// Asks for a document of aVersion or a newer one. A document that is being
  /// read is completed first, as newer ones may follow faster than they can be
  /// read. @pre none; does nothing if such a document was asked for before.
  void Want(Revision aVersion);
  /// Takes the whole bytes of a transfer. @pre none; an older document is
  /// ignored.
  void Receive(const RouteTransfer& aTransfer, std::string aBytes);
  /// Records the newest document at hand, which arrived in another way or was
  /// put in force: older ones are not needed, and newer ones may be compressed
  /// against it. @pre not null; an older one is ignored.
  void RecordHeld(Revision aVersion,
                  std::shared_ptr<const std::string> aDocument);
  /// Returns the newest version that was asked for or received. @pre none.
  [[nodiscard]] Revision Wanted() const { return m_wanted; }
  /// Returns the version that newer documents may be compressed against, 0 for
  /// none. @pre none.
  [[nodiscard]] Revision Base() const
  {
    return m_canUseBase ? m_held : Revision();
  }

private:
  kj::Promise<void> ReadAll();
  kj::Promise<void> ReadPiece();
  void Apply(wire::RoutePiece::Reader aPiece);
  /// Puts a document in force. @return whether it is.
  bool Accept(RouteArrival aArrival);
  /// Restores the document of a transfer. @error empty if the base is another
  /// one or the bytes are damaged.
  std::optional<std::string> Decode(const RouteTransfer& aTransfer,
                                    std::string aBytes) const;

  EventLoopPort& m_port;
  LinkSource m_links;
  Listener m_listener;
  RouteAssembly m_assembly;
  uint32_t m_pieces = 0;
  Revision m_wanted;
  Revision m_held;
  std::shared_ptr<const std::string> m_heldDocument =
    std::make_shared<const std::string>();
  /// False after a transfer that could not be restored with the base.
  bool m_canUseBase = true;
  /// Whether the last document could not be put in force.
  bool m_wasRefused = false;
  bool m_isReading = false;
  kj::Promise<void> m_reading;
};

} // namespace celeryspread
