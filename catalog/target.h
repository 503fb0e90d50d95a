#pragma once

#include <string>

#include "core/ids.h"

namespace celeryspread {

/// What a name refers to: a model or one of its adapters, with a version if
/// versions are declared.
struct Target
{
  ModelId m_model;
  /// Empty for the model itself.
  AdapterId m_adapter;
  VersionId m_version;

  /// Compares field by field. @pre none. @thread any.
  auto operator<=>(const Target&) const = default;

  /// Returns the target's name on engines, "model[:adapter][@version]".
  /// @pre none. @thread any.
  [[nodiscard]] std::string EngineName() const
  {
    std::string name = m_model.Value();
    if (!m_adapter.IsEmpty()) {
      name += ":" + m_adapter.Value();
    }
    if (!m_version.IsEmpty()) {
      name += "@" + m_version.Value();
    }
    return name;
  }
};

} // namespace celeryspread
