#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "catalog/name_index.h"
#include "settings/declarations.h"
#include "settings/settings_chain.h"

namespace celeryspread {

/// One revision of the settings tree together with its name index.
/// @thread immutable after Load(); const access is safe to share, except
/// through Names(), which stores its last error and is for one thread only.
class Catalog
{
public:
  /// Builds a catalog from the JSON text of a settings tree. @pre none.
  /// @error null; aError is set to the first error.
  static std::shared_ptr<const Catalog> Load(std::string_view aText,
                                             Revision aRevision,
                                             SettingsError& aError);
  /// Builds a catalog from a settings tree that is parsed JSON. @pre none.
  /// @error null; aError is set to the first error.
  static std::shared_ptr<const Catalog> FromJson(
    const nlohmann::json& aDocument,
    Revision aRevision,
    SettingsError& aError);
  /// Returns the revision. @pre none.
  [[nodiscard]] Revision CurrentRevision() const { return m_revision; }
  /// Returns the settings tree. @pre none.
  [[nodiscard]] const SettingsTree& Tree() const { return m_tree; }
  /// Returns the name index. @pre none.
  [[nodiscard]] const NameIndex& Names() const { return m_names; }
  /// Returns the settings that are effective at a point of the tree.
  /// @pre none.
  [[nodiscard]] EffectiveSettings SettingsAt(const SettingsScope& aScope) const
  {
    return SettingsChain(m_tree, aScope).Resolve();
  }
  /// Returns the calling service of an API key "<service>.<secret>". @pre none.
  /// @error empty when the service is unknown or the secret is wrong.
  [[nodiscard]] std::optional<ServiceId> Authenticate(
    std::string_view aKey) const;

private:
  Catalog() = default;
  static std::shared_ptr<const Catalog> FromTree(SettingsTree aTree,
                                                 Revision aRevision,
                                                 SettingsError& aError);

  Revision m_revision;
  SettingsTree m_tree;
  NameIndex m_names;
};

} // namespace celeryspread
