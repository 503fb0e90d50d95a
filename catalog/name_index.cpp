#include "catalog/name_index.h"

namespace celeryspread {

namespace {

std::string QuotedEngineName(const Target& aTarget)
{
  return "\"" + aTarget.EngineName() + "\"";
}

} // namespace

bool NameIndex::Build(const SettingsTree& aTree)
{
  m_schemes = aTree.m_schemes;
  for (const auto& [modelId, model] : aTree.m_models) {
    const Target base{ modelId, {}, {} };
    m_modelDefaults[modelId] = model.m_defaultVersion;
    if (!AddNames(model.m_names, base) ||
        !AddVersionNames(model.m_versions, base)) {
      return false;
    }
    for (const auto& [adapterId, adapter] : model.m_adapters) {
      const Target target{ modelId, adapterId, {} };
      m_adapterDefaults[target] = adapter.m_defaultVersion;
      if (!AddNames(adapter.m_names, target) ||
          !AddVersionNames(adapter.m_versions, target)) {
        return false;
      }
    }
  }
  return true;
}

bool NameIndex::AddVersionNames(
  const std::map<VersionId, VersionDeclaration>& aVersions,
  const Target& aParent)
{
  for (const auto& [versionId, version] : aVersions) {
    Target target = aParent;
    target.m_version = versionId;
    if (!AddNames(version.m_names, target)) {
      return false;
    }
  }
  return true;
}

bool NameIndex::AddNames(const SchemeNames& aNames, const Target& aTarget)
{
  m_declaredTargets.insert(aTarget);
  for (const auto& [scheme, name] : aNames) {
    TargetsByScheme& targetsByScheme = m_targetsByName[name];
    const auto [existing, isNew] = targetsByScheme.emplace(scheme, aTarget);
    if (!isNew) {
      m_clash = { "/names/" + scheme.Value(),
                  "\"" + name + "\" for " + QuotedEngineName(aTarget),
                  "a name not already held by " +
                    QuotedEngineName(existing->second) + " in scheme \"" +
                    scheme.Value() + "\"" };
      return false;
    }
    m_entries.push_back({ scheme, name, aTarget });
  }
  return true;
}

std::set<Target> NameIndex::TargetsNamed(std::string_view aName,
                                         const SchemeId& aScheme) const
{
  std::set<Target> targets;
  const auto targetsByScheme = m_targetsByName.find(aName);
  if (targetsByScheme == m_targetsByName.end()) {
    return targets;
  }
  for (const auto& [scheme, target] : targetsByScheme->second) {
    if (aScheme.IsEmpty() || scheme == aScheme) {
      targets.insert(target);
    }
  }
  return targets;
}

void NameIndex::CollectVersionTargets(const Target& aParent,
                                      const std::string& aChildName,
                                      const SchemeId& aScheme,
                                      std::set<Target>& aTargets) const
{
  Target targetById = aParent;
  targetById.m_version = VersionId(aChildName);
  if (m_declaredTargets.contains(targetById)) {
    aTargets.insert(targetById);
  }
  for (const Target& named : TargetsNamed(aChildName, aScheme)) {
    if (!named.m_version.IsEmpty() && named.m_model == aParent.m_model &&
        named.m_adapter == aParent.m_adapter) {
      aTargets.insert(named);
    }
  }
}

void NameIndex::CollectAdapterTargets(const Target& aParent,
                                      const std::string& aChildName,
                                      const SchemeId& aScheme,
                                      std::set<Target>& aTargets) const
{
  const Target targetById{ aParent.m_model, AdapterId(aChildName), {} };
  if (m_declaredTargets.contains(targetById)) {
    aTargets.insert(targetById);
  }
  for (const Target& named : TargetsNamed(aChildName, aScheme)) {
    if (!named.m_adapter.IsEmpty() && named.m_version.IsEmpty() &&
        named.m_model == aParent.m_model) {
      aTargets.insert(named);
    }
  }
}

void NameIndex::CollectCompositeTargets(std::string_view aName,
                                        const SchemeId& aScheme,
                                        SplitDepth aSplitDepth,
                                        std::set<Target>& aTargets) const
{
  // A declared name may itself contain ':' or '@', so every split is tried.
  constexpr size_t kMaxSeparators = 16;
  size_t separators = 0;
  for (size_t position = 1; position + 1 < aName.size(); ++position) {
    const bool isVersion = aName[position] == '@';
    if (!isVersion && aName[position] != ':') {
      continue;
    }
    if (++separators > kMaxSeparators) {
      return;
    }
    if (isVersion && aSplitDepth == SplitDepth::Adapter) {
      continue;
    }
    std::set<Target> parents;
    CollectTargets(aName.substr(0, position),
                   aScheme,
                   isVersion ? SplitDepth::Adapter : SplitDepth::None,
                   parents);
    const std::string childName(aName.substr(position + 1));
    for (const Target& parent : parents) {
      if (!parent.m_version.IsEmpty()) {
        continue;
      }
      if (isVersion) {
        CollectVersionTargets(parent, childName, aScheme, aTargets);
      } else if (parent.m_adapter.IsEmpty()) {
        CollectAdapterTargets(parent, childName, aScheme, aTargets);
      }
    }
  }
}

void NameIndex::CollectTargets(std::string_view aName,
                               const SchemeId& aScheme,
                               SplitDepth aSplitDepth,
                               std::set<Target>& aTargets) const
{
  const std::set<Target> exact = TargetsNamed(aName, aScheme);
  aTargets.insert(exact.begin(), exact.end());
  const Target targetById{ ModelId(std::string(aName)), {}, {} };
  if (exact.empty() && m_declaredTargets.contains(targetById)) {
    aTargets.insert(targetById);
  }
  if (aSplitDepth != SplitDepth::None) {
    CollectCompositeTargets(aName, aScheme, aSplitDepth, aTargets);
  }
}

Target NameIndex::WithDefaultVersion(Target aTarget) const
{
  if (!aTarget.m_version.IsEmpty()) {
    return aTarget;
  }
  if (aTarget.m_adapter.IsEmpty()) {
    aTarget.m_version = m_modelDefaults.at(aTarget.m_model);
  } else {
    aTarget.m_version = m_adapterDefaults.at(aTarget);
  }
  return aTarget;
}

std::optional<Target> NameIndex::Resolve(std::string_view aName,
                                         const SchemeId& aScheme) const
{
  constexpr size_t kMaxNameBytes = 1024;
  if (aName.empty() || aName.size() > kMaxNameBytes) {
    m_lastError = { NameErrorKind::Unknown, "the model name has a bad length" };
    return std::nullopt;
  }
  if (!aScheme.IsEmpty() && !m_schemes.contains(aScheme)) {
    m_lastError = { NameErrorKind::UnknownScheme,
                    "naming scheme \"" + aScheme.Value() +
                      "\" does not exist" };
    return std::nullopt;
  }
  std::set<Target> targets;
  CollectTargets(aName, aScheme, SplitDepth::AdapterAndVersion, targets);
  const size_t separator = aName.find('!');
  if (aScheme.IsEmpty() && separator != std::string_view::npos) {
    const SchemeId scheme{ std::string(aName.substr(0, separator)) };
    if (m_schemes.contains(scheme)) {
      CollectTargets(aName.substr(separator + 1),
                     scheme,
                     SplitDepth::AdapterAndVersion,
                     targets);
    }
  }
  if (targets.empty()) {
    m_lastError = { NameErrorKind::Unknown,
                    "model \"" + std::string(aName) + "\" does not exist" };
    return std::nullopt;
  }
  if (targets.size() > 1) {
    m_lastError = { NameErrorKind::Ambiguous,
                    "model name \"" + std::string(aName) +
                      "\" has several meanings (" +
                      QuotedEngineName(*targets.begin()) + " and " +
                      QuotedEngineName(*std::next(targets.begin())) +
                      "); state the naming scheme" };
    return std::nullopt;
  }
  return WithDefaultVersion(*targets.begin());
}

} // namespace celeryspread
