#include "settings/settings_chain.h"

namespace celeryspread {

SettingsChain::SettingsChain(const SettingsTree& aTree,
                             const SettingsScope& aScope)
{
  Add("root", aTree.m_settings);
  for (const auto& [regionId, region] : aTree.m_regions) {
    const auto domain = region.m_failureDomains.find(aScope.m_failureDomain);
    if (domain == region.m_failureDomains.end()) {
      continue;
    }
    Add("region " + regionId.Value(), region.m_settings);
    Add("failure domain " + domain->first.Value(), domain->second.m_settings);
  }
  AddModelLevels(aTree, aScope);
  const auto plain = aTree.m_plainServices.find(aScope.m_plainService);
  if (plain != aTree.m_plainServices.end()) {
    Add("plain service " + plain->first.Value(), plain->second.m_settings);
  }
  const auto service = aTree.m_services.find(aScope.m_service);
  if (service != aTree.m_services.end()) {
    Add("service " + service->first.Value(), service->second.m_settings);
  }
}

void SettingsChain::Add(std::string aName, const SettingValues& aValues)
{
  m_levels.push_back({ std::move(aName), &aValues });
}

void SettingsChain::AddModelLevels(const SettingsTree& aTree,
                                   const SettingsScope& aScope)
{
  const auto model = aTree.m_models.find(aScope.m_model);
  if (model == aTree.m_models.end()) {
    return;
  }
  Add("model " + model->first.Value(), model->second.m_settings);
  const auto adapter = model->second.m_adapters.find(aScope.m_adapter);
  if (adapter == model->second.m_adapters.end()) {
    AddVersion(model->second.m_versions, aScope.m_version);
    return;
  }
  Add("adapter " + adapter->first.Value(), adapter->second.m_settings);
  AddVersion(adapter->second.m_versions, aScope.m_version);
}

void SettingsChain::AddVersion(
  const std::map<VersionId, VersionDeclaration>& aVersions,
  const VersionId& aVersion)
{
  const auto version = aVersions.find(aVersion);
  if (version != aVersions.end()) {
    Add("version " + version->first.Value(), version->second.m_settings);
  }
}

EffectiveSettings SettingsChain::Resolve() const
{
  std::array<int64_t, kSettingCount> values{};
  for (const SettingSpec& spec : AllSettingSpecs()) {
    int64_t value = spec.m_default;
    for (const Level& level : m_levels) {
      value = level.m_values->Get(spec.m_key).value_or(value);
    }
    values[static_cast<size_t>(spec.m_key)] = value;
  }
  return EffectiveSettings(values);
}

std::vector<ExplainedSetting> SettingsChain::Explain() const
{
  std::vector<ExplainedSetting> explained;
  for (const SettingSpec& spec : AllSettingSpecs()) {
    ExplainedSetting entry{ spec.m_key, spec.m_default, "default" };
    for (const Level& level : m_levels) {
      if (const auto ownValue = level.m_values->Get(spec.m_key)) {
        entry.m_value = *ownValue;
        entry.m_level = level.m_name;
      }
    }
    explained.push_back(std::move(entry));
  }
  return explained;
}

} // namespace celeryspread
