#include "gateway/prompt_cost.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Shorter prompts are read within a step, whose own time hides theirs.
constexpr uint32_t kMinTokens = 200;
/// Rank of the sample taken among the last ones: low, because waiting only
/// ever adds to the time.
constexpr size_t kQuantileDivisor = 3;
constexpr size_t kMinSamples = 4;
/// Bounds against readings that make no sense. @unit microseconds a token.
constexpr double kMinMicros = 5.0;
constexpr double kMaxMicros = 500.0;

} // namespace

void PromptCost::Learn(const std::string& aModel,
                       uint32_t aPromptTokens,
                       Duration aFirstEvent)
{
  if (aPromptTokens < kMinTokens) {
    return;
  }
  Samples& samples = m_models[aModel];
  samples.m_micros[samples.m_count % kSamples] =
    static_cast<double>(aFirstEvent.count()) / aPromptTokens;
  ++samples.m_count;
  const size_t held = std::min(samples.m_count, kSamples);
  if (held < kMinSamples) {
    return;
  }
  auto sorted = samples.m_micros;
  std::sort(sorted.begin(), sorted.begin() + static_cast<int>(held));
  samples.m_typical =
    std::clamp(sorted[held / kQuantileDivisor], kMinMicros, kMaxMicros);
}

Duration PromptCost::Of(const std::string& aModel, uint32_t aPromptTokens) const
{
  const auto found = m_models.find(aModel);
  const double micros =
    found == m_models.end() ? kDefaultMicros : found->second.m_typical;
  return Duration(static_cast<int64_t>(micros * aPromptTokens));
}

} // namespace celeryspread
