#include "placement/placement_goal.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Engine names of all versions of a model or adapter, or its single name when
/// it has no versions.
std::vector<std::string> EngineNames(
  const Target& aTarget,
  const std::map<VersionId, VersionDeclaration>& aVersions)
{
  if (aVersions.empty()) {
    return { aTarget.EngineName() };
  }
  std::vector<std::string> names;
  for (const auto& [versionId, version] : aVersions) {
    Target versioned = aTarget;
    versioned.m_version = versionId;
    names.push_back(versioned.EngineName());
  }
  return names;
}

} // namespace

PlacementGoal::PlacementGoal(const Catalog& aCatalog)
{
  std::vector<PlacementItem> adapters;
  for (const auto& [modelId, model] : aCatalog.Tree().m_models) {
    const auto baseNames = EngineNames({ modelId, {}, {} }, model.m_versions);
    for (const std::string& name : baseNames) {
      m_items.push_back(
        { name, modelId, false, model.m_memory, model.m_copies, {} });
    }
    for (const auto& [adapterId, adapter] : model.m_adapters) {
      for (const std::string& name :
           EngineNames({ modelId, adapterId, {} }, adapter.m_versions)) {
        adapters.push_back(
          { name, modelId, true, adapter.m_memory, model.m_copies, baseNames });
      }
    }
  }
  m_items.insert(m_items.end(), adapters.begin(), adapters.end());
  for (const PlacementItem& item : m_items) {
    m_sizes[item.m_name] = item.m_bytes;
  }
}

const PlacementItem* PlacementGoal::Find(const std::string& aName) const
{
  const auto found = std::find_if(
    m_items.begin(), m_items.end(), [&](const PlacementItem& aItem) {
      return aItem.m_name == aName;
    });
  return found == m_items.end() ? nullptr : &*found;
}

} // namespace celeryspread
