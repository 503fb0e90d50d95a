#pragma once

#include <list>

#include "control/admin_api.h"
#include "control/fleet_service.h"
#include "control/peer_links.h"

namespace celeryspread {

/// RPC service of a control instance, for entries and other control instances.
/// A request that only the leader can answer is forwarded to it, at most once.
/// @thread loop thread only.
class ControlService final : public wire::ControlNode::Server
{
public:
  /// Creates the service of a replica. @pre arguments outlive the service.
  ControlService(EventLoopPort& aPort,
                 const Clock& aClock,
                 ReplicaHost& aHost,
                 PeerLinks& aPeers,
                 AdminApi& aAdmin,
                 InstanceRegistry& aInstances);

  /// Enables follow() and the calls to the owner of the engines. @pre aFleet
  /// outlives the service.
  void SetFleet(FleetService& aFleet) { m_fleet = &aFleet; }
  /// Answers the fetches that wait for a settings change. @pre none.
  void NotifyRevision();
  /// Reports to the leader which entries fetch settings here. @pre none.
  void ReportInstances();

protected:
  kj::Promise<void> ping(PingContext aContext) override;
  kj::Promise<void> raft(RaftContext aContext) override;
  kj::Promise<void> fetch(FetchContext aContext) override;
  kj::Promise<void> admin(AdminContext aContext) override;
  kj::Promise<void> claim(ClaimContext aContext) override;
  kj::Promise<void> closeClaim(CloseClaimContext aContext) override;
  kj::Promise<void> join(JoinContext aContext) override;
  kj::Promise<void> reportInstances(ReportInstancesContext aContext) override;
  kj::Promise<void> follow(FollowContext aContext) override;
  kj::Promise<void> loadAdapter(LoadAdapterContext aContext) override;
  kj::Promise<void> reportCrashes(ReportCrashesContext aContext) override;
  kj::Promise<void> requestTrial(RequestTrialContext aContext) override;
  kj::Promise<void> takeRate(TakeRateContext aContext) override;
  kj::Promise<void> takeQuota(TakeQuotaContext aContext) override;
  kj::Promise<void> readRoutes(ReadRoutesContext aContext) override;
  kj::Promise<void> recordStreams(RecordStreamsContext aContext) override;
  kj::Promise<void> findStream(FindStreamContext aContext) override;
  kj::Promise<void> endRateLimit(EndRateLimitContext aContext) override;

private:
  /// Returns the link to the leader; null when it is down, when no leader is
  /// known or when this replica leads.
  WireLink* LeaderLink();
  kj::Promise<void> AnswerFetch(FetchContext aContext, bool aIsCurrent);
  /// Answers with a revision that a lease proves to be the latest, asking the
  /// leader if needed. Otherwise answers from here, marked as not current.
  kj::Promise<void> FetchLatest(FetchContext aContext);
  /// Handles an admin request without forwarding it.
  kj::Promise<void> HandleAdminHere(AdminContext aContext);
  /// Waits for a settings change or the end of the long poll.
  kj::Promise<void> WaitForChange();

  EventLoopPort& m_port;
  const Clock& m_clock;
  ReplicaHost& m_host;
  PeerLinks& m_peers;
  AdminApi& m_admin;
  InstanceRegistry& m_instances;
  FleetService* m_fleet = nullptr;
  std::list<kj::Own<kj::PromiseFulfiller<void>>> m_waitingFetches;
};

} // namespace celeryspread
