#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/target.h"
#include "settings/declarations.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// Why a name could not be resolved.
enum class NameErrorKind
{
  Unknown,
  /// The name refers to different targets, for example in two schemes.
  Ambiguous,
  UnknownScheme
};

/// Why a resolution failed, with a message for the caller.
struct NameError
{
  NameErrorKind m_kind = NameErrorKind::Unknown;
  std::string m_text;
};

/// One declared name and the target that it refers to.
struct NameEntry
{
  SchemeId m_scheme;
  std::string m_name;
  Target m_target;
};

/// Resolves the declared names of all naming schemes to targets.
///
/// A name is a single name or has the form "base:adapter", "base@version" or
/// "base:adapter@version", where each part is a declared name or an id. A
/// request limits the search to one scheme with "scheme!name" or a header.
/// @thread one thread at a time; the index is immutable after Build().
class NameIndex
{
public:
  /// Fills the index. @pre the index is empty.
  /// @error false when two targets have the same name in one scheme; Clash()
  /// names both.
  bool Build(const SettingsTree& aTree);
  /// Resolves a name; an empty scheme searches all of them. A target without
  /// a version gets its default version. @pre Build() succeeded.
  /// @error empty, also for a name of several targets; see LastError().
  std::optional<Target> Resolve(std::string_view aName,
                                const SchemeId& aScheme) const;
  /// Returns why Resolve() failed last. @pre Resolve() has failed.
  [[nodiscard]] const NameError& LastError() const { return m_lastError; }
  /// Returns why Build() failed. @pre Build() returned false.
  [[nodiscard]] const SettingsError& Clash() const { return m_clash; }
  /// Returns every declared name. @pre Build() succeeded.
  [[nodiscard]] const std::vector<NameEntry>& Entries() const
  {
    return m_entries;
  }

private:
  using TargetsByScheme = std::map<SchemeId, Target>;

  bool AddNames(const SchemeNames& aNames, const Target& aTarget);
  bool AddVersionNames(const std::map<VersionId, VersionDeclaration>& aVersions,
                       const Target& aParent);
  /// Which separators a lookup may still split a name at.
  enum class SplitDepth
  {
    None,
    /// ':' only.
    Adapter,
    /// ':' and '@'.
    AdapterAndVersion
  };

  /// Adds every target that aName may refer to.
  void CollectTargets(std::string_view aName,
                      const SchemeId& aScheme,
                      SplitDepth aSplitDepth,
                      std::set<Target>& aTargets) const;
  /// Adds the targets of aName as a composite, split at each separator.
  void CollectCompositeTargets(std::string_view aName,
                               const SchemeId& aScheme,
                               SplitDepth aSplitDepth,
                               std::set<Target>& aTargets) const;
  /// Adds the versions of aParent with the id or declared name aChildName.
  void CollectVersionTargets(const Target& aParent,
                             const std::string& aChildName,
                             const SchemeId& aScheme,
                             std::set<Target>& aTargets) const;
  /// Adds the adapters of aParent with the id or declared name aChildName.
  void CollectAdapterTargets(const Target& aParent,
                             const std::string& aChildName,
                             const SchemeId& aScheme,
                             std::set<Target>& aTargets) const;
  /// Returns the targets that have aName as a declared name.
  std::set<Target> TargetsNamed(std::string_view aName,
                                const SchemeId& aScheme) const;
  [[nodiscard]] Target WithDefaultVersion(Target aTarget) const;

  std::map<std::string, TargetsByScheme, std::less<>> m_targetsByName;
  std::map<ModelId, VersionId> m_modelDefaults;
  std::map<Target, VersionId> m_adapterDefaults;
  std::set<Target> m_declaredTargets;
  std::set<SchemeId> m_schemes;
  std::vector<NameEntry> m_entries;
  SettingsError m_clash;
  mutable NameError m_lastError;
};

} // namespace celeryspread
