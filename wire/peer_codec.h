#pragma once

#include <optional>
#include <vector>

#include "routes/entry_peer.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Writes peers. @pre aOut has as many elements. @thread any.
void WritePeers(const std::vector<EntryPeer>& aPeers,
                capnp::List<wire::PeerEntry>::Builder aOut);

/// Reads at most aMax peers; those without an instance or an address are left
/// out. @pre none. @thread any.
std::vector<EntryPeer> ReadPeers(capnp::List<wire::PeerEntry>::Reader aIn,
                                 size_t aMax);

/// Returns the entry that sent a follow request, empty if it takes no forwarded
/// calls. @pre the sender is an entry. @thread any.
std::optional<EntryPeer> ReadForwardAddress(wire::FollowRequest::Reader aIn);

} // namespace celeryspread
