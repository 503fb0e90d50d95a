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

/// Why a name did not resolve.
enum class NameErrorKind
{
  Unknown,
  Ambiguous,
  UnknownScheme
};

/// A failed resolution, with a text for the caller.
struct NameError
{
  NameErrorKind m_kind = NameErrorKind::Unknown;
  std::string m_text;
};

/// One declared name and what it reaches.
struct NameEntry
{
  SchemeId m_scheme;
  std::string m_name;
  Target m_target;
};

/// Resolves declared names of every scheme to targets.
///
/// A name stands alone or as "base:adapter", "base@version" or
/// "base:adapter@version", where each part is a declared name or an id. A
/// request narrows the search to one scheme with "scheme!name" or a header.
/// @thread one thread at a time; the index is immutable after Build().
class NameIndex
{
public:
  /// Fills the index. @pre the index is empty.
  /// @error false; Clash() names both holders of one name.
  bool Build(const SettingsTree& aTree);
  /// Resolves a name; an empty scheme searches all. @pre Build() succeeded.
  /// @error empty; see LastError(). A name with several meanings is refused.
  std::optional<Target> Resolve(std::string_view aName,
                                const SchemeId& aScheme) const;
  /// Returns why the last Resolve() failed. @pre a Resolve() failed.
  [[nodiscard]] const NameError& LastError() const { return m_lastError; }
  /// Returns why Build() failed. @pre Build() returned false.
  [[nodiscard]] const SettingsError& Clash() const { return m_clash; }
  /// Returns every declared name. @pre Build() succeeded.
  [[nodiscard]] const std::vector<NameEntry>& Entries() const
  {
    return m_entries;
  }

private:
  using Bucket = std::map<SchemeId, Target>;

  bool Declare(const SchemeNames& aNames, const Target& aTarget);
  bool DeclareVersions(const std::map<VersionId, VersionDeclaration>& aVersions,
                       const Target& aOwner);
  /// Levels of "owner separator part" that one lookup may still take apart.
  enum class Depth
  {
    None,
    Adapter,
    AdapterAndVersion
  };

  void Collect(std::string_view aName,
               const SchemeId& aScheme,
               Depth aDepth,
               std::set<Target>& aFound) const;
  void CollectComposite(std::string_view aName,
                        const SchemeId& aScheme,
                        Depth aDepth,
                        std::set<Target>& aFound) const;
  void AddVersioned(const Target& aOwner,
                    const std::string& aPart,
                    const SchemeId& aScheme,
                    std::set<Target>& aFound) const;
  void AddAdapter(const Target& aOwner,
                  const std::string& aPart,
                  const SchemeId& aScheme,
                  std::set<Target>& aFound) const;
  std::set<Target> Meanings(std::string_view aName,
                            const SchemeId& aScheme) const;
  [[nodiscard]] Target WithDefaultVersion(Target aTarget) const;

  std::map<std::string, Bucket, std::less<>> m_names;
  std::map<ModelId, VersionId> m_modelDefaults;
  std::map<Target, VersionId> m_adapterDefaults;
  std::set<Target> m_targets;
  std::set<SchemeId> m_schemes;
  std::vector<NameEntry> m_entries;
  SettingsError m_clash;
  mutable NameError m_lastError;
};

} // namespace celeryspread
