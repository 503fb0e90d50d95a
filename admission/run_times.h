#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "core/clock.h"

namespace celeryspread {

/// Learns how long calls of each model hold a slot after their first event. The
/// result is a low quantile of recent calls, because calls are refused by it:
/// a call that is shorter than others must not be refused for their length.
/// @thread loop thread only.
class RunTimes
{
public:
  /// Adds the time of one served call. @pre aModel is one that an engine
  /// served, so that the number of models is bounded.
  void Add(const std::string& aModel, Duration aTime);
  /// Returns the time that a call needs at least; zero while few calls are
  /// known. @pre none.
  [[nodiscard]] Duration Expected(const std::string& aModel) const;

private:
  static constexpr size_t kSamples = 16;
  struct Samples
  {
    /// The last samples, as a ring buffer.
    std::array<Duration, kSamples> m_times{};
    size_t m_count = 0;
    Duration m_expected{};
  };

  std::map<std::string, Samples> m_models;
};

} // namespace celeryspread
