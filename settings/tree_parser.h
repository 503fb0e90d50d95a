#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "settings/declarations.h"
#include "settings/settings_error.h"

namespace celeryspread {

class ObjectReader;

/// Turns the JSON text of the settings tree into a checked SettingsTree.
/// @thread one thread at a time.
class TreeParser
{
public:
  /// Parses and checks a whole tree. @pre none.
  /// @error empty result; Errors() lists every fault found.
  std::optional<SettingsTree> Parse(std::string_view aText);
  /// Checks a tree that is JSON already, which spares parsing its text.
  /// @pre none. @error empty result; Errors() lists every fault found.
  std::optional<SettingsTree> Read(const nlohmann::json& aDocument);
  /// Returns the faults of the last Parse(). @pre none.
  [[nodiscard]] const std::vector<SettingsError>& Errors() const
  {
    return m_errors;
  }

private:
  void ReadSchemes(ObjectReader& aRoot);
  void ReadRegions(ObjectReader& aRoot);
  void ReadModels(ObjectReader& aRoot);
  void ReadServices(ObjectReader& aRoot);
  void ReadPlainServices(ObjectReader& aRoot);
  void ReadUpstreams(ObjectReader& aRoot);
  void ReadOperators(ObjectReader& aRoot);
  SettingValues ReadSettings(ObjectReader& aOwner, const std::string& aPath);
  SchemeNames ReadNames(ObjectReader& aOwner, const std::string& aPath);
  std::map<VersionId, VersionDeclaration> ReadVersions(ObjectReader& aOwner);
  AdapterDeclaration ReadAdapter(const nlohmann::json& aValue,
                                 const std::string& aPath);
  ModelDeclaration ReadModel(const nlohmann::json& aValue,
                             const std::string& aPath);
  void CheckDefaultVersion(
    const VersionId& aDefault,
    const std::map<VersionId, VersionDeclaration>& aVersions,
    const std::string& aPath);
  void CheckReferences();
  bool IsIdentifier(const std::string& aName, const std::string& aPath);

  SettingsTree m_tree;
  std::vector<SettingsError> m_errors;
};

} // namespace celeryspread
