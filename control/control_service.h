#pragma once

#include <list>

#include "control/admin_api.h"
#include "control/fleet_service.h"
#include "control/peer_links.h"

namespace celeryspread {

/// The node that control instances offer on the inner protocol. Requests that
/// only the leader can answer are passed on to it once.
/// @thread loop thread only.
class ControlService final : public wire::ControlNode::Server
{
public:
  /// Serves a replica. @pre arguments outlive the service.
  ControlService(LoopPort& aPort,
                 const Clock& aClock,
                 ReplicaHost& aHost,
                 PeerLinks& aPeers,
                 AdminApi& aAdmin,
                 InstanceRegistry& aInstances);

  /// Offers what entries of routed calls need. @pre aFleet outlives the
  /// service.
  void SetFleet(FleetService& aFleet) { m_fleet = &aFleet; }
  /// Answers the fetches that wait for a change. @pre none.
  void NotifyRevision();
  /// Tells the leader which entries follow settings here. @pre none.
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

private:
  /// Returns a working link to the leader, null when there is none or this
  /// replica leads itself.
  WireLink* LeaderLink();
  kj::Promise<void> AnswerFetch(FetchContext aContext, bool aIsCurrent);
  /// Answers with what the leader's lease proves to be the latest, or says
  /// that nobody can prove it.
  kj::Promise<void> FetchLatest(FetchContext aContext);
  kj::Promise<void> HandleAdminHere(AdminContext aContext);
  kj::Promise<void> WaitForChange();

  LoopPort& m_port;
  const Clock& m_clock;
  ReplicaHost& m_host;
  PeerLinks& m_peers;
  AdminApi& m_admin;
  InstanceRegistry& m_instances;
  FleetService* m_fleet = nullptr;
  std::list<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
};

} // namespace celeryspread
