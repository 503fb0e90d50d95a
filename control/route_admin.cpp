#include "control/route_admin.h"

namespace celeryspread {

RouteAdmin::RouteAdmin(ReplicaHost& aHost, RouteDocumentReader& aReader)
  : m_host(aHost)
  , m_reader(aReader)
{
}

RouteAnswer RouteAdmin::NotLeaderAnswer() const
{
  RouteAnswer answer;
  const ReplicaAddress* leader = m_host.LeaderAddress();
  if (m_host.Replica().IsLeader() || leader == nullptr) {
    answer.m_reason = "no leader can be proved now";
    return answer;
  }
  answer.m_verdict = RouteVerdict::NotLeader;
  answer.m_leader = leader->m_address;
  return answer;
}

void RouteAdmin::Replace(const std::string& aDocument, const Done& aDone)
{
  RouteAnswer answer;
  const auto config = m_reader.Read(aDocument, answer.m_reason);
  if (config == nullptr) {
    answer.m_verdict = RouteVerdict::Invalid;
    aDone(answer);
    return;
  }
  if (!m_host.HasLease()) {
    aDone(NotLeaderAnswer());
    return;
  }
  if (config->Version() <= m_host.State().Routes().m_version) {
    answer.m_verdict = RouteVerdict::Accepted;
    aDone(answer);
    return;
  }
  const bool isProposed = m_host.Propose(
    { {}, RouteChange{ config->Version(), aDocument } },
    [aDone](const std::optional<CommandResult>& aResult) {
      RouteAnswer proposed;
      const bool isCommitted =
        aResult && std::holds_alternative<RouteResult>(*aResult);
      proposed.m_verdict =
        isCommitted ? RouteVerdict::Accepted : RouteVerdict::Unavailable;
      proposed.m_reason = isCommitted ? "" : "the outcome is not known";
      aDone(proposed);
    });
  if (!isProposed) {
    aDone(NotLeaderAnswer());
  }
}

RouteAnswer RouteAdmin::Read() const
{
  if (!m_host.HasLease()) {
    return NotLeaderAnswer();
  }
  const RouteChange& routes = m_host.State().Routes();
  RouteAnswer answer;
  if (routes.m_version == Revision()) {
    answer.m_reason = "no route configuration was accepted yet";
    return answer;
  }
  answer.m_verdict = RouteVerdict::Accepted;
  answer.m_document = routes.m_document;
  return answer;
}

} // namespace celeryspread
