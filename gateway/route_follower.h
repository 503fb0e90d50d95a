#pragma once

#include <functional>
#include <string>

#include "gateway/route_freshness.h"
#include "teams/access_control.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Takes route configurations and proofs of their age from the answers of
/// control instances, and shows how old the one in force is.
/// @thread loop thread only.
class RouteFollower
{
public:
  /// Called with the operator's document when a newer route configuration
  /// arrives.
  using Listener =
    std::function<void(Revision aVersion, const std::string& aDocument)>;

  /// Objects that the follower uses. All of them outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    EventLog& m_log;
    AccessControl& m_access;
  };

  /// Starts without a configuration. @pre none.
  RouteFollower(Dependencies aDependencies, Listener aListener);

  /// Takes what an answer of aControl to a request sent at aSentAt says about
  /// routes. @pre none.
  void Apply(wire::FollowReply::Reader aReply,
             const std::string& aControl,
             TimePoint aSentAt);
  /// Writes which versions the entry has. @pre none.
  void WriteRequest(wire::FollowRequest::Builder aOut) const;
  /// Sets the gauges that show the age of the configuration. @pre none.
  void WriteGauges(Metrics& aMetrics) const;

private:
  /// Logs that an overdue version has not arrived yet.
  void LogLag(const RouteStatement& aStatement);

  Dependencies m_deps;
  Listener m_listener;
  RouteFreshness m_freshness;
  TimePoint m_lagLogDue;
};

} // namespace celeryspread
