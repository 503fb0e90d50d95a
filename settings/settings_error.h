#pragma once

#include <string>

namespace celeryspread {

/// Why a settings text was refused.
struct SettingsError
{
  std::string m_path;
  std::string m_value;
  std::string m_expected;

  /// Returns one line for people. @pre none. @thread any.
  [[nodiscard]] std::string Text() const
  {
    return m_path + ": got " + m_value + ", expected " + m_expected;
  }
};

} // namespace celeryspread
