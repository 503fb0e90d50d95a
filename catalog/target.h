#pragma once

#include <string>

#include "core/ids.h"

namespace celeryspread {

/// What a name reaches: a model, or an adapter on it, at a version.
struct Target
{
  ModelId m_model;
  AdapterId m_adapter;
  VersionId m_version;

  /// Orders by fields. @pre none. @thread any.
  auto operator<=>(const Target&) const = default;

  /// Returns the name by which engines know the target.
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
