#pragma once

#include <string>

namespace celeryspread {

/// One error in a settings document: where it is, what was found there and what
/// was expected.
struct SettingsError
{
  std::string m_path;
  std::string m_value;
  std::string m_expected;

  /// Returns the error as one human-readable line. @pre none. @thread any.
  [[nodiscard]] std::string Text() const
  {
    return m_path + ": got " + m_value + ", expected " + m_expected;
  }
};

} // namespace celeryspread
