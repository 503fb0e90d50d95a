#pragma once

#include <optional>
#include <set>
#include <vector>

#include "control/peer_links.h"
#include "control/replica_host.h"
#include "fleet/engine_directory.h"
#include "fleet/peer_roster.h"
#include "quarantine/crash_investigation.h"
#include "routes/call_demand.h"
#include "wire/event_loop_port.h"

namespace celeryspread {

/// A control instance that answers follow calls, and its failure domain.
struct RelayAddress
{
  std::string m_address;
  FailureDomainId m_domain;
};

/// A route version that was the newest committed one at some time.
struct RouteProof
{
  Revision m_version;
  TimePoint m_provenAt;
};

/// Follows the owner's engine directory on an instance that does not lead, for
/// the entries of its failure domain.
///
/// If every entry followed the leader, its work and the bytes between regions
/// would grow with the number of entries. Through relays each change crosses to
/// a failure domain once, and the demand of its entries is added up on the way
/// back.
/// @thread loop thread only.
class DirectoryRelay
{
public:
  /// Dependencies of the relay; all references outlive it.
  struct Dependencies
  {
    EventLoopPort& m_port;
    const Clock& m_clock;
    ReplicaHost& m_host;
    PeerLinks& m_peers;
    PeerRoster& m_roster;
  };

  /// Starts to follow whichever instance leads. @pre none.
  DirectoryRelay(Dependencies aDependencies,
                 InstanceId aSelf,
                 FailureDomainId aDomain);

  /// Returns the copy of the directory; null unless the owner confirmed it a
  /// moment ago. @pre none.
  [[nodiscard]] const EngineDirectory* Directory() const;
  /// Returns when the owner began to read the list that the copy shows.
  /// @pre Directory() is not null.
  [[nodiscard]] TimePoint ListReadAt() const { return m_listReadAt; }
  /// Returns the term of the owner whose directory this is.
  /// @pre Directory() is not null.
  [[nodiscard]] uint64_t Epoch() const { return m_epoch; }
  /// Returns how many entries share the retry budget, 0 while unknown.
  /// @pre Directory() is not null.
  [[nodiscard]] uint32_t EntryCount() const { return m_entryCount; }
  /// Returns all instances that answer follow calls, as the owner lists them.
  /// @pre Directory() is not null.
  [[nodiscard]] const std::vector<RelayAddress>& Relays() const
  {
    return m_relays;
  }

  /// Returns the owner's list of suspect prompt parts as last received, also of
  /// an owner that is gone. @pre none.
  [[nodiscard]] const CrashInvestigation::Parts& Suspects() const
  {
    return m_suspects;
  }
  /// Returns the version of the list; comparable within a term.
  /// @pre Directory() is not null.
  [[nodiscard]] uint64_t SuspectVersion() const { return m_suspectVersion; }

  /// Returns the latest proof of the newest route version, empty before the
  /// first one. @pre none.
  [[nodiscard]] const std::optional<RouteProof>& Proof() const
  {
    return m_proof;
  }

  /// Adds demand to the next report to the owner. @pre none.
  void RecordDemand(const DemandKey& aKey, const CallDemand& aDemand);
  /// Adds an engine on which attempts fail to the next report. @pre none.
  void RecordFailing(const UpstreamId& aEngine) { m_failing.insert(aEngine); }
  /// Sets how many entries follow this instance. @pre none.
  void SetFollowerCount(uint32_t aCount) { m_followerCount = aCount; }

private:
  kj::Promise<void> FollowOnce();
  void WriteRequest(wire::FollowRequest::Builder aOut);
  void Apply(wire::FollowReply::Reader aReply);
  void RecordProof(wire::FollowReply::Reader aReply, TimePoint aSentAt);

  Dependencies m_deps;
  InstanceId m_self;
  FailureDomainId m_domain;
  EngineDirectory m_directory;
  uint64_t m_epoch = 0;
  TimePoint m_listReadAt;
  uint32_t m_entryCount = 0;
  std::vector<RelayAddress> m_relays;
  std::optional<RouteProof> m_proof;
  CrashInvestigation::Parts m_suspects;
  uint64_t m_suspectEpoch = 0;
  uint64_t m_suspectVersion = 0;
  /// When the request was sent that the owner answered last.
  TimePoint m_confirmedAt;
  DemandReport m_demand;
  std::set<UpstreamId> m_failing;
  uint32_t m_followerCount = 0;
  kj::Promise<void> m_follow;
};

} // namespace celeryspread
