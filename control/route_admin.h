#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/replica_host.h"
#include "routes/route_config.h"

namespace celeryspread {

/// Outcome of an operator's request about the route configuration.
enum class RouteVerdict
{
  /// The version, or a higher one, is durable on a quorum.
  Accepted,
  /// The document can't be read; m_reason says why.
  Invalid,
  /// Another instance leads; m_leader is its address.
  NotLeader,
  /// No leader with a lease is known, no configuration exists yet, or the
  /// outcome of a change is not known: it may or may not come into force.
  Unavailable
};

/// Answer to an operator's request about the route configuration.
struct RouteAnswer
{
  RouteVerdict m_verdict = RouteVerdict::Unavailable;
  std::string m_reason;
  /// IP address of the leader, empty when not known.
  std::string m_leader;
  /// The document in force; set by Read().
  std::string m_document;
};

/// Handles operators' requests about the route configuration on one control
/// instance.
/// @thread loop thread only.
class RouteAdmin
{
public:
  using Done = std::function<void(const RouteAnswer&)>;

  /// Handles requests with a replica. @pre arguments outlive this object.
  RouteAdmin(ReplicaHost& aHost, RouteDocumentReader& aReader);

  /// Replaces the configuration unless a higher version is in force.
  /// @pre none; aDone is called exactly once, during this call or later.
  void Replace(const std::string& aDocument, const Done& aDone);
  /// Returns the configuration in force, if this replica's lease proves that it
  /// is the latest. @pre none.
  [[nodiscard]] RouteAnswer Read() const;

private:
  /// Returns the answer of a replica without a lease, with the leader's
  /// address when it is known.
  [[nodiscard]] RouteAnswer NotLeaderAnswer() const;

  ReplicaHost& m_host;
  RouteDocumentReader& m_reader;
};

} // namespace celeryspread
