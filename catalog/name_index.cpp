#include "catalog/name_index.h"

namespace celeryspread {

namespace {

std::string Describe(const Target& aTarget)
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
    if (!Declare(model.m_names, base) ||
        !DeclareVersions(model.m_versions, base)) {
      return false;
    }
    for (const auto& [adapterId, adapter] : model.m_adapters) {
      const Target target{ modelId, adapterId, {} };
      m_adapterDefaults[target] = adapter.m_defaultVersion;
      if (!Declare(adapter.m_names, target) ||
          !DeclareVersions(adapter.m_versions, target)) {
        return false;
      }
    }
  }
  return true;
}

bool NameIndex::DeclareVersions(
  const std::map<VersionId, VersionDeclaration>& aVersions,
  const Target& aOwner)
{
  for (const auto& [versionId, version] : aVersions) {
    Target target = aOwner;
    target.m_version = versionId;
    if (!Declare(version.m_names, target)) {
      return false;
    }
  }
  return true;
}

bool NameIndex::Declare(const SchemeNames& aNames, const Target& aTarget)
{
  m_targets.insert(aTarget);
  for (const auto& [scheme, name] : aNames) {
    Bucket& bucket = m_names[name];
    const auto [holder, isNew] = bucket.emplace(scheme, aTarget);
    if (!isNew) {
      m_clash = { "/names/" + scheme.Value(),
                  "\"" + name + "\" for " + Describe(aTarget),
                  "a name not already held by " + Describe(holder->second) +
                    " in scheme \"" + scheme.Value() + "\"" };
      return false;
    }
    m_entries.push_back({ scheme, name, aTarget });
  }
  return true;
}

std::set<Target> NameIndex::Meanings(std::string_view aName,
                                     const SchemeId& aScheme) const
{
  std::set<Target> found;
  const auto bucket = m_names.find(aName);
  if (bucket == m_names.end()) {
    return found;
  }
  for (const auto& [scheme, target] : bucket->second) {
    if (aScheme.IsEmpty() || scheme == aScheme) {
      found.insert(target);
    }
  }
  return found;
}

void NameIndex::AddVersioned(const Target& aOwner,
                             const std::string& aPart,
                             const SchemeId& aScheme,
                             std::set<Target>& aFound) const
{
  Target byId = aOwner;
  byId.m_version = VersionId(aPart);
  if (m_targets.contains(byId)) {
    aFound.insert(byId);
  }
  for (const Target& named : Meanings(aPart, aScheme)) {
    if (!named.m_version.IsEmpty() && named.m_model == aOwner.m_model &&
        named.m_adapter == aOwner.m_adapter) {
      aFound.insert(named);
    }
  }
}

void NameIndex::AddAdapter(const Target& aOwner,
                           const std::string& aPart,
                           const SchemeId& aScheme,
                           std::set<Target>& aFound) const
{
  const Target byId{ aOwner.m_model, AdapterId(aPart), {} };
  if (m_targets.contains(byId)) {
    aFound.insert(byId);
  }
  for (const Target& named : Meanings(aPart, aScheme)) {
    if (!named.m_adapter.IsEmpty() && named.m_version.IsEmpty() &&
        named.m_model == aOwner.m_model) {
      aFound.insert(named);
    }
  }
}

void NameIndex::CollectComposite(std::string_view aName,
                                 const SchemeId& aScheme,
                                 Depth aDepth,
                                 std::set<Target>& aFound) const
{
  // A declared name may itself hold ':' or '@', so every split is tried.
  constexpr size_t kMaxSeparators = 16;
  size_t separators = 0;
  for (size_t at = 1; at + 1 < aName.size(); ++at) {
    const bool isVersion = aName[at] == '@';
    if (!isVersion && aName[at] != ':') {
      continue;
    }
    if (++separators > kMaxSeparators) {
      return;
    }
    if (isVersion && aDepth == Depth::Adapter) {
      continue;
    }
    std::set<Target> owners;
    Collect(aName.substr(0, at),
            aScheme,
            isVersion ? Depth::Adapter : Depth::None,
            owners);
    const std::string part(aName.substr(at + 1));
    for (const Target& owner : owners) {
      if (!owner.m_version.IsEmpty()) {
        continue;
      }
      if (isVersion) {
        AddVersioned(owner, part, aScheme, aFound);
      } else if (owner.m_adapter.IsEmpty()) {
        AddAdapter(owner, part, aScheme, aFound);
      }
    }
  }
}

void NameIndex::Collect(std::string_view aName,
                        const SchemeId& aScheme,
                        Depth aDepth,
                        std::set<Target>& aFound) const
{
  const std::set<Target> exact = Meanings(aName, aScheme);
  aFound.insert(exact.begin(), exact.end());
  const Target byId{ ModelId(std::string(aName)), {}, {} };
  if (exact.empty() && m_targets.contains(byId)) {
    aFound.insert(byId);
  }
  if (aDepth != Depth::None) {
    CollectComposite(aName, aScheme, aDepth, aFound);
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
  constexpr size_t kMaxQueryChars = 1024;
  if (aName.empty() || aName.size() > kMaxQueryChars) {
    m_lastError = { NameErrorKind::Unknown, "the model name has a bad length" };
    return std::nullopt;
  }
  if (!aScheme.IsEmpty() && !m_schemes.contains(aScheme)) {
    m_lastError = { NameErrorKind::UnknownScheme,
                    "naming scheme \"" + aScheme.Value() +
                      "\" does not exist" };
    return std::nullopt;
  }
  std::set<Target> found;
  Collect(aName, aScheme, Depth::AdapterAndVersion, found);
  const size_t mark = aName.find('!');
  if (aScheme.IsEmpty() && mark != std::string_view::npos) {
    const SchemeId scheme{ std::string(aName.substr(0, mark)) };
    if (m_schemes.contains(scheme)) {
      Collect(aName.substr(mark + 1), scheme, Depth::AdapterAndVersion, found);
    }
  }
  if (found.empty()) {
    m_lastError = { NameErrorKind::Unknown,
                    "model \"" + std::string(aName) + "\" does not exist" };
    return std::nullopt;
  }
  if (found.size() > 1) {
    m_lastError = { NameErrorKind::Ambiguous,
                    "model name \"" + std::string(aName) +
                      "\" has several meanings (" + Describe(*found.begin()) +
                      " and " + Describe(*std::next(found.begin())) +
                      "); state the naming scheme" };
    return std::nullopt;
  }
  return WithDefaultVersion(*found.begin());
}

} // namespace celeryspread
