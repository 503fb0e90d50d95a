#include "settings/object_reader.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace celeryspread {

namespace {

constexpr size_t kMaxShownValueChars = 80;

std::string Shown(const nlohmann::json& aValue)
{
  std::string text =
    aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownValueChars) {
    text.resize(kMaxShownValueChars);
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
      { m_path.empty() ? "/" : m_path, Shown(aObject), "an object" });
  }
}

const nlohmann::json* ObjectReader::Take(std::string_view aKey)
{
  m_known.push_back(aKey);
  if (!m_isObject) {
    return nullptr;
  }
  const auto found = m_object.find(aKey);
  return found == m_object.end() ? nullptr : &*found;
}

void ObjectReader::Fail(std::string_view aKey,
                        const nlohmann::json& aValue,
                        std::string aExpected)
{
  m_errors.push_back(
    { m_path + "/" + std::string(aKey), Shown(aValue), std::move(aExpected) });
}

bool ObjectReader::Has(std::string_view aKey) const
{
  return m_isObject && m_object.find(aKey) != m_object.end();
}

std::string ObjectReader::Text(std::string_view aKey, std::string aMissing)
{
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return aMissing;
  }
  if (!value->is_string()) {
    Fail(aKey, *value, "a text");
    return aMissing;
  }
  return value->get<std::string>();
}

std::string ObjectReader::RequiredText(std::string_view aKey)
{
  std::string text = Text(aKey);
  if (text.empty() && m_isObject) {
    const auto found = m_object.find(std::string(aKey));
    if (found == m_object.end()) {
      Fail(aKey, nullptr, "a text (the field is required)");
    } else if (found->is_string()) {
      Fail(aKey, *found, "a text that is not empty");
    }
  }
  return text;
}

int64_t ObjectReader::Integer(std::string_view aKey,
                              int64_t aMinimum,
                              int64_t aMaximum,
                              int64_t aMissing)
{
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return aMissing;
  }
  const std::string expected = "an integer from " + std::to_string(aMinimum) +
                               " to " + std::to_string(aMaximum);
  const bool fits =
    value->is_number_integer() &&
    !(value->is_number_unsigned() &&
      value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
    value->get<int64_t>() >= aMinimum && value->get<int64_t>() <= aMaximum;
  if (!fits) {
    Fail(aKey, *value, expected);
    return aMissing;
  }
  return value->get<int64_t>();
}

bool ObjectReader::Boolean(std::string_view aKey, bool aMissing)
{
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return aMissing;
  }
  if (!value->is_boolean()) {
    Fail(aKey, *value, "true or false");
    return aMissing;
  }
  return value->get<bool>();
}

size_t ObjectReader::Word(std::string_view aKey,
                          const std::vector<std::string_view>& aWords,
                          size_t aMissing)
{
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return aMissing;
  }
  std::string expected = "one of";
  for (size_t i = 0; i < aWords.size(); ++i) {
    if (value->is_string() && value->get<std::string>() == aWords[i]) {
      return i;
    }
    expected += " \"" + std::string(aWords[i]) + "\"";
  }
  Fail(aKey, *value, expected);
  return aMissing;
}

std::vector<std::string> ObjectReader::TextList(std::string_view aKey)
{
  std::vector<std::string> texts;
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return texts;
  }
  const bool fits =
    value->is_array() &&
    std::all_of(value->begin(), value->end(), [](const nlohmann::json& aItem) {
      return aItem.is_string();
    });
  if (!fits) {
    Fail(aKey, *value, "a list of texts");
    return texts;
  }
  for (const nlohmann::json& item : *value) {
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void ObjectReader::ForEach(
  std::string_view aKey,
  const std::function<void(const std::string& aName,
                           const nlohmann::json& aValue,
                           const std::string& aPath)>& aVisit)
{
  const nlohmann::json* value = Take(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Fail(aKey, *value, "an object");
    return;
  }
  for (const auto& [name, field] : value->items()) {
    aVisit(name, field, m_path + "/" + std::string(aKey) + "/" + name);
  }
}

void ObjectReader::RefuseUnknown()
{
  if (!m_isObject) {
    return;
  }
  for (const auto& [name, value] : m_object.items()) {
    if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
      Fail(name, value, "no such field (unknown fields are refused)");
    }
  }
}

} // namespace celeryspread
