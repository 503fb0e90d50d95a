#pragma once

#include <map>
#include <string>

#include "core/clock.h"

namespace celeryspread {

/// Remembers which control instances have failed an entry a moment ago. A
/// failure of one says nothing about the others: an entry that took it for
/// theirs would stay with a distant instance although the one nearby is sound.
/// @thread loop thread only.
class InstanceAvoidance
{
public:
  /// An instance is not chosen for this long after it has failed.
  static constexpr Duration kAvoidTime = std::chrono::seconds(3);

  /// Records that an instance did not answer, or can't bring the entry up to
  /// date. @pre none.
  void RecordFailure(const std::string& aAddress, TimePoint aNow);
  /// Records that an instance has accepted a new connection, so that it runs
  /// and is in reach. @pre none.
  void RecordConnected(const std::string& aAddress);
  /// Returns whether another instance is to be chosen. @pre none.
  [[nodiscard]] bool IsAvoided(const std::string& aAddress,
                               TimePoint aNow) const;

private:
  std::map<std::string, TimePoint> m_avoidedUntil;
};

} // namespace celeryspread
