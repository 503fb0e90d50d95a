#include "gateway/prefill_estimator.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// An engine reads a shorter prompt within one step, so that the duration of
/// the step hides the time for the prompt. @unit tokens.
constexpr uint32_t kMinPromptTokens = 200;
/// The estimate is the sample at the sample count divided by this in ascending
/// order, a low quantile, because waiting can only lengthen a sample.
constexpr size_t kQuantileDivisor = 3;
constexpr size_t kMinSamples = 4;
/// Bounds against implausible samples. @unit microseconds per token.
constexpr double kMinMicros = 5.0;
constexpr double kMaxMicros = 500.0;
/// A model is not taken to read prompts slower than the fastest one by more
/// than this factor: it may only have been called while its engines were
/// overloaded.
constexpr double kMaxSlowdown = 2.5;

} // namespace

void PrefillEstimator::AddSample(const std::string& aModel,
                                 uint32_t aPromptTokens,
                                 Duration aTimeToFirstEvent)
{
  if (aPromptTokens < kMinPromptTokens) {
    return;
  }
  Samples& samples = m_models[aModel];
  samples.m_micros[samples.m_count % kSamples] =
    static_cast<double>(aTimeToFirstEvent.count()) / aPromptTokens;
  ++samples.m_count;
  const size_t sampleCount = std::min(samples.m_count, kSamples);
  if (sampleCount < kMinSamples) {
    return;
  }
  auto sorted = samples.m_micros;
  std::sort(sorted.begin(), sorted.begin() + static_cast<int>(sampleCount));
  samples.m_estimate =
    std::clamp(sorted[sampleCount / kQuantileDivisor], kMinMicros, kMaxMicros);
  const auto lower = [&](double& aLeast) {
    aLeast =
      aLeast == 0 ? samples.m_estimate : std::min(aLeast, samples.m_estimate);
  };
  lower(samples.m_leastEstimate);
  lower(m_leastEstimate);
}

Duration PrefillEstimator::BaseEstimate(const std::string& aModel,
                                        uint32_t aPromptTokens) const
{
  const double least = m_leastEstimate == 0 ? kDefaultMicros : m_leastEstimate;
  const auto found = m_models.find(aModel);
  const bool isSampled =
    found != m_models.end() && found->second.m_leastEstimate != 0;
  const double micros =
    isSampled ? std::min(found->second.m_leastEstimate, kMaxSlowdown * least)
              : least;
  return Duration(static_cast<int64_t>(micros * aPromptTokens));
}

Duration PrefillEstimator::Estimate(const std::string& aModel,
                                    uint32_t aPromptTokens) const
{
  const auto found = m_models.find(aModel);
  const double micros =
    found == m_models.end() ? kDefaultMicros : found->second.m_estimate;
  return Duration(static_cast<int64_t>(micros * aPromptTokens));
}

} // namespace celeryspread
