#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"

namespace celeryspread {

/// Learns how long engines take to read a prompt token, for each model.
///
/// Pattern answered: models whose prompts are read several times slower than
/// those of others fill an engine at a fraction of the calls. The time to the
/// first event at an engine of the own failure domain with a short queue is
/// almost all reading; a low quantile of it leaves waiting out.
/// @thread loop thread only.
class PromptCost
{
public:
  /// Assumed before anything is learned. @unit microseconds a token.
  static constexpr double kDefaultMicros = 35.0;

  /// Notes the time to the first event of a call that waited for no slot.
  /// @pre none; short prompts say little and are ignored.
  void Learn(const std::string& aModel,
             uint32_t aPromptTokens,
             Duration aFirstEvent);
  /// Returns the expected reading time of a prompt. @pre none.
  [[nodiscard]] Duration Of(const std::string& aModel,
                            uint32_t aPromptTokens) const;

private:
  static constexpr size_t kSamples = 16;
  struct Samples
  {
    std::array<double, kSamples> m_micros{};
    size_t m_count = 0;
    double m_typical = kDefaultMicros;
  };

  std::map<std::string, Samples> m_models;
};

} // namespace celeryspread
