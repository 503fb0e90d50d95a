#include "admission/engine_rates.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Unused requests that may be made up for later, as the time in which the rate
/// allows them; at least one request.
constexpr double kBurstSeconds = 1;
constexpr double kMicrosPerSecond = 1e6;

} // namespace

EngineRates::Grant EngineRates::TryTake(const UpstreamId& aEngine,
                                        double aRequestsPerSecond,
                                        TimePoint aNow)
{
  const auto [found, isNew] = m_buckets.try_emplace(aEngine);
  Bucket& bucket = found->second;
  if (!isNew) {
    const double seconds =
      static_cast<double>((aNow - bucket.m_updatedAt).count()) /
      kMicrosPerSecond;
    const double capacity = std::max(1.0, kBurstSeconds * aRequestsPerSecond);
    bucket.m_tokens =
      std::min(capacity, bucket.m_tokens + seconds * aRequestsPerSecond);
  }
  bucket.m_updatedAt = aNow;
  if (bucket.m_tokens >= 1) {
    bucket.m_tokens -= 1;
    return { true, Duration::zero() };
  }
  const double missingSeconds = (1 - bucket.m_tokens) / aRequestsPerSecond;
  return { false,
           Duration(static_cast<int64_t>(missingSeconds * kMicrosPerSecond)) };
}

} // namespace celeryspread
