#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"

namespace celeryspread {

/// Estimates for each model how long engines take to read a prompt (prefill).
///
/// Some models read prompts several times slower than others, so that a
/// fraction of the usual calls fills an engine. On an engine of the same
/// failure domain with few calls, almost all of the time to the first event is
/// prefill. A low quantile of these times leaves out the time spent waiting.
/// @thread loop thread only.
class PrefillEstimator
{
public:
  /// Used until there are enough samples. @unit microseconds per token.
  static constexpr double kDefaultMicros = 35.0;

  /// Adds the time to the first event of a call that did not wait for a slot.
  /// @pre none; short prompts are ignored.
  void AddSample(const std::string& aModel,
                 uint32_t aPromptTokens,
                 Duration aTimeToFirstEvent);
  /// Returns the time that an engine without other prompts needs to read one.
  /// While engines are overloaded, Estimate() includes the time that prompts
  /// wait for each other; this does not, so it measures the work that a call
  /// brings. @pre none.
  [[nodiscard]] Duration BaseEstimate(const std::string& aModel,
                                      uint32_t aPromptTokens) const;
  /// Returns the expected time to read a prompt. @pre none.
  [[nodiscard]] Duration Estimate(const std::string& aModel,
                                  uint32_t aPromptTokens) const;

private:
  static constexpr size_t kSamples = 16;
  struct Samples
  {
    /// The last samples, as a ring buffer. @unit microseconds per token.
    std::array<double, kSamples> m_micros{};
    size_t m_count = 0;
    double m_estimate = kDefaultMicros;
    /// Least estimate so far.
    double m_leastEstimate = 0;
  };

  std::map<std::string, Samples> m_models;
  /// Least estimate so far of any model; 0 before the first.
  double m_leastEstimate = 0;
};

} // namespace celeryspread
