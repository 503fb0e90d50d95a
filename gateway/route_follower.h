#pragma once

#include <functional>
#include <string>

#include "gateway/route_freshness.h"
#include "teams/access_control.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "wire/celeryspread.capnp.h"
#include "wire/route_fetch.h"

namespace celeryspread {

/// Takes route configurations and proofs of their age from the answers of
/// control instances, reads documents that are too large for one answer, and
/// shows how old the one in force is.
/// @thread loop thread only.
class RouteFollower
{
public:
  /// Puts the operator's document in force when a newer route configuration
  /// arrives. @return whether it is in force; otherwise it is read again.
  using Listener =
    std::function<bool(Revision aVersion, const std::string& aDocument)>;

  /// Objects that the follower uses. All of them outlive it.
  struct Dependencies
  {
    EventLoopPort& m_port;
    const Clock& m_clock;
    EventLog& m_log;
    AccessControl& m_access;
  };

  /// Starts without a configuration. aLinks returns the link to the instance
  /// that is followed now. @pre none.
  RouteFollower(Dependencies aDependencies,
                RouteFetch::LinkSource aLinks,
                Listener aListener);

  /// Takes what an answer of aControl to a request sent at aSentAt says about
  /// routes. @pre none. @return false if another instance has to be followed,
  /// as this one lacks a version that is overdue or has no recent proof, while
  /// others had one.
  bool Apply(wire::FollowReply::Reader aReply,
             const std::string& aControl,
             TimePoint aSentAt);
  /// Writes which versions the entry has. @pre none.
  void WriteRequest(wire::FollowRequest::Builder aOut) const;
  /// Sets the gauges that show the age of the configuration. @pre none.
  void WriteGauges(Metrics& aMetrics) const;

private:
  bool PutInForce(const RouteArrival& aArrival);
  /// Logs that an overdue version has not arrived yet.
  void LogLag(const RouteStatement& aStatement);

  Dependencies m_deps;
  Listener m_listener;
  RouteFreshness m_freshness;
  RouteFetch m_fetch;
  /// The instance that answered last.
  std::string m_control;
  TimePoint m_lagLogDue;
};

} // namespace celeryspread
