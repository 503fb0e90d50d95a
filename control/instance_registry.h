#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// What a control instance knows of one entry instance.
struct KnownInstance
{
  FailureDomainId m_failureDomain;
  Revision m_revision;
  TimePoint m_seenAt;
};

/// Entry instances that ask this control instance for settings.
/// @thread loop thread only.
class InstanceRegistry
{
public:
  /// Notes what an instance runs. @pre none.
  void Note(const InstanceId& aId, KnownInstance aKnown)
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
