#include "settings/instance_settings.h"

#include <fstream>
#include <sstream>

#include "core/json_text.h"
#include "settings/object_reader.h"

namespace celeryspread {

namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxConnectionLimit = 1'000'000;
constexpr int64_t kMaxMilliseconds = 3'600'000;
constexpr int64_t kMaxSnapshotEntries = 10'000'000;

} // namespace

std::optional<std::string> ReadWholeFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<InstanceSettings> InstanceSettingsReader::Load(
  const std::string& aPath)
{
  m_errors.clear();
  const std::optional<std::string> text = ReadWholeFile(aPath);
  if (!text) {
    m_errors.push_back({ aPath, "no readable file", "a JSON settings file" });
    return std::nullopt;
  }
  return Parse(*text);
}

std::optional<InstanceSettings> InstanceSettingsReader::Parse(
  std::string_view aText)
{
  m_errors.clear();
  JsonReader json(JsonLimits{});
  const auto document = json.Parse(aText);
  if (!document) {
    m_errors.push_back({ "/", "unreadable text", json.LastReason() });
    return std::nullopt;
  }
  ObjectReader reader(*document, "", m_errors);
  InstanceSettings settings;
  settings.m_instance = InstanceId(reader.RequiredString("instance"));
  settings.m_failureDomain =
    FailureDomainId(reader.RequiredString("failure_domain"));
  settings.m_address = reader.RequiredString("address");
  settings.m_httpPort =
    static_cast<uint16_t>(reader.Integer("http_port", 0, kMaxPort, 0));
  settings.m_wirePort =
    static_cast<uint16_t>(reader.Integer("wire_port", 0, kMaxPort, 0));
  settings.m_treeFile = reader.String("tree_file");
  settings.m_dataFolder = reader.String("data_folder");
  settings.m_traceFile = reader.String("trace_file");
  settings.m_clusterKeyFile = reader.String("cluster_key_file");
  settings.m_platformListAddress = reader.String("platform_list_address");
  settings.m_platformListPort =
    static_cast<uint16_t>(reader.Integer("platform_list_port", 0, kMaxPort, 0));
  settings.m_platformListPath =
    reader.String("platform_list_path", "/instances");
  settings.m_operatorKeyHash = reader.String("operator_key_hash");
  settings.m_maxConnections = reader.Integer(
    "max_connections", 1, kMaxConnectionLimit, settings.m_maxConnections);
  settings.m_drainLagMs =
    reader.Integer("drain_lag_ms", 0, kMaxMilliseconds, settings.m_drainLagMs);
  settings.m_reportPeriodMs = reader.Integer(
    "report_period_ms", 1, kMaxMilliseconds, settings.m_reportPeriodMs);
  settings.m_snapshotEntries = reader.Integer(
    "snapshot_entries", 1, kMaxSnapshotEntries, settings.m_snapshotEntries);
  reader.ForEachField("control",
                      [&](const std::string& aName,
                          const nlohmann::json& aValue,
                          const std::string& aPath) {
                        ObjectReader peer(aValue, aPath, m_errors);
                        PeerAddress address;
                        address.m_instance = InstanceId(aName);
                        address.m_address = peer.RequiredString("address");
                        address.m_port = static_cast<uint16_t>(
                          peer.Integer("port", 1, kMaxPort, 0));
                        peer.RejectUnknownFields();
                        settings.m_control.push_back(std::move(address));
                      });
  reader.RejectUnknownFields();
  if (!m_errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace celeryspread
