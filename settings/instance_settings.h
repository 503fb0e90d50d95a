#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// Instance id, IP address and port of another process of the system.
struct PeerAddress
{
  InstanceId m_instance;
  std::string m_address;
  uint16_t m_port = 0;
};

/// Settings of one process, read once at start. Control instances are listed
/// by name; NodeSettings is the variant that finds them from seeds.
struct InstanceSettings
{
  InstanceId m_instance;
  FailureDomainId m_failureDomain;
  std::string m_address;
  /// Number of control instances that may be lost at the same time. A replica
  /// that stays silent is removed while at least twice as many plus one
  /// replicas answer; 0 never removes one.
  uint32_t m_toleratedLosses = 0;
  /// HTTP port; 0 binds an ephemeral port.
  uint16_t m_httpPort = 0;
  /// Separate port for the metrics page; 0 for none.
  uint16_t m_metricsPort = 0;
  /// Port of the internal RPC protocol; control instances only.
  uint16_t m_wirePort = 0;
  /// The control instances.
  std::vector<PeerAddress> m_control;
  /// File with the settings tree of an entry that runs without control
  /// instances.
  std::string m_treeFile;
  std::string m_dataFolder;
  std::string m_traceFile;
  std::string m_clusterKeyFile;
  /// The key itself, for instances that have no key file.
  std::string m_clusterKey;
  /// Server whose JSON list of leaving upstreams is polled; empty for none.
  std::string m_platformListAddress;
  uint16_t m_platformListPort = 0;
  std::string m_platformListPath;
  std::string m_operatorKeyHash;
  int64_t m_maxConnections = 10'000;
  /// Time that a draining entry keeps accepting calls after it reports itself
  /// not ready, until the load balancer has seen that.
  int64_t m_drainLagMs = 1'000;
  /// Period at which an entry polls the reports of its upstreams.
  int64_t m_reportPeriodMs = 500;
  /// Shortest time without a leader before a replica starts an election.
  int64_t m_electionTimeoutMs = 1'000;
  /// Memory that the process may use; 0 when it is not known. Set by the
  /// platform's daemon only. @unit bytes.
  size_t m_memoryBytes = 0;
  /// Memory and connections that the operator's clients may take; 0 to derive
  /// them. Set by the platform's daemon only. @unit bytes.
  size_t m_clientMemoryBytes = 0;
  size_t m_clientConnections = 0;
  /// Number of log entries after which a snapshot is taken.
  int64_t m_snapshotEntries = 1'000;
};

/// Reads InstanceSettings from JSON.
/// @thread one thread at a time.
class InstanceSettingsReader
{
public:
  /// Parses and validates JSON text. @pre none. @error empty; see Errors().
  std::optional<InstanceSettings> Parse(std::string_view aText);
  /// Reads, parses and validates a file. @pre none. @error empty; see Errors().
  std::optional<InstanceSettings> Load(const std::string& aPath);
  /// Returns the errors of the last call. @pre none.
  [[nodiscard]] const std::vector<SettingsError>& Errors() const
  {
    return m_errors;
  }

private:
  std::vector<SettingsError> m_errors;
};

/// Returns the contents of a file. @pre none. @thread any.
/// @error empty when the file can't be read.
std::optional<std::string> ReadWholeFile(const std::string& aPath);

} // namespace celeryspread
