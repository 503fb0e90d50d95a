#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/replica_host.h"
#include "routes/route_config.h"

namespace celeryspread {

/// How a call about the route configuration was answered.
enum class RouteVerdict
{
  /// The version, or a higher one, is durable on a quorum.
  Accepted,
  Invalid,
  /// Another instance leads; m_leader is where operators reach it.
  NotLeader,
  /// Nobody can tell now; the change may or may not come in force.
  Unavailable
};

/// Answer to a call about the route configuration.
struct RouteAnswer
{
  RouteVerdict m_verdict = RouteVerdict::Unavailable;
  std::string m_reason;
  /// IP number of the leader, empty when not known.
  std::string m_leader;
  /// The document in force, for reads.
  std::string m_document;
};

/// Operators' calls about the route configuration, at one control instance.
/// @thread loop thread only.
class RouteAdmin
{
public:
  using Done = std::function<void(const RouteAnswer&)>;

  /// Works on a replica. @pre arguments outlive the admin.
  RouteAdmin(ReplicaHost& aHost, RouteDocumentReader& aReader);

  /// Replaces the configuration unless a higher version is in force.
  /// @pre aDone is called exactly once, later or at once.
  void Replace(const std::string& aDocument, const Done& aDone);
  /// Returns the newest configuration, provably. @pre none.
  [[nodiscard]] RouteAnswer Read() const;

private:
  [[nodiscard]] RouteAnswer Elsewhere() const;

  ReplicaHost& m_host;
  RouteDocumentReader& m_reader;
};

} // namespace celeryspread
