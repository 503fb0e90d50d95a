#include "http/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace celeryspread {

namespace {

/// Share of the budget that idle connections may take.
constexpr size_t kIdleDivisor = 2;
constexpr size_t kMaxProbeConnections = 64;
constexpr size_t kMaxProbeRequestBytes = 16'384;
constexpr size_t kMaxProbeHeldBytes = 4'194'304;

size_t DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? static_cast<size_t>(limit.rlim_cur)
           : SIZE_MAX;
}

} // namespace

CallerServerLimits WithClientLimits(CallerServerLimits aBase,
                                    const ClientLimitSettings& aSettings)
{
  if (aSettings.m_processMemory == 0 && aSettings.m_clientMemory == 0) {
    return aBase;
  }
  aBase.m_maxHeldBytes =
    aSettings.m_clientMemory > 0
      ? aSettings.m_clientMemory
      : CallerBytesLimit(aSettings.m_processMemory,
                         aBase.m_maxHeaderBytes + aBase.m_maxBodyBytes);
  const size_t derived = CallerConnectionLimit(
    DescriptorLimit(), aBase.m_maxHeldBytes / kIdleDivisor);
  aBase.m_maxConnections = aSettings.m_connections > 0
                             ? aSettings.m_connections
                             : std::min(aBase.m_maxConnections, derived);
  return aBase;
}

CallerServerLimits ProbeServerLimits()
{
  CallerServerLimits limits;
  limits.m_maxConnections = kMaxProbeConnections;
  limits.m_maxHeaderBytes = kMaxProbeRequestBytes;
  limits.m_maxBodyBytes = kMaxProbeRequestBytes;
  limits.m_maxHeldBytes = kMaxProbeHeldBytes;
  return limits;
}

} // namespace celeryspread
