#pragma once

#include <algorithm>
#include <memory>

#include "gateway/call_fields.h"
#include "gateway/forwarding_protocol.h"
#include "routes/route_config.h"
#include "teams/access_control.h"

namespace celeryspread {

/// A caller's call and the route that it matched.
/// @thread loop thread only.
struct RoutedCall
{
  std::unique_ptr<CallerCall> m_caller;
  CallFields m_callFields;
  /// Keeps m_route valid when a newer configuration replaces this one.
  std::shared_ptr<const RouteConfig> m_config;
  const Route* m_route = nullptr;
  /// Its team belongs to m_config.
  CallerIdentity m_identity;
  PoolId m_pool;
  /// What of the call may end engines: the shared parts of its prompt, then the
  /// request itself.
  PromptParts m_suspects;
  /// Software of the engine that began the stream, the only one that can go on
  /// with it; empty before the first event.
  std::optional<SoftwareVersion> m_software;
  /// What the entry states that forwarded the call; empty for a caller's own.
  std::optional<ForwardedFields> m_forwarded;
  TimePoint m_arrivedAt;
  TimePoint m_deadline;

  /// Returns whether the route permits a retry after an attempt that may have
  /// run. @pre m_route is set.
  [[nodiscard]] bool MayRetryAfterRun() const { return m_route->MayRunAgain(); }
  /// Returns the priority among the calls of its pool; 0 is the most urgent.
  /// @pre m_route is set.
  [[nodiscard]] uint32_t Priority() const
  {
    const Team* team = m_identity.m_team;
    return team != nullptr && team->m_priority ? *team->m_priority
                                               : m_route->m_priority;
  }
  /// Returns the time since the caller first sent the call, as far as its
  /// remaining timeout shows. @pre m_route is set.
  [[nodiscard]] Duration Age(TimePoint aNow) const
  {
    // A caller that retries states less time than its route allows; the
    // difference is the age of the call.
    const Duration callerTimeout =
      m_callFields.m_callerTimeout.value_or(m_route->m_timeout);
    const Duration earlier =
      std::max(Duration::zero(), m_route->m_timeout - callerTimeout);
    return earlier + (aNow - m_arrivedAt);
  }
};

} // namespace celeryspread
