#pragma once

#include "http/caller_server.h"

namespace celeryspread {

/// Limits that the settings may state.
struct ClientLimitSettings
{
  /// Memory that the process may use; 0 when it is not known. @unit bytes.
  size_t m_processMemory = 0;
  /// Memory that clients may take; 0 to derive it. @unit bytes.
  size_t m_clientMemory = 0;
  /// Connections that clients may have; 0 to derive their number.
  size_t m_connections = 0;
};

/// Adds the limits on memory and connections to those of a server whose clients
/// are not controlled. Those that are not set follow from the memory that the
/// process may use and from its limit on open descriptors; if neither memory is
/// known, nothing changes. @pre aBase has the limits on one request.
/// @thread any.
CallerServerLimits WithClientLimits(CallerServerLimits aBase,
                                    const ClientLimitSettings& aSettings);

/// Returns the limits of a server for probes or metrics, whose requests are
/// small. @pre none. @thread any.
CallerServerLimits ProbeServerLimits();

} // namespace celeryspread
