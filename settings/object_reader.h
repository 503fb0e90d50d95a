#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "settings/settings_error.h"

namespace celeryspread {

/// Reads the fields of one JSON object and refuses all it was not asked for.
/// Errors are collected with their path, so one run reports every fault.
/// @thread one thread at a time.
class ObjectReader
{
public:
  /// Starts on aObject. @pre aObject and aErrors outlive the reader.
  ObjectReader(const nlohmann::json& aObject,
               std::string aPath,
               std::vector<SettingsError>& aErrors);

  /// Tells whether a field is there. @pre none.
  [[nodiscard]] bool Has(std::string_view aKey) const;
  /// Reads an optional text. @pre none. @error aMissing when absent or wrong.
  std::string Text(std::string_view aKey, std::string aMissing = "");
  /// Reads a text that must be there and not empty. @pre none.
  std::string RequiredText(std::string_view aKey);
  /// Reads an integer. @pre aMinimum <= aMaximum. @error aMissing.
  int64_t Integer(std::string_view aKey,
                  int64_t aMinimum,
                  int64_t aMaximum,
                  int64_t aMissing);
  /// Reads a boolean. @pre none. @error aMissing when absent or wrong.
  bool Boolean(std::string_view aKey, bool aMissing);
  /// Reads one of the given words. @pre aWords is not empty.
  /// @return index into aWords, aMissing when absent or wrong.
  size_t Word(std::string_view aKey,
              const std::vector<std::string_view>& aWords,
              size_t aMissing);
  /// Reads a list of texts. @pre none.
  std::vector<std::string> TextList(std::string_view aKey);
  /// Calls aVisit for each field of a nested object. @pre none.
  void ForEach(std::string_view aKey,
               const std::function<void(const std::string& aName,
                                        const nlohmann::json& aValue,
                                        const std::string& aPath)>& aVisit);
  /// Reports every field that no call asked for. @pre all reads are done.
  void RefuseUnknown();

private:
  const nlohmann::json* Take(std::string_view aKey);
  void Fail(std::string_view aKey,
            const nlohmann::json& aValue,
            std::string aExpected);

  const nlohmann::json& m_object;
  std::string m_path;
  std::vector<SettingsError>& m_errors;
  std::vector<std::string_view> m_known;
  bool m_isObject;
};

} // namespace celeryspread
