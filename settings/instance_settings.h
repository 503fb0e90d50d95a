#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// Address of a peer process of the system.
struct PeerAddress
{
  InstanceId m_instance;
  std::string m_address;
  uint16_t m_port = 0;
};

/// Settings of one process, read once at start.
struct InstanceSettings
{
  InstanceId m_instance;
  FailureDomainId m_failureDomain;
  std::string m_address;
  /// Instances whose loss at one time must be borne; a silent replica is
  /// replaced once twice as many and one others answer. 0 keeps all replicas.
  uint32_t m_toleratedLosses = 0;
  /// HTTP port; 0 takes an ephemeral one.
  uint16_t m_httpPort = 0;
  /// Port of a metrics page of its own; 0 for none.
  uint16_t m_metricsPort = 0;
  /// Port of the inner protocol; control instances only.
  uint16_t m_wirePort = 0;
  std::vector<PeerAddress> m_control;
  /// Settings tree of an entry that runs without control instances.
  std::string m_treeFile;
  std::string m_dataFolder;
  std::string m_traceFile;
  std::string m_clusterKeyFile;
  /// The key itself, for instances that are given no file.
  std::string m_clusterKey;
  /// Server of the polled JSON list of leaving instances; empty for none.
  std::string m_platformListAddress;
  uint16_t m_platformListPort = 0;
  std::string m_platformListPath;
  std::string m_operatorKeyHash;
  int64_t m_maxConnections = 10'000;
  int64_t m_drainLagMs = 1'000;
  int64_t m_reportPeriodMs = 500;
  /// Shortest time without a leader before an election.
  int64_t m_electionTimeoutMs = 1'000;
  /// Log entries after which a snapshot is taken.
  int64_t m_snapshotEntries = 1'000;
};

/// Reads the settings of a process.
/// @thread one thread at a time.
class InstanceSettingsReader
{
public:
  /// Parses and checks a text. @pre none. @error empty; see Errors().
  std::optional<InstanceSettings> Parse(std::string_view aText);
  /// Reads and parses a file. @pre none. @error empty; see Errors().
  std::optional<InstanceSettings> Load(const std::string& aPath);
  /// Returns the faults of the last call. @pre none.
  [[nodiscard]] const std::vector<SettingsError>& Errors() const
  {
    return m_errors;
  }

private:
  std::vector<SettingsError> m_errors;
};

/// Reads a whole file. @pre none. @thread any. @error empty when unreadable.
std::optional<std::string> ReadWholeFile(const std::string& aPath);

} // namespace celeryspread
