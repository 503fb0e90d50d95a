#pragma once

#include <map>
#include <set>
#include <string>

#include "core/ids.h"
#include "core/upstream_address.h"

namespace celeryspread {

/// A model or one of its adapters; m_adapter is empty for the model itself.
struct ModelTarget
{
  std::string m_model;
  std::string m_adapter;

  /// Orders by fields. @pre none. @thread any.
  auto operator<=>(const ModelTarget&) const = default;
};

/// A model that an engine holds.
struct HeldModel
{
  uint64_t m_version = 0;
  std::set<std::string> m_adapters;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const HeldModel&) const = default;
};

/// What is known of one upstream of a pool, from one start to its end.
struct EngineRecord
{
  UpstreamId m_id;
  PoolId m_pool;
  UpstreamAddress m_address;
  FailureDomainId m_domain;
  uint32_t m_slots = 1;
  bool m_isLeaving = false;
  /// Wall time of its start, which tells restarts under the same id apart.
  /// @unit milliseconds since the Unix epoch; 0 when not known.
  int64_t m_startedAt = 0;
  std::map<std::string, HeldModel, std::less<>> m_models;
  /// Models whose weights it keeps in its own memory or on its disk; loading
  /// those does not touch the weight store.
  std::set<std::string> m_weightCopies;

  /// Tells whether the target is loaded. @pre none. @thread any.
  [[nodiscard]] bool Holds(const ModelTarget& aTarget) const
  {
    const auto model = m_models.find(aTarget.m_model);
    return model != m_models.end() &&
           (aTarget.m_adapter.empty() ||
            model->second.m_adapters.contains(aTarget.m_adapter));
  }
  /// Compares all fields. @pre none. @thread any.
  bool operator==(const EngineRecord&) const = default;
};

} // namespace celeryspread
