#pragma once

#include <functional>

#include "wire/route_assembly.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// Reads route documents from control instances piece by piece, so that a
/// document of any size arrives over a slow link beside other messages, however
/// often a call fails or the instance changes.
/// @thread loop thread only.
class RouteFetch
{
public:
  /// Returns the link to read from now, null for none.
  using LinkSource = std::function<WireLink*()>;
  /// Puts a document in force. @return false if it can't be; it is read again
  /// after a while. An exception counts as false.
  using Listener = std::function<bool(const RouteDocument&)>;

  /// Creates a fetch that is idle. @pre aPort outlives it; aListener may call
  /// Want().
  RouteFetch(EventLoopPort& aPort, LinkSource aLinks, Listener aListener);
  KJ_DISALLOW_COPY(RouteFetch);

  /// Asks for a document of aVersion or a newer one. A document that is being
  /// read is completed first, as newer ones may follow faster than they can be
  /// read. @pre none; does nothing if such a document was asked for before.
  void Want(Revision aVersion);
  /// Takes a document that arrived in another way. @pre none; an older one is
  /// ignored.
  void Receive(const RouteDocument& aDocument);
  /// Records that a document arrived in another way, so that older ones are not
  /// needed. @pre none.
  void RecordReceived(Revision aVersion);
  /// Returns the newest version that was asked for or received. @pre none.
  [[nodiscard]] Revision Wanted() const { return m_wanted; }

private:
  kj::Promise<void> ReadAll();
  kj::Promise<void> ReadPiece();
  void Apply(wire::RoutePiece::Reader aPiece);
  /// Puts a document in force. @return whether it is.
  bool Accept(const RouteDocument& aDocument);

  EventLoopPort& m_port;
  LinkSource m_links;
  Listener m_listener;
  RouteAssembly m_assembly;
  Revision m_wanted;
  Revision m_received;
  /// Whether the last document could not be put in force.
  bool m_wasRefused = false;
  bool m_isReading = false;
  kj::Promise<void> m_reading;
};

} // namespace celeryspread
