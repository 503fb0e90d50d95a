#include "settings/node_settings.h"

#include <charconv>
#include <cmath>

#include "core/json_text.h"
#include "settings/object_reader.h"

namespace celeryspread {

namespace {

constexpr int64_t kMaxPort = 65'535;
constexpr double kMaxSeconds = 3600;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMaxCount = 1e6;
constexpr int64_t kMaxToleratedLosses = 10;
constexpr int64_t kMaxClients = 1'000'000;
/// Three times a request inside the limits, see CallerBytesLimit().
constexpr size_t kMinClientMemory = 13UL * 1'048'576;

/// Reads the kinds of fields that ObjectReader doesn't have: addresses,
/// durations, and decimal numbers that are written as strings. The platform's
/// numbers may have a fraction even where whole numbers are usual.
class FieldReader
{
public:
  FieldReader(ObjectReader& aReader, std::vector<SettingsError>& aErrors)
    : m_reader(aReader)
    , m_errors(aErrors)
  {
  }

  UpstreamAddress Address(std::string_view aKey)
  {
    const std::string text = m_reader.String(aKey);
    if (text.empty()) {
      return {};
    }
    const auto address = ParseAddress(text);
    if (!address) {
      m_errors.push_back({ "/" + std::string(aKey), text, "IP:PORT" });
    }
    return address.value_or(UpstreamAddress{});
  }

  double DecimalNumber(std::string_view aKey, double aDefault)
  {
    const std::string text = m_reader.String(aKey);
    if (text.empty()) {
      return aDefault;
    }
    double value = 0;
    const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = result.ptr == text.data() + text.size();
    if (result.ec != std::errc() || !isWhole ||
        !(value >= 0 && std::isfinite(value))) {
      m_errors.push_back(
        { "/" + std::string(aKey), text, "a number of 0 or more, as text" });
      return aDefault;
    }
    return value;
  }

  /// Reads a boolean that is written as text; an empty text is the default.
  bool BooleanText(std::string_view aKey, bool aDefault)
  {
    const std::string text = m_reader.String(aKey);
    const bool isTrue = text == "true" || text == "True";
    const bool isFalse = text == "false" || text == "False";
    if (!text.empty() && !isTrue && !isFalse) {
      m_errors.push_back({ "/" + std::string(aKey), text, "true or false" });
    }
    return isTrue || (!isFalse && aDefault);
  }

  /// Reads a duration that is written as text; an empty text is the default.
  Duration DurationFromText(std::string_view aKey,
                            double aUnitsPerSecond,
                            Duration aDefault)
  {
    const double microsPerUnit = kMicrosPerSecond / aUnitsPerSecond;
    const double units = DecimalNumber(
      aKey, static_cast<double>(aDefault.count()) / microsPerUnit);
    const bool isValid = units > 0 && units <= kMaxSeconds * aUnitsPerSecond;
    if (!isValid) {
      m_errors.push_back(
        { "/" + std::string(aKey), std::to_string(units), "a time above 0" });
      return aDefault;
    }
    return Duration(std::llround(units * microsPerUnit));
  }

  Duration DurationFromMs(std::string_view aKey, Duration aDefault)
  {
    return ReadDuration(aKey, kMillisecondsPerSecond, aDefault);
  }

  Duration DurationFromSeconds(std::string_view aKey, Duration aDefault)
  {
    return ReadDuration(aKey, 1, aDefault);
  }

private:
  Duration ReadDuration(std::string_view aKey,
                        double aUnitsPerSecond,
                        Duration aDefault)
  {
    const double microsPerUnit = kMicrosPerSecond / aUnitsPerSecond;
    const double units =
      m_reader.Number(aKey,
                      0,
                      kMaxSeconds * aUnitsPerSecond,
                      static_cast<double>(aDefault.count()) / microsPerUnit);
    return Duration(std::llround(units * microsPerUnit));
  }

  ObjectReader& m_reader;
  std::vector<SettingsError>& m_errors;
};

} // namespace

std::optional<UpstreamAddress> ParseAddress(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(colon + 1);
  uint16_t port = 0;
  const auto result =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool isPort = result.ec == std::errc() && port != 0 &&
                      result.ptr == digits.data() + digits.size();
  if (!isPort) {
    return std::nullopt;
  }
  return UpstreamAddress{ std::string(aText.substr(0, colon)), port };
}

std::optional<NodeSettings> NodeSettingsReader::Parse(std::string_view aText)
{
  m_errors.clear();
  JsonReader json(JsonLimits{});
  const auto document = json.Parse(aText);
  if (!document) {
    m_errors.push_back({ "/", "unreadable text", json.LastReason() });
    return std::nullopt;
  }
  ObjectReader reader(*document, "", m_errors);
  FieldReader fields(reader, m_errors);
  NodeSettings settings;
  settings.m_instance = InstanceId(reader.RequiredString("instance"));
  settings.m_failureDomain =
    FailureDomainId(reader.RequiredString("failure_domain"));
  settings.m_address = reader.RequiredString("address");
  settings.m_wirePort =
    static_cast<uint16_t>(reader.Integer("wire_port", 1, kMaxPort, 0));
  settings.m_forwardPort =
    static_cast<uint16_t>(reader.Integer("forward_port", 0, kMaxPort, 0));
  settings.m_callAddress = fields.Address("call_address");
  settings.m_probeAddress = fields.Address("probe_address");
  settings.m_operatorAddress = fields.Address("operator_address");
  settings.m_metricsAddress = fields.Address("metrics_address");
  settings.m_engineListAddress = fields.Address("engine_list_address");
  settings.m_isBootstrap = reader.Boolean("bootstrap", false);
  settings.m_dataFolder = reader.String("data_folder");
  settings.m_toleratedLosses = static_cast<uint32_t>(
    reader.Integer("tolerated_losses", 0, kMaxToleratedLosses, 1));
  constexpr double kBytesPerMegabyte = 1'048'576;
  settings.m_memoryBytes = static_cast<size_t>(
    fields.DecimalNumber("memory_mb",
                         settings.m_memoryBytes / kBytesPerMegabyte) *
    kBytesPerMegabyte);
  settings.m_clientMemoryBytes = static_cast<size_t>(
    fields.DecimalNumber("client_memory_mb", 0) * kBytesPerMegabyte);
  settings.m_clientConnections = static_cast<size_t>(
    reader.Integer("client_connections", 0, kMaxClients, 0));
  const size_t clientMemory = settings.m_clientMemoryBytes;
  if (clientMemory != 0 && (clientMemory < kMinClientMemory ||
                            clientMemory > settings.m_memoryBytes / 2)) {
    m_errors.push_back({ "/client_memory_mb",
                         std::to_string(clientMemory / kBytesPerMegabyte),
                         "13 or more, and half of memory_mb at most" });
  }
  settings.m_engineListCallsPerSecond =
    fields.DecimalNumber("engine_list_calls_per_s", 1);
  settings.m_retryRatio =
    fields.DecimalNumber("retry_ratio", settings.m_retryRatio);
  settings.m_retrySlack = static_cast<uint32_t>(
    reader.Number("retry_slack", 0, kMaxCount, settings.m_retrySlack));
  settings.m_retryWindow =
    fields.DurationFromSeconds("retry_window_s", settings.m_retryWindow);
  settings.m_keysFailClosed = fields.BooleanText("keys_fail_closed", false);
  settings.m_keyProofTime = fields.DurationFromText(
    "key_proof_ms", kMillisecondsPerSecond, settings.m_keyProofTime);
  settings.m_routeProofTime = fields.DurationFromText(
    "route_proof_ms", kMillisecondsPerSecond, settings.m_routeProofTime);
  settings.m_quotaWindow =
    fields.DurationFromText("quota_window_s", 1, settings.m_quotaWindow);
  settings.m_quotaOverage = fields.DecimalNumber("quota_overage", 0);
  settings.m_quotaSlack = fields.DecimalNumber("quota_slack", 0);
  settings.m_learnsEngines = reader.Boolean("engine_learning", false);
  settings.m_hasOverloadAdmission = reader.Boolean("overload_admission", false);
  settings.m_ownerLease =
    fields.DurationFromMs("owner_lease_ms", settings.m_ownerLease);
  settings.m_enginesCheckFencing =
    reader.Boolean("engines_check_fencing", false);
  settings.m_storeWindow =
    fields.DurationFromSeconds("store_window_s", settings.m_storeWindow);
  for (const std::string& seed : reader.StringList("seeds")) {
    const auto address = ParseAddress(seed);
    if (!address) {
      m_errors.push_back({ "/seeds", seed, "IP:PORT" });
      continue;
    }
    settings.m_seeds.push_back(*address);
  }
  reader.ForEachField(
    "regions",
    [&](const std::string& aDomain,
        const nlohmann::json& aRegion,
        const std::string& aPath) {
      if (!aRegion.is_string()) {
        m_errors.push_back({ aPath, FormatJson(aRegion), "a text" });
        return;
      }
      settings.m_regions[FailureDomainId(aDomain)] =
        RegionId(aRegion.get<std::string>());
    });
  reader.RejectUnknownFields();
  if (!m_errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace celeryspread
