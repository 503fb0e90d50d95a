#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// What a control instance knows about one entry instance.
struct KnownInstance
{
  FailureDomainId m_failureDomain;
  /// Settings revision that the instance had when it sent the fetch.
  Revision m_revision;
  TimePoint m_seenAt;
};

/// Entry instances that fetch settings from this control instance or, on the
/// leader, were reported by another one.
/// @thread loop thread only.
class InstanceRegistry
{
public:
  /// Records the latest fetch or report of an instance. @pre none.
  void Record(const InstanceId& aId, KnownInstance aKnown)
  {
    m_known[aId] = std::move(aKnown);
  }
  /// Returns every instance seen since aOldest. @pre none.
  [[nodiscard]] std::map<InstanceId, KnownInstance> SeenSince(
    TimePoint aOldest) const
  {
    std::map<InstanceId, KnownInstance> seen = m_known;
    std::erase_if(seen, [&](const auto& aEntry) {
      return aEntry.second.m_seenAt < aOldest;
    });
    return seen;
  }

private:
  std::map<InstanceId, KnownInstance> m_known;
};

} // namespace celeryspread
