#pragma once

#include <map>
#include <set>
#include <string>

#include "core/ids.h"
#include "core/upstream_address.h"

namespace celeryspread {

/// What a call needs loaded: a model or, unless m_adapter is empty, one of its
/// adapters.
struct ModelTarget
{
  std::string m_model;
  std::string m_adapter;

  /// Compares all fields in order. @pre none. @thread any.
  auto operator<=>(const ModelTarget&) const = default;
};

/// A model copy on an engine, with the adapters loaded for it.
struct LoadedModel
{
  uint64_t m_version = 0;
  std::set<std::string> m_adapters;

  /// Compares all fields. @pre none. @thread any.
  bool operator==(const LoadedModel&) const = default;
};

/// State of one upstream of a pool, for one run of its process.
struct EngineRecord
{
  UpstreamId m_id;
  PoolId m_pool;
  UpstreamAddress m_address;
  FailureDomainId m_domain;
  uint32_t m_slots = 1;
  bool m_isLeaving = false;
  /// Requests a second that it takes from all entries together; 0 for no limit.
  double m_rateLimit = 0;
  /// Version of the engine's software, empty if the platform names none. A
  /// stream goes on only at the version that began it.
  SoftwareVersion m_software;
  /// Wall-clock time of the process start, by which a restart under the same
  /// id is recognised. @unit milliseconds since the Unix epoch; 0 if unknown.
  int64_t m_startedAt = 0;
  std::map<std::string, LoadedModel, std::less<>> m_models;
  /// Models whose cached weights the engine has in memory or on disk; loading
  /// one of them does not use the weight store.
  std::set<std::string> m_cachedWeights;

  /// Returns whether the target is loaded. @pre none. @thread any.
  [[nodiscard]] bool Holds(const ModelTarget& aTarget) const
  {
    const auto model = m_models.find(aTarget.m_model);
    return model != m_models.end() &&
           (aTarget.m_adapter.empty() ||
            model->second.m_adapters.contains(aTarget.m_adapter));
  }
  /// Compares all fields. @pre none. @thread any.
  bool operator==(const EngineRecord&) const = default;
  /// Returns whether entries would treat both records alike: they don't use the
  /// time of the start and the cached weights. @pre none. @thread any.
  [[nodiscard]] bool IsSameForEntries(const EngineRecord& aOther) const
  {
    return m_id == aOther.m_id && m_pool == aOther.m_pool &&
           m_address == aOther.m_address && m_domain == aOther.m_domain &&
           m_slots == aOther.m_slots && m_isLeaving == aOther.m_isLeaving &&
           m_rateLimit == aOther.m_rateLimit &&
           m_software == aOther.m_software && m_models == aOther.m_models;
  }
};

} // namespace celeryspread
