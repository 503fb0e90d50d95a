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

/// Parses the JSON form of the settings tree and validates it.
/// @thread one thread at a time.
class TreeParser
{
public:
  /// Parses and validates the JSON text of a whole tree. @pre none.
  /// @error empty result; Errors() lists every error found.
  std::optional<SettingsTree> Parse(std::string_view aText);
  /// Validates a tree that is parsed as JSON already, which saves parsing its
  /// text again. @pre none.
  /// @error empty result; Errors() lists every error found.
  std::optional<SettingsTree> Read(const nlohmann::json& aDocument);
  /// Returns the errors of the last Parse() or Read(). @pre none.
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
  /// Adds an error and returns false when aName is no valid identifier.
  bool CheckIdentifier(const std::string& aName, const std::string& aPath);

  SettingsTree m_tree;
  std::vector<SettingsError> m_errors;
};

} // namespace celeryspread
