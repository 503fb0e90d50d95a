#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "settings/settings_error.h"

namespace celeryspread {

/// Reads the fields of one JSON object and can reject the ones that no call
/// read. Errors are collected with their path, so that one run reports them
/// all.
/// @thread one thread at a time.
class ObjectReader
{
public:
  /// Reads aObject, whose path in the document is aPath, and adds errors to
  /// aErrors. @pre aObject and aErrors outlive the reader.
  ObjectReader(const nlohmann::json& aObject,
               std::string aPath,
               std::vector<SettingsError>& aErrors);

  /// Returns whether a field is present. @pre none.
  [[nodiscard]] bool Has(std::string_view aKey) const;
  /// Reads an optional string. @pre none.
  /// @return aDefault when absent or of another type.
  std::string String(std::string_view aKey, std::string aDefault = "");
  /// Reads a string that must be present and not empty. @pre none.
  /// @error empty.
  std::string RequiredString(std::string_view aKey);
  /// Reads an integer. @pre aMinimum <= aMaximum.
  /// @return aDefault when absent, of another type or out of range.
  int64_t Integer(std::string_view aKey,
                  int64_t aMinimum,
                  int64_t aMaximum,
                  int64_t aDefault);
  /// Reads a number with or without a fraction. @pre aMinimum <= aMaximum.
  /// @return aDefault when absent, of another type or out of range.
  double Number(std::string_view aKey,
                double aMinimum,
                double aMaximum,
                double aDefault);
  /// Reads a boolean. @pre none.
  /// @return aDefault when absent or of another type.
  bool Boolean(std::string_view aKey, bool aDefault);
  /// Reads a string that must be one of aChoices. @pre aChoices is not empty.
  /// @return index into aChoices; aDefault when absent or none of them.
  size_t Choice(std::string_view aKey,
                const std::vector<std::string_view>& aChoices,
                size_t aDefault);
  /// Reads a list of strings. @pre none.
  /// @error empty when absent or of another type.
  std::vector<std::string> StringList(std::string_view aKey);
  /// Calls aVisit with the name, value and path of each field of the nested
  /// object aKey. @pre none.
  void ForEachField(
    std::string_view aKey,
    const std::function<void(const std::string& aName,
                             const nlohmann::json& aValue,
                             const std::string& aPath)>& aVisit);
  /// Adds an error for every field that no call read. @pre all reads are done.
  void RejectUnknownFields();

private:
  /// Marks a field as known and returns it, or null when absent.
  const nlohmann::json* FindField(std::string_view aKey);
  void AddError(std::string_view aKey,
                const nlohmann::json& aValue,
                std::string aExpected);

  const nlohmann::json& m_object;
  std::string m_path;
  std::vector<SettingsError>& m_errors;
  std::vector<std::string_view> m_knownKeys;
  bool m_isObject;
};

} // namespace celeryspread
