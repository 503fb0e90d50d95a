#include "gateway/route_follower.h"

#include <utility>

#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// Shortest time between log lines about an overdue version.
constexpr Duration kLagLogPeriod = std::chrono::seconds(1);
constexpr Duration kOneMs = std::chrono::milliseconds(1);
/// Logged for an age that is not known.
constexpr Duration kUnknownAge = -kOneMs;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

RouteFollower::RouteFollower(Dependencies aDependencies,
                             RouteFetch::LinkSource aLinks,
                             Listener aListener)
  : m_deps(aDependencies)
  , m_listener(std::move(aListener))
  , m_fetch(
      aDependencies.m_port,
      std::move(aLinks),
      [this](const RouteArrival& aArrival) { return PutInForce(aArrival); })
{
}

bool RouteFollower::PutInForce(const RouteArrival& aArrival)
{
  const RouteDocument& document = aArrival.m_document;
  if (!m_listener(document.m_version, document.m_bytes)) {
    return false;
  }
  const TimePoint now = m_deps.m_clock.Now();
  m_deps.m_log.Write(EventId::RoutesReceived,
                     "version=" + std::to_string(document.m_version.Value()) +
                       " control=" + m_control + " lag_ms=" +
                       std::to_string(m_freshness.Lag(now) / kOneMs) +
                       " bytes=" + std::to_string(document.m_bytes.size()) +
                       " sent_bytes=" + std::to_string(aArrival.m_sentBytes) +
                       " pieces=" + std::to_string(aArrival.m_pieces));
  m_freshness.RecordInForce(document.m_version, m_control, now);
  return true;
}

void RouteFollower::WriteRequest(wire::FollowRequest::Builder aOut) const
{
  // A version that is being read is not offered again.
  aOut.setRouteVersion(m_fetch.Wanted().Value());
  aOut.setRouteBase(m_fetch.Base().Value());
  aOut.setAcceptsEncodedRoutes(true);
  aOut.setMaxRouteBytes(RouteAssembly::kPieceBytes);
}

bool RouteFollower::Apply(wire::FollowReply::Reader aReply,
                          const std::string& aControl,
                          TimePoint aSentAt)
{
  const TimePoint now = m_deps.m_clock.Now();
  m_control = aControl;
  RouteStatement statement{ aControl,
                            Revision(aReply.getOfferedRouteVersion()),
                            Revision(),
                            std::nullopt };
  if (aReply.getRouteProofAgeMicros() >= 0) {
    statement.m_proven = Revision(aReply.getProvenRouteVersion());
    statement.m_provenAt = aSentAt - Duration(aReply.getRouteProofAgeMicros());
    m_deps.m_access.RecordProof(statement.m_proven, *statement.m_provenAt);
  }
  m_freshness.RecordStatement(statement, now);
  if (aReply.hasRoutes()) {
    m_fetch.Receive({ Revision(aReply.getRoutes().getVersion()),
                      Revision(aReply.getRoutesBase()),
                      aReply.getRoutesEncoded() },
                    BytesOf(aReply.getRoutes().getDocument()));
  }
  m_fetch.Want(statement.m_offered);
  LogLag(statement);
  return !m_freshness.IsInstanceOutdated(statement, now);
}

void RouteFollower::LogLag(const RouteStatement& aStatement)
{
  const TimePoint now = m_deps.m_clock.Now();
  const Duration lag = m_freshness.Lag(now);
  if (lag < RouteFreshness::kMaxLag || now < m_lagLogDue) {
    return;
  }
  m_lagLogDue = now + kLagLogPeriod;
  const auto proofAge = m_deps.m_access.ProofAge(now);
  m_deps.m_log.Write(
    EventId::RoutesOutdated,
    "version=" + std::to_string(m_freshness.Version().Value()) +
      " newest=" + std::to_string(m_freshness.Newest().Value()) +
      " lag_ms=" + std::to_string(lag / kOneMs) + " proof_age_ms=" +
      std::to_string(proofAge.value_or(kUnknownAge) / kOneMs) +
      " source=" + m_freshness.Source() + " control=" + aStatement.m_control +
      " offered=" + std::to_string(aStatement.m_offered.Value()) +
      " proven=" + std::to_string(aStatement.m_proven.Value()));
}

void RouteFollower::WriteGauges(Metrics& aMetrics) const
{
  const TimePoint now = m_deps.m_clock.Now();
  aMetrics.SetGauge("celeryspread_gateway_routes_newest_version",
                    static_cast<double>(m_freshness.Newest().Value()));
  aMetrics.SetGauge("celeryspread_gateway_routes_lag_seconds",
                    Seconds(m_freshness.Lag(now)));
  if (const auto age = m_freshness.TimeInForce(now)) {
    aMetrics.SetGauge("celeryspread_gateway_routes_in_force_seconds",
                      Seconds(*age));
  }
  if (const auto age = m_deps.m_access.ProofAge(now)) {
    aMetrics.SetGauge("celeryspread_gateway_routes_proof_age_seconds",
                      Seconds(*age));
  }
}

} // namespace celeryspread
