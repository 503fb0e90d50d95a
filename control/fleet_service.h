#pragma once

#include <list>
#include <map>
#include <memory>

#include "control/directory_pacer.h"
#include "control/directory_relay.h"
#include "control/quota_service.h"
#include "control/replica_host.h"
#include "control/route_source.h"
#include "control/stream_service.h"
#include "fleet/fleet_owner.h"
#include "fleet/peer_roster.h"
#include "wire/celeryspread.capnp.h"
#include "wire/event_loop_port.h"
#include "wire/route_fetch.h"

namespace celeryspread {

/// Sends the route configuration and the engine directory to entries, and makes
/// the fleet owner acquire and lose ownership with this instance's leadership.
/// @thread loop thread only.
class FleetService
{
public:
  /// Dependencies of the service; all references outlive it.
  struct Dependencies
  {
    EventLoopPort& m_port;
    const Clock& m_clock;
    RandomSource& m_random;
    ReplicaHost& m_host;
    FleetOwner& m_owner;
    RouteDocumentReader& m_reader;
    PeerLinks& m_peers;
    EventLog& m_log;
  };

  /// Creates the service of an instance in aDomain. @pre none.
  FleetService(Dependencies aDeps,
               InstanceId aSelf,
               FailureDomainId aDomain,
               QuotaBounds aQuotaBounds);

  /// Runs periodic work. @pre called several times a second.
  void Tick();
  /// Answers a follow call: at once when there is an update or this instance
  /// has no directory, else with the next update or at the end of the long
  /// poll.
  /// @pre aReply may be called until the promise resolves.
  kj::Promise<void> Follow(
    wire::FollowRequest::Reader aRequest,
    const std::function<wire::FollowReply::Builder()>& aReply);
  /// Writes a piece of a route document. @pre none. @error throws if this
  /// instance has no document.
  void ReadRoutes(const RouteTransfer& aTransfer,
                  uint64_t aOffset,
                  wire::RoutePiece::Builder aOut);
  /// Has an adapter loaded. @pre none. @return the engine that holds it, empty
  /// when no engine can load it now.
  kj::Promise<std::string> LoadAdapter(wire::AdapterRequest::Reader aRequest);
  /// Takes an entry's report of crashes. @pre none.
  /// @error throws unless this instance owns the engines.
  void ReportCrashes(wire::CrashReport::Reader aReport,
                     wire::ControlNode::ReportCrashesResults::Builder aOut);
  /// Returns whether one call with a part that is held back may be sent.
  /// @pre none. @error throws unless this instance owns the engines.
  [[nodiscard]] bool RequestTrial(const PromptPartId& aPart);
  /// Takes one request from the rate of an engine. @pre none.
  /// @error throws unless this instance owns the engines and the rate is valid.
  [[nodiscard]] EngineRates::Grant TakeRate(const UpstreamId& aEngine,
                                            double aRequestsPerSecond);
  /// Records that an engine no longer limits its requests. @pre none.
  /// @error throws unless this instance owns the engines.
  void EndRateLimit(const UpstreamId& aEngine);
  /// Takes from the quotas of teams for an entry. @pre none.
  /// @error throws unless this instance owns the engines under its lease.
  void TakeQuota(wire::QuotaRequest::Reader aRequest,
                 wire::QuotaReply::Builder aReply);
  /// Returns what is known of the streams of entries. @pre none.
  [[nodiscard]] StreamService& Streams() { return m_streams; }

private:
  /// What the sender of a follow call has.
  struct FollowState
  {
    Revision m_routeVersion;
    /// Version that newer documents may be compressed against, 0 for none.
    Revision m_routeBase;
    bool m_acceptsEncodedRoutes = false;
    /// Largest document that an answer may carry, 0 for any.
    uint32_t m_maxRouteBytes = 0;
    /// Term whose owner sent the directory version.
    uint64_t m_epoch = 0;
    uint64_t m_directoryVersion = 0;
    /// Term whose owner sent the list of suspect parts.
    uint64_t m_suspectEpoch = 0;
    uint64_t m_suspectVersion = 0;
    bool m_isRelay = false;
    InstanceId m_sender;
    FailureDomainId m_senderDomain;
  };
  /// A follow call that waits.
  struct WaitingFollow
  {
    FollowState m_state;
    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
  };

  /// Another instance that follows this owner for the entries of its domain.
  struct Relay
  {
    FailureDomainId m_domain;
    uint32_t m_entries = 0;
    TimePoint m_seenAt;
  };

  void ApplyRoutes();
  /// Reads the routes from the owner if the replica lags.
  void FetchRoutes();
  /// Returns the link to the leader, null if there is none or this instance
  /// leads.
  [[nodiscard]] WireLink* LeaderLink();
  /// Logs that the replica lacks a version that the owner has proved.
  void LogReplicaLag();
  void UpdateOwnership();
  /// Returns whether the sender of a follow call needs an answer now.
  [[nodiscard]] bool HasUpdate(const FollowState& aState) const;
  /// Returns whether a follow call is answered now: there is an update for it,
  /// and a whole directory may be sent if it needs one.
  [[nodiscard]] bool IsAnswerDue(const FollowState& aState) const;
  /// Returns whether the served list of suspect parts is newer.
  [[nodiscard]] bool HasNewSuspects(const FollowState& aState) const;
  /// Returns the version of the served directory that a caller has, empty if
  /// its directory is of another epoch.
  [[nodiscard]] std::optional<uint64_t> KnownVersion(
    const FollowState& aState) const;
  /// Returns whether a caller needs the whole served directory.
  [[nodiscard]] bool NeedsWhole(const FollowState& aState) const;
  void WakeFollowers();
  /// Returns the directory that this instance serves: its own as the owner, or
  /// a recent copy of the owner's; null for none.
  [[nodiscard]] const EngineDirectory* ServedDirectory() const;
  /// Returns the term of the owner of the served directory.
  /// @pre ServedDirectory() is not null.
  [[nodiscard]] uint64_t ServedEpoch() const;
  /// Returns the version of the served list of suspect parts.
  /// @pre ServedDirectory() is not null.
  [[nodiscard]] uint64_t ServedSuspectVersion() const;
  /// Records which entries take forwarded calls, as an entry or a relay says.
  void RecordPeers(wire::FollowRequest::Reader aRequest);
  /// Passes on what an entry or a relay reports.
  void RecordReport(wire::FollowRequest::Reader aRequest);
  /// Writes the routes that the sender of a follow call lacks.
  void WriteRoutes(const FollowState& aState, wire::FollowReply::Builder aOut);
  /// Writes which route version is the newest, if this instance can prove it.
  void WriteRouteProof(wire::FollowReply::Builder aOut) const;
  void WriteRelays(wire::FollowReply::Builder aOut) const;
  /// Writes which entries take forwarded calls, if that is due.
  void WritePeerSample(const FollowState& aState,
                       wire::FollowReply::Builder aOut);
  void WriteReply(const FollowState& aState, wire::FollowReply::Builder aOut);
  void WriteSuspectList(const FollowState& aState,
                        wire::FollowReply::Builder aOut) const;
  static void WriteEngines(const EngineDirectory::Update& aUpdate,
                           wire::FollowReply::Builder aOut);
  void WriteControlInstances(wire::FollowReply::Builder aOut) const;
  /// Returns the number of entries that follow this owner, 0 while unknown.
  [[nodiscard]] uint32_t EntryCount(TimePoint aNow);
  /// Returns the number of entries that call this instance itself.
  [[nodiscard]] uint32_t OwnFollowerCount(TimePoint aNow);

  Dependencies m_deps;
  InstanceId m_self;
  FailureDomainId m_domain;
  PeerRoster m_roster;
  DirectoryRelay m_relay;
  QuotaService m_quotas;
  StreamService m_streams;
  DirectoryPacer m_pacer;
  std::map<InstanceId, Relay> m_relays;
  RouteSource m_routes;
  RouteFetch m_routeFetch;
  Revision m_appliedRouteVersion;
  /// Since when the owner has proved a newer route version than the replica's.
  std::optional<TimePoint> m_replicaBehindSince;
  TimePoint m_lagLogDue;
  TimePoint m_ownerSince;
  std::map<InstanceId, TimePoint> m_entriesSeenAt;
  std::list<WaitingFollow> m_waitingFollows;
};

} // namespace celeryspread
