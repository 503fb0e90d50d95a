#include "admission/run_times.h"

#include <algorithm>

namespace celeryspread {

void RunTimes::Add(const std::string& aModel, Duration aTime)
{
  constexpr size_t kQuantileDivisor = 4;
  Samples& samples = m_models[aModel];
  samples.m_times[samples.m_count % kSamples] = aTime;
  ++samples.m_count;
  if (samples.m_count < kSamples) {
    return;
  }
  auto sorted = samples.m_times;
  const auto quantile = sorted.begin() + kSamples / kQuantileDivisor;
  std::nth_element(sorted.begin(), quantile, sorted.end());
  samples.m_expected = *quantile;
}

Duration RunTimes::Expected(const std::string& aModel) const
{
  const auto found = m_models.find(aModel);
  return found == m_models.end() ? Duration::zero() : found->second.m_expected;
}

} // namespace celeryspread
