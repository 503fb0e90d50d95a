#include "settings/object_reader.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/json_text.h"

namespace celeryspread {

namespace {

constexpr size_t kMaxValueChars = 80;

/// Returns a value as JSON, shortened for an error message.
std::string DescribeValue(const nlohmann::json& aValue)
{
  std::string text = FormatJson(aValue);
  if (text.size() > kMaxValueChars) {
    text.resize(kMaxValueChars);
    text += "...";
  }
  return text;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json& aObject,
                           std::string aPath,
                           std::vector<SettingsError>& aErrors)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_errors(aErrors)
  , m_isObject(aObject.is_object())
{
  if (!m_isObject) {
    m_errors.push_back(
      { m_path.empty() ? "/" : m_path, DescribeValue(aObject), "an object" });
  }
}

const nlohmann::json* ObjectReader::FindField(std::string_view aKey)
{
  m_knownKeys.push_back(aKey);
  if (!m_isObject) {
    return nullptr;
  }
  const auto found = m_object.find(aKey);
  return found == m_object.end() ? nullptr : &*found;
}

void ObjectReader::AddError(std::string_view aKey,
                            const nlohmann::json& aValue,
                            std::string aExpected)
{
  m_errors.push_back({ m_path + "/" + std::string(aKey),
                       DescribeValue(aValue),
                       std::move(aExpected) });
}

bool ObjectReader::Has(std::string_view aKey) const
{
  return m_isObject && m_object.find(aKey) != m_object.end();
}

std::string ObjectReader::String(std::string_view aKey, std::string aDefault)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_string()) {
    AddError(aKey, *value, "a text");
    return aDefault;
  }
  return value->get<std::string>();
}

std::string ObjectReader::RequiredString(std::string_view aKey)
{
  std::string text = String(aKey);
  if (text.empty() && m_isObject) {
    const auto found = m_object.find(std::string(aKey));
    if (found == m_object.end()) {
      AddError(aKey, nullptr, "a text (the field is required)");
    } else if (found->is_string()) {
      AddError(aKey, *found, "a text that is not empty");
    }
  }
  return text;
}

int64_t ObjectReader::Integer(std::string_view aKey,
                              int64_t aMinimum,
                              int64_t aMaximum,
                              int64_t aDefault)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const std::string expected = "an integer from " + std::to_string(aMinimum) +
                               " to " + std::to_string(aMaximum);
  const bool isValid =
    value->is_number_integer() &&
    !(value->is_number_unsigned() &&
      value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
    value->get<int64_t>() >= aMinimum && value->get<int64_t>() <= aMaximum;
  if (!isValid) {
    AddError(aKey, *value, expected);
    return aDefault;
  }
  return value->get<int64_t>();
}

double ObjectReader::Number(std::string_view aKey,
                            double aMinimum,
                            double aMaximum,
                            double aDefault)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const bool isValid = value->is_number() && value->get<double>() >= aMinimum &&
                       value->get<double>() <= aMaximum;
  if (!isValid) {
    AddError(aKey,
             *value,
             "a number from " + FormatJson(aMinimum) + " to " +
               FormatJson(aMaximum));
    return aDefault;
  }
  return value->get<double>();
}

bool ObjectReader::Boolean(std::string_view aKey, bool aDefault)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    AddError(aKey, *value, "true or false");
    return aDefault;
  }
  return value->get<bool>();
}

size_t ObjectReader::Choice(std::string_view aKey,
                            const std::vector<std::string_view>& aChoices,
                            size_t aDefault)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  std::string expected = "one of";
  for (size_t i = 0; i < aChoices.size(); ++i) {
    if (value->is_string() && value->get<std::string>() == aChoices[i]) {
      return i;
    }
    expected += " \"" + std::string(aChoices[i]) + "\"";
  }
  AddError(aKey, *value, expected);
  return aDefault;
}

std::vector<std::string> ObjectReader::StringList(std::string_view aKey)
{
  std::vector<std::string> texts;
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return texts;
  }
  const bool isValid =
    value->is_array() &&
    std::all_of(value->begin(), value->end(), [](const nlohmann::json& aItem) {
      return aItem.is_string();
    });
  if (!isValid) {
    AddError(aKey, *value, "a list of texts");
    return texts;
  }
  for (const nlohmann::json& item : *value) {
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void ObjectReader::ForEachField(
  std::string_view aKey,
  const std::function<void(const std::string& aName,
                           const nlohmann::json& aValue,
                           const std::string& aPath)>& aVisit)
{
  const nlohmann::json* value = FindField(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    AddError(aKey, *value, "an object");
    return;
  }
  for (const auto& [name, field] : value->items()) {
    aVisit(name, field, m_path + "/" + std::string(aKey) + "/" + name);
  }
}

void ObjectReader::RejectUnknownFields()
{
  if (!m_isObject) {
    return;
  }
  for (const auto& [name, value] : m_object.items()) {
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), name) ==
        m_knownKeys.end()) {
      AddError(name, value, "no such field (unknown fields are refused)");
    }
  }
}

} // namespace celeryspread
