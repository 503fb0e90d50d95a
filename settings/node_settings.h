#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/upstream_address.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// Settings of a process that finds the other instances from seeds. Read at
/// start and again on SIGHUP.
struct NodeSettings
{
  InstanceId m_instance;
  FailureDomainId m_failureDomain;
  /// The region of each failure domain.
  std::map<FailureDomainId, RegionId> m_regions;
  /// Own IP address; on a control instance also its replica id.
  std::string m_address;
  /// Port of the internal RPC protocol, the same on every instance.
  uint16_t m_wirePort = 0;
  /// Entries: port for calls that other entries forward; 0 to neither take nor
  /// forward any.
  uint16_t m_forwardPort = 0;
  /// Entries: listening addresses for calls and for the load balancer's probes.
  UpstreamAddress m_callAddress;
  UpstreamAddress m_probeAddress;
  /// Control instances: listening address of the operator API.
  UpstreamAddress m_operatorAddress;
  /// Listening address of the metrics page; empty for none.
  UpstreamAddress m_metricsAddress;
  /// Addresses of some control instances; outdated ones are allowed.
  std::vector<UpstreamAddress> m_seeds;
  /// Memory that the process may use. @unit bytes.
  size_t m_memoryBytes = 268'435'456;
  /// Memory and connections that callers, or the operator's clients, may take;
  /// 0 to derive them from m_memoryBytes. @unit bytes.
  size_t m_clientMemoryBytes = 0;
  size_t m_clientConnections = 0;
  /// True only while the whole system starts for the first time: the control
  /// instances listed as seeds then form the first replica group.
  bool m_isBootstrap = false;
  std::string m_dataFolder;
  /// Number of control instances (those with disks) that may be lost at the
  /// same time.
  uint32_t m_toleratedLosses = 1;
  /// Address of the platform's engine list, and the calls per second that all
  /// instances together may make to it.
  UpstreamAddress m_engineListAddress;
  double m_engineListCallsPerSecond = 1;
  /// Retry budget over all entries together: the retries allowed per call, and
  /// the further ones allowed in any window of m_retryWindow.
  double m_retryRatio = 0.2;
  uint32_t m_retrySlack = 50;
  Duration m_retryWindow = std::chrono::seconds(10);
  /// Entries: whether calls with keys are refused once the route configuration
  /// can't be proved to be newer than m_keyProofTime.
  bool m_keysFailClosed = false;
  Duration m_keyProofTime = std::chrono::seconds(5);
  /// Entries: an answer that no route matches is certain only if the route
  /// configuration was proved to be the newest within this time.
  Duration m_routeProofTime = std::chrono::seconds(3);
  /// Control instances: bounds on the use of teams' quotas over all entries. In
  /// any window it stays within the quota, increased by the overage, plus the
  /// slack. @unit m_quotaSlack: tokens.
  Duration m_quotaWindow = std::chrono::seconds(8);
  double m_quotaOverage = 0;
  double m_quotaSlack = 0;
  /// Entries: whether the choice of engines follows what they were seen to take
  /// well.
  bool m_learnsEngines = false;
  /// Entries: whether calls that can't be answered in time are refused at once.
  bool m_hasOverloadAdmission = false;
  /// Lease of the owner. Unless engines check fencing tokens, a new owner waits
  /// for it to expire before its first order.
  Duration m_ownerLease = std::chrono::seconds(3);
  /// Whether engines refuse orders with an outdated fencing token.
  bool m_enginesCheckFencing = false;
  /// Window over which loads from the weight store are limited to its rate.
  Duration m_storeWindow = std::chrono::seconds(5);
};

/// Reads NodeSettings from JSON text.
/// @thread one thread at a time.
class NodeSettingsReader
{
public:
  /// Parses and validates JSON text. @pre none. @error empty; see Errors().
  std::optional<NodeSettings> Parse(std::string_view aText);
  /// Returns the errors of the last call. @pre none.
  [[nodiscard]] const std::vector<SettingsError>& Errors() const
  {
    return m_errors;
  }

private:
  std::vector<SettingsError> m_errors;
};

/// Parses "IP:PORT"; the IP address itself isn't checked. @pre none.
/// @thread any. @error empty when the port is missing, 0 or out of range.
std::optional<UpstreamAddress> ParseAddress(std::string_view aText);

} // namespace celeryspread
