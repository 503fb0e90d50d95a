#pragma once

#include <array>
#include <string>
#include <vector>

#include "settings/declarations.h"

namespace celeryspread {

/// Scope for which effective values are computed: one node per level of the
/// tree. A level whose id is empty is left out.
struct SettingsScope
{
  FailureDomainId m_failureDomain;
  ModelId m_model;
  AdapterId m_adapter;
  VersionId m_version;
  PlainServiceId m_plainService;
  ServiceId m_service;
};

/// One effective value and the level that set it.
struct ExplainedSetting
{
  SettingKey m_key = SettingKey::Count;
  int64_t m_value = 0;
  std::string m_level;
};

/// Effective values of every setting in one scope.
/// @thread immutable after construction, safe to share.
class EffectiveSettings
{
public:
  /// Stores one value for each setting. @pre aValues is in key order.
  explicit EffectiveSettings(std::array<int64_t, kSettingCount> aValues)
    : m_values(aValues)
  {
  }
  /// Returns a value, in the unit that the setting's name gives. @pre aKey is
  /// not Count.
  [[nodiscard]] int64_t Get(SettingKey aKey) const
  {
    return m_values[static_cast<size_t>(aKey)];
  }

private:
  std::array<int64_t, kSettingCount> m_values;
};

/// Computes effective values: each level inherits from the one before it
/// (default, root, region, failure domain, model or plain service, adapter,
/// version, calling service) and overrides only what it sets.
/// @thread const use is safe to share while the tree lives.
class SettingsChain
{
public:
  /// Collects the levels of a scope. @pre aTree outlives the chain.
  SettingsChain(const SettingsTree& aTree, const SettingsScope& aScope);
  /// Returns the effective values. @pre none.
  [[nodiscard]] EffectiveSettings Resolve() const;
  /// Returns each effective value with the level that set it. @pre none.
  [[nodiscard]] std::vector<ExplainedSetting> Explain() const;

private:
  struct Level
  {
    std::string m_name;
    const SettingValues* m_values;
  };
  void Add(std::string aName, const SettingValues& aValues);
  void AddModelLevels(const SettingsTree& aTree, const SettingsScope& aScope);
  void AddVersion(const std::map<VersionId, VersionDeclaration>& aVersions,
                  const VersionId& aVersion);

  std::vector<Level> m_levels;
};

} // namespace celeryspread
