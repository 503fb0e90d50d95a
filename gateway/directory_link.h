#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/engine_table.h"
#include "gateway/gateway_context.h"
#include "gateway/instance_avoidance.h"
#include "gateway/peer_list.h"
#include "gateway/route_follower.h"
#include "routes/call_demand.h"
#include "settings/node_settings.h"
#include "wire/crash_codec.h"
#include "wire/wire_link.h"

namespace celeryspread {

/// An entry's link to the control instances. It follows the route configuration
/// and the engine directory of their leader, reports the demand of callers and
/// the crashes of engines to it, and asks it to load adapters. The addresses of
/// control instances come from the seeds and from the replies of any control
/// instance.
/// @thread loop thread only.
class DirectoryLink
  : public AdapterLoader
  , public DemandRecorder
  , public CrashReporter
  , public RateGranter
{
public:
  /// Objects that the link uses. All of them outlive it.
  struct Dependencies
  {
    EventLoopPort& m_port;
    const Clock& m_clock;
    EventLog& m_log;
    EngineTable& m_table;
    RetryBudgetShare& m_retries;
    PartQuarantine& m_quarantine;
    AccessControl& m_access;
    PeerList& m_peers;
    /// Returns whether other entries may forward calls to this one now.
    std::function<bool()> m_takesForwardedCalls;
  };

  /// Starts to follow the control instances. @pre the settings were checked.
  DirectoryLink(Dependencies aDependencies,
                const ClusterKey& aKey,
                NodeSettings aSettings,
                RouteFollower::Listener aListener);
  ~DirectoryLink() noexcept override;
  KJ_DISALLOW_COPY(DirectoryLink);

  /// Adds the control instances of a new seed list; known ones stay. @pre none.
  void SetSeeds(const std::vector<UpstreamAddress>& aSeeds);
  /// Returns whether a directory was received. @pre none.
  [[nodiscard]] bool HasDirectory() const { return m_hasDirectory; }
  /// Returns the time since the owner began to read the list of engines that
  /// the directory shows, without the time that messages took; empty before the
  /// first one. @pre none.
  [[nodiscard]] std::optional<Duration> ListAge() const;
  /// Returns what is known about the route configuration. @pre none.
  [[nodiscard]] const RouteFollower& Routes() const { return m_routes; }
  /// Returns the number of follow calls that failed. @pre none.
  [[nodiscard]] uint64_t FollowFailures() const { return m_followFailures; }

  /// Returns the link to the owner; null while there is none. @pre none.
  [[nodiscard]] WireLink* OwnerLink() const;

  /// Returns the links that are up: first the instance that is followed, then
  /// the owner, then the others. @pre none.
  [[nodiscard]] std::vector<WireLink*> UpLinks() const;
  /// Returns whether engines of several software versions serve some pool.
  /// @pre none.
  [[nodiscard]] bool HasSeveralVersions() const { return m_recordsStreams; }

  void LoadAdapter(const PoolId& aPool,
                   const ModelTarget& aTarget,
                   const UpstreamId& aPreferred,
                   std::function<void(UpstreamId)> aDone) override;
  void RecordDemand(const PoolId& aPool,
                    const ModelTarget& aTarget,
                    Duration aPrefill) override;
  void RecordRunning(const PoolId& aPool,
                     const ModelTarget& aTarget,
                     int aChange) override;
  void ReportCrash(const CrashRecord& aRecord) override;
  void ReportSound(const PromptPartId& aPart, TimePoint aBegunAt) override;
  void RequestTrial(const PromptPartId& aPart,
                    std::function<void(bool)> aDone) override;
  void RequestRate(const UpstreamId& aEngine,
                   double aRequestsPerSecond,
                   RateGranter::Done aDone) override;
  void ReportRateLimitEnd(const UpstreamId& aEngine) override;

private:
  struct Demand
  {
    /// Demand since the last report; its work up to m_accumulatedAt.
    CallDemand m_sinceReport;
    uint32_t m_running = 0;
    TimePoint m_accumulatedAt;
  };
  /// Takes the demand since the last report.
  DemandReport TakeDemand();
  /// Adds demand whose report failed to the next report.
  void RestoreDemand(const DemandReport& aDemand);
  void AccumulateWork(Demand& aDemand);
  WireLink& LinkTo(const std::string& aAddress);
  WireLink* UsableLink();
  void SelectNextLink();
  kj::Promise<void> FollowOnce();
  void HandleFollowFailure(const kj::Exception& aException);
  void Apply(wire::FollowReply::Reader aReply, TimePoint aSentAt);
  void ApplyEngines(wire::FollowReply::Reader aReply);
  void ApplyPeers(wire::FollowReply::Reader aReply);
  void ApplySuspects(wire::FollowReply::Reader aReply);
  void AddControlLinks(wire::FollowReply::Reader aReply);
  void LogFollowFailure(const std::string& aReason);
  /// Records how old the list is that a reply shows. @unit microseconds;
  /// negative for unknown.
  void RecordListAge(int64_t aAgeMicros);
  /// Changes to the owner because this instance has no directory, or its routes
  /// are outdated.
  void FollowOwner(wire::FollowReply::Reader aReply);
  /// Changes to the relay in the own failure domain, if there is one.
  void FollowRelay(wire::FollowReply::Reader aReply);
  [[nodiscard]] bool HasReports() const;
  /// Sends what the owner does not know yet, without waiting for the reply.
  void SendReports();
  /// Waits until there is something to report.
  kj::Promise<void> WaitForReports();
  /// Sends reports once there are some; fails unless the owner has them now.
  kj::Promise<void> ReportOnce();
  /// @return whether the owner has the reports now.
  kj::Promise<bool> SendReportsOnce();
  /// Returns what the owner does not know yet.
  [[nodiscard]] CrashReport PendingReport() const;

  Dependencies m_deps;
  ClusterKey m_key;
  NodeSettings m_settings;
  /// Links by IP address; links to removed instances stay here, but down.
  std::map<std::string, std::unique_ptr<WireLink>> m_links;
  /// Address of the link in use; empty at first.
  std::string m_currentAddress;
  /// Address of the instance that owns the engines; empty while unknown.
  std::string m_ownerAddress;
  /// Instances that did not answer, had no recent directory or outdated routes.
  InstanceAvoidance m_avoidance;
  RouteFollower m_routes;
  /// Term of the leader that sent the directory, called epoch in messages.
  uint64_t m_directoryTerm = 0;
  uint64_t m_directoryVersion = 0;
  bool m_hasDirectory = false;
  /// Whether control instances have to know where streams begin.
  bool m_recordsStreams = false;
  /// When the owner began to read the list that the directory shows; empty
  /// before the first one.
  std::optional<TimePoint> m_listReadAt;
  TimePoint m_followLogDue;
  uint64_t m_followFailures = 0;
  std::map<DemandKey, Demand> m_demand;
  /// Callbacks that wait for the same adapter on the same preferred engine.
  using LoadKey = std::pair<DemandKey, UpstreamId>;
  std::map<LoadKey, std::vector<std::function<void(UpstreamId)>>>
    m_pendingLoads;
  /// Takes a request from this entry's own share of an engine's rate, as no
  /// owner can be asked.
  EngineRates::Grant TakeOwnRate(const UpstreamId& aEngine,
                                 double aRequestsPerSecond);

  /// Entries that share the rates of engines, 0 while unknown.
  uint32_t m_entryCount = 0;
  EngineRates m_ownRates;
  /// Crashes that this entry saw lately, the newest last. A new owner needs
  /// them all.
  std::deque<CrashRecord> m_crashes;
  /// Crashes at the end of m_crashes that the owner does not know yet.
  size_t m_unreportedCrashes = 0;
  std::map<PromptPartId, TimePoint> m_unreportedSound;
  bool m_isCarriedReported = true;
  /// Wakes the report loop; null while it does not wait.
  std::unique_ptr<kj::Own<kj::PromiseFulfiller<void>>> m_wakeReports;
  kj::Promise<void> m_follow;
  kj::Promise<void> m_report;
};

} // namespace celeryspread
