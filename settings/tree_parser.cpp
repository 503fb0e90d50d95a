#include "settings/tree_parser.h"

#include <algorithm>
#include <climits>

#include <nlohmann/json.hpp>

#include "core/json_text.h"
#include "settings/object_reader.h"

namespace celeryspread {

namespace {

using nlohmann::json;

constexpr int64_t kMaxMemoryBytes = int64_t{ 1 } << 50;
constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMaxCopies = 10'000;
constexpr int64_t kMaxPort = 65'535;
constexpr size_t kMaxIdentifierChars = 128;
constexpr size_t kMaxNameChars = 256;
constexpr size_t kMaxSchemes = 3;

bool IsIdentifierChar(char aChar)
{
  const auto c = static_cast<unsigned char>(aChar);
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
}

bool HasOnlyPrintableAscii(const std::string& aName)
{
  return std::all_of(aName.begin(), aName.end(), [](char aChar) {
    return aChar > ' ' && aChar <= '~';
  });
}

} // namespace

std::optional<SettingsTree> TreeParser::Parse(std::string_view aText)
{
  JsonReader reader{ JsonLimits{} };
  const std::optional<json> document = reader.Parse(aText);
  if (!document) {
    m_errors = { { "/", "unreadable text", reader.LastReason() } };
    return std::nullopt;
  }
  return Read(*document);
}

std::optional<SettingsTree> TreeParser::Read(const json& aDocument)
{
  m_tree = SettingsTree();
  m_errors.clear();
  ObjectReader root(aDocument, "", m_errors);
  m_tree.m_settings = ReadSettings(root, "");
  ReadSchemes(root);
  ReadRegions(root);
  ReadModels(root);
  ReadServices(root);
  ReadPlainServices(root);
  ReadUpstreams(root);
  ReadOperators(root);
  root.RejectUnknownFields();
  CheckReferences();
  if (!m_errors.empty()) {
    return std::nullopt;
  }
  return std::move(m_tree);
}

bool TreeParser::CheckIdentifier(const std::string& aName,
                                 const std::string& aPath)
{
  const bool isValid =
    !aName.empty() && aName.size() <= kMaxIdentifierChars &&
    std::all_of(aName.begin(), aName.end(), IsIdentifierChar);
  if (!isValid) {
    m_errors.push_back(
      { aPath,
        json(aName).dump(-1, ' ', true, json::error_handler_t::replace),
        "an identifier of 1 to 128 letters, digits, '-', '_' or '.'" });
  }
  return isValid;
}

SettingValues TreeParser::ReadSettings(ObjectReader& aOwner,
                                       const std::string& aPath)
{
  SettingValues values;
  // Most levels set nothing, and a large tree has thousands of them, so the
  // copy below is skipped for them.
  if (!aOwner.Has("settings")) {
    return values;
  }
  json fields = json::object();
  aOwner.ForEachField(
    "settings", [&](const std::string& aName, const json& aValue, auto&&) {
      fields[aName] = aValue;
    });
  ObjectReader reader(fields, aPath + "/settings", m_errors);
  for (const SettingSpec& spec : AllSettingSpecs()) {
    if (!fields.contains(spec.m_name)) {
      continue;
    }
    if (spec.m_type == SettingType::Boolean) {
      const bool value = reader.Boolean(spec.m_name, spec.m_default != 0);
      values.Set(spec.m_key, value ? 1 : 0);
    } else {
      values.Set(
        spec.m_key,
        reader.Integer(
          spec.m_name, spec.m_minimum, spec.m_maximum, spec.m_default));
    }
  }
  reader.RejectUnknownFields();
  return values;
}

SchemeNames TreeParser::ReadNames(ObjectReader& aOwner,
                                  const std::string& aPath)
{
  SchemeNames names;
  aOwner.ForEachField(
    "names",
    [&](const std::string& aScheme,
        const json& aValue,
        const std::string& aFieldPath) {
      if (!m_tree.m_schemes.contains(SchemeId(aScheme))) {
        m_errors.push_back(
          { aFieldPath, aScheme, "a scheme of /naming_schemes" });
        return;
      }
      const bool isValid =
        aValue.is_string() && !aValue.get_ref<const std::string&>().empty() &&
        aValue.get_ref<const std::string&>().size() <= kMaxNameChars &&
        HasOnlyPrintableAscii(aValue.get<std::string>());
      if (!isValid) {
        m_errors.push_back(
          { aFieldPath,
            aValue.dump(-1, ' ', true, json::error_handler_t::replace),
            "a name of 1 to 256 printable characters "
            "without spaces" });
        return;
      }
      names[SchemeId(aScheme)] = aValue.get<std::string>();
    });
  if (names.empty()) {
    m_errors.push_back({ aPath + "/names", "none", "a name in any scheme" });
  }
  return names;
}

void TreeParser::ReadSchemes(ObjectReader& aRoot)
{
  const std::vector<std::string> schemes = aRoot.StringList("naming_schemes");
  for (const std::string& scheme : schemes) {
    if (CheckIdentifier(scheme, "/naming_schemes")) {
      m_tree.m_schemes.insert(SchemeId(scheme));
    }
  }
  if (schemes.size() > kMaxSchemes ||
      m_tree.m_schemes.size() != schemes.size()) {
    m_errors.push_back({ "/naming_schemes",
                         std::to_string(schemes.size()) + " entries",
                         "at most three different schemes" });
  }
}

void TreeParser::ReadRegions(ObjectReader& aRoot)
{
  aRoot.ForEachField(
    "regions",
    [&](const std::string& aName,
        const json& aValue,
        const std::string& aFieldPath) {
      CheckIdentifier(aName, aFieldPath);
      RegionDeclaration region;
      ObjectReader reader(aValue, aFieldPath, m_errors);
      region.m_settings = ReadSettings(reader, aFieldPath);
      reader.ForEachField(
        "failure_domains",
        [&](const std::string& aDomain,
            const json& aDomainValue,
            const std::string& aDomainPath) {
          CheckIdentifier(aDomain, aDomainPath);
          ObjectReader inner(aDomainValue, aDomainPath, m_errors);
          FailureDomainDeclaration domain;
          domain.m_settings = ReadSettings(inner, aDomainPath);
          inner.RejectUnknownFields();
          region.m_failureDomains[FailureDomainId(aDomain)] = domain;
        });
      reader.RejectUnknownFields();
      m_tree.m_regions[RegionId(aName)] = std::move(region);
    });
}

std::map<VersionId, VersionDeclaration> TreeParser::ReadVersions(
  ObjectReader& aOwner)
{
  std::map<VersionId, VersionDeclaration> versions;
  aOwner.ForEachField("versions",
                      [&](const std::string& aName,
                          const json& aValue,
                          const std::string& aFieldPath) {
                        CheckIdentifier(aName, aFieldPath);
                        ObjectReader reader(aValue, aFieldPath, m_errors);
                        VersionDeclaration version;
                        version.m_names = ReadNames(reader, aFieldPath);
                        version.m_settings = ReadSettings(reader, aFieldPath);
                        reader.RejectUnknownFields();
                        versions[VersionId(aName)] = std::move(version);
                      });
  return versions;
}

void TreeParser::CheckDefaultVersion(
  const VersionId& aDefault,
  const std::map<VersionId, VersionDeclaration>& aVersions,
  const std::string& aPath)
{
  if (aVersions.empty() && aDefault.IsEmpty()) {
    return;
  }
  if (!aVersions.contains(aDefault)) {
    m_errors.push_back({ aPath + "/default_version",
                         "\"" + aDefault.Value() + "\"",
                         "one of the declared versions" });
  }
}

AdapterDeclaration TreeParser::ReadAdapter(const json& aValue,
                                           const std::string& aPath)
{
  ObjectReader reader(aValue, aPath, m_errors);
  AdapterDeclaration adapter;
  adapter.m_names = ReadNames(reader, aPath);
  adapter.m_settings = ReadSettings(reader, aPath);
  adapter.m_memory = ByteCount(static_cast<uint64_t>(
    reader.Integer("memory_bytes", 0, kMaxMemoryBytes, 0)));
  adapter.m_versions = ReadVersions(reader);
  adapter.m_defaultVersion = VersionId(reader.String("default_version"));
  CheckDefaultVersion(adapter.m_defaultVersion, adapter.m_versions, aPath);
  reader.RejectUnknownFields();
  return adapter;
}

ModelDeclaration TreeParser::ReadModel(const json& aValue,
                                       const std::string& aPath)
{
  ObjectReader reader(aValue, aPath, m_errors);
  ModelDeclaration model;
  model.m_names = ReadNames(reader, aPath);
  model.m_settings = ReadSettings(reader, aPath);
  model.m_memory = ByteCount(static_cast<uint64_t>(
    reader.Integer("memory_bytes", 0, kMaxMemoryBytes, 0)));
  model.m_copies =
    static_cast<uint32_t>(reader.Integer("copies", 1, kMaxCopies, 1));
  model.m_versions = ReadVersions(reader);
  model.m_defaultVersion = VersionId(reader.String("default_version"));
  CheckDefaultVersion(model.m_defaultVersion, model.m_versions, aPath);
  reader.ForEachField("adapters",
                      [&](const std::string& aName,
                          const json& aAdapter,
                          const std::string& aFieldPath) {
                        CheckIdentifier(aName, aFieldPath);
                        model.m_adapters[AdapterId(aName)] =
                          ReadAdapter(aAdapter, aFieldPath);
                      });
  reader.RejectUnknownFields();
  return model;
}

void TreeParser::ReadModels(ObjectReader& aRoot)
{
  aRoot.ForEachField("models",
                     [&](const std::string& aName,
                         const json& aValue,
                         const std::string& aFieldPath) {
                       CheckIdentifier(aName, aFieldPath);
                       m_tree.m_models[ModelId(aName)] =
                         ReadModel(aValue, aFieldPath);
                     });
}

void TreeParser::ReadServices(ObjectReader& aRoot)
{
  aRoot.ForEachField(
    "services",
    [&](const std::string& aName,
        const json& aValue,
        const std::string& aFieldPath) {
      CheckIdentifier(aName, aFieldPath);
      ObjectReader reader(aValue, aFieldPath, m_errors);
      ServiceDeclaration service;
      service.m_member = MemberId(reader.RequiredString("member"));
      service.m_keyHash = reader.RequiredString("key_hash");
      service.m_settings = ReadSettings(reader, aFieldPath);
      for (std::string& model : reader.StringList("models")) {
        service.m_models.insert(ModelId(std::move(model)));
      }
      for (std::string& plain : reader.StringList("plain_services")) {
        service.m_plainServices.insert(PlainServiceId(std::move(plain)));
      }
      reader.RejectUnknownFields();
      m_tree.m_services[ServiceId(aName)] = std::move(service);
    });
}

void TreeParser::ReadPlainServices(ObjectReader& aRoot)
{
  aRoot.ForEachField(
    "plain_services",
    [&](const std::string& aName,
        const json& aValue,
        const std::string& aFieldPath) {
      CheckIdentifier(aName, aFieldPath);
      ObjectReader reader(aValue, aFieldPath, m_errors);
      PlainServiceDeclaration service;
      service.m_settings = ReadSettings(reader, aFieldPath);
      for (std::string& method : reader.StringList("idempotent_methods")) {
        service.m_idempotentMethods.insert(std::move(method));
      }
      reader.RejectUnknownFields();
      m_tree.m_plainServices[PlainServiceId(aName)] = std::move(service);
    });
}

void TreeParser::ReadUpstreams(ObjectReader& aRoot)
{
  aRoot.ForEachField(
    "upstreams",
    [&](const std::string& aName,
        const json& aValue,
        const std::string& aFieldPath) {
      CheckIdentifier(aName, aFieldPath);
      ObjectReader reader(aValue, aFieldPath, m_errors);
      UpstreamDeclaration upstream;
      upstream.m_kind = static_cast<UpstreamKind>(
        reader.Choice("kind", { "engine", "plain_service" }, 0));
      upstream.m_address = reader.RequiredString("address");
      upstream.m_port =
        static_cast<uint16_t>(reader.Integer("port", 1, kMaxPort, 0));
      if (upstream.m_port == 0) {
        m_errors.push_back(
          { aFieldPath + "/port", "none", "a port from 1 to 65535" });
      }
      upstream.m_failureDomain =
        FailureDomainId(reader.RequiredString("failure_domain"));
      upstream.m_memory = ByteCount(static_cast<uint64_t>(
        reader.Integer("memory_bytes", 0, kMaxMemoryBytes, 0)));
      upstream.m_cacheReserve = ByteCount(static_cast<uint64_t>(
        reader.Integer("cache_reserve_bytes", 0, kMaxMemoryBytes, 0)));
      upstream.m_slots =
        static_cast<uint32_t>(reader.Integer("slots", 1, kMaxSlots, 8));
      upstream.m_checksFencing = reader.Boolean("checks_fencing", false);
      upstream.m_isLeaving = reader.Boolean("leaving", false);
      upstream.m_plainService = PlainServiceId(reader.String("plain_service"));
      reader.RejectUnknownFields();
      m_tree.m_upstreams[UpstreamId(aName)] = std::move(upstream);
    });
}

void TreeParser::ReadOperators(ObjectReader& aRoot)
{
  aRoot.ForEachField(
    "operators",
    [&](const std::string& aName,
        const json& aValue,
        const std::string& aFieldPath) {
      CheckIdentifier(aName, aFieldPath);
      ObjectReader reader(aValue, aFieldPath, m_errors);
      OperatorDeclaration declaration;
      declaration.m_keyHash = reader.RequiredString("key_hash");
      declaration.m_role = static_cast<OperatorRole>(
        reader.Choice("role", { "read", "change", "settle" }, 0));
      reader.RejectUnknownFields();
      m_tree.m_operators[OperatorId(aName)] = std::move(declaration);
    });
}

void TreeParser::CheckReferences()
{
  std::set<FailureDomainId> domains;
  for (const auto& [regionId, region] : m_tree.m_regions) {
    for (const auto& [domainId, domain] : region.m_failureDomains) {
      if (!domains.insert(domainId).second) {
        m_errors.push_back({ "/regions/" + regionId.Value() +
                               "/failure_domains/" + domainId.Value(),
                             domainId.Value(),
                             "a failure domain that no other region has" });
      }
    }
  }
  for (const auto& [id, service] : m_tree.m_services) {
    for (const ModelId& model : service.m_models) {
      if (!m_tree.m_models.contains(model)) {
        m_errors.push_back({ "/services/" + id.Value() + "/models",
                             "\"" + model.Value() + "\"",
                             "a declared model" });
      }
    }
    for (const PlainServiceId& plain : service.m_plainServices) {
      if (!m_tree.m_plainServices.contains(plain)) {
        m_errors.push_back({ "/services/" + id.Value() + "/plain_services",
                             "\"" + plain.Value() + "\"",
                             "a declared plain service" });
      }
    }
  }
  for (const auto& [id, upstream] : m_tree.m_upstreams) {
    const std::string path = "/upstreams/" + id.Value();
    if (!domains.contains(upstream.m_failureDomain)) {
      m_errors.push_back({ path + "/failure_domain",
                           "\"" + upstream.m_failureDomain.Value() + "\"",
                           "a declared failure domain" });
    }
    const bool isPlain = upstream.m_kind == UpstreamKind::PlainService;
    if (isPlain && !m_tree.m_plainServices.contains(upstream.m_plainService)) {
      m_errors.push_back({ path + "/plain_service",
                           "\"" + upstream.m_plainService.Value() + "\"",
                           "a declared plain service" });
    }
    if (!isPlain && !upstream.m_plainService.IsEmpty()) {
      m_errors.push_back({ path + "/plain_service",
                           "\"" + upstream.m_plainService.Value() + "\"",
                           "no plain service on an engine" });
    }
    if (upstream.m_cacheReserve > upstream.m_memory) {
      m_errors.push_back({ path + "/cache_reserve_bytes",
                           std::to_string(upstream.m_cacheReserve.Value()),
                           "no more than memory_bytes" });
    }
  }
}

} // namespace celeryspread
