#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace celeryspread {

/// A JSON object of which one field is a list whose elements were read one by
/// one.
struct JsonArrayText
{
  /// The elements that are objects within the limits.
  std::vector<nlohmann::json> m_elements;
  /// Places at which no element could be read.
  size_t m_unreadable = 0;
  /// The object, with an empty list in place of the elements.
  nlohmann::json m_rest;
};

/// Reads a JSON object whose field aKey is a list of objects that come from
/// several writers. An element that can't be read is left out, whatever bytes
/// it holds: reading goes on at the next place where an object begins.
/// @pre none. @thread any.
/// @error empty if the object around the list can't be read, as when the text
/// was cut short, or if too many places are unreadable.
std::optional<JsonArrayText> ReadJsonArrayText(std::string_view aText,
                                               std::string_view aKey);

} // namespace celeryspread
