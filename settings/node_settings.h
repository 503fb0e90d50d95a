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

/// Settings of a process that finds the others from seeds, read at start and
/// again on SIGHUP.
struct NodeSettings
{
  InstanceId m_instance;
  FailureDomainId m_domain;
  /// The region of each failure domain.
  std::map<FailureDomainId, RegionId> m_regions;
  /// Own IP number; also names this instance among the replicas.
  std::string m_address;
  /// Port of the inner protocol, the same on every instance.
  uint16_t m_wirePort = 0;
  /// Entries: where clients and the balancer's probes come in.
  UpstreamAddress m_callAddress;
  UpstreamAddress m_probeAddress;
  /// Control: where operators come in.
  UpstreamAddress m_operatorAddress;
  /// Where the metrics page is served; empty for none.
  UpstreamAddress m_metricsAddress;
  /// Addresses of some control instances; stale ones are allowed.
  std::vector<UpstreamAddress> m_seeds;
  /// True only while the whole system starts for the first time.
  bool m_isBootstrap = false;
  std::string m_dataFolder;
  /// Instances with disks whose loss at one time must be borne.
  uint32_t m_toleratedLosses = 1;
  /// The platform's list of engines and the calls a second that all
  /// instances together may make to it.
  UpstreamAddress m_listAddress;
  double m_listCallsPerSecond = 1;
  /// Bounds on repeated arrivals, over all entries together.
  double m_retryRatio = 0.2;
  uint32_t m_retrySlack = 50;
  Duration m_retryWindow = std::chrono::seconds(10);
  /// Time in which two owners of one engine may not take turns.
  Duration m_ownerLease = std::chrono::seconds(3);
  /// Engines refuse orders with an old fencing token.
  bool m_isFenced = false;
  /// Window in which loads from the weight store are kept to its rate.
  Duration m_storeWindow = std::chrono::seconds(5);
};

/// Reads the settings of a process from JSON text.
/// @thread one thread at a time.
class NodeSettingsReader
{
public:
  /// Parses and checks a text. @pre none. @error empty; see Errors().
  std::optional<NodeSettings> Parse(std::string_view aText);
  /// Returns the faults of the last call. @pre none.
  [[nodiscard]] const std::vector<SettingsError>& Errors() const
  {
    return m_errors;
  }

private:
  std::vector<SettingsError> m_errors;
};

/// Reads "IP:PORT". @pre none. @thread any. @error empty.
std::optional<UpstreamAddress> ParseAddress(std::string_view aText);

} // namespace celeryspread
