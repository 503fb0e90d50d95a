#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "settings/setting_spec.h"

namespace celeryspread {

/// The settings that one level of the tree sets; it inherits all others.
/// @thread one thread at a time; const access is safe to share.
class SettingValues
{
public:
  /// Sets a value. @pre aValue lies within the limits of aKey.
  void Set(SettingKey aKey, int64_t aValue)
  {
    m_values[static_cast<size_t>(aKey)] = aValue;
  }
  /// Returns the value set at this level. @pre aKey is not Count.
  /// @error empty when this level inherits the setting.
  [[nodiscard]] std::optional<int64_t> Get(SettingKey aKey) const
  {
    return m_values[static_cast<size_t>(aKey)];
  }

private:
  std::array<std::optional<int64_t>, kSettingCount> m_values{};
};

} // namespace celeryspread
