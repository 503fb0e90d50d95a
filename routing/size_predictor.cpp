#include "routing/size_predictor.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Predicted for a service and target without earlier answers.
constexpr uint64_t kDefaultTokens = 256;
/// Weight of the newest value in an exponentially weighted moving average.
constexpr double kSmoothingWeight = 0.05;

/// Updates a moving average; the first value replaces the initial zero.
void Smooth(double& aSmoothed, double aValue)
{
  aSmoothed = aSmoothed == 0 ? aValue
                             : aSmoothed * (1 - kSmoothingWeight) +
                                 aValue * kSmoothingWeight;
}

} // namespace

uint64_t SizePredictor::Predict(const SizeQuery& aQuery) const
{
  const auto found = m_history.find({ aQuery.m_service, aQuery.m_target });
  if (found == m_history.end()) {
    return std::min(kDefaultTokens,
                    aQuery.m_maxTokens.value_or(kDefaultTokens));
  }
  const History& history = found->second;
  if (!aQuery.m_maxTokens || history.m_shareOfLimit == 0) {
    return static_cast<uint64_t>(history.m_tokens) + 1;
  }
  // A share of the limit fits both kinds of callers: with a constant limit it
  // gives their average length, and with a limit set per call it scales with
  // that limit.
  const double expected =
    static_cast<double>(*aQuery.m_maxTokens) * history.m_shareOfLimit;
  return std::min(*aQuery.m_maxTokens, static_cast<uint64_t>(expected) + 1);
}

void SizePredictor::RecordAnswer(const SizeQuery& aQuery, uint64_t aTokens)
{
  const auto tokens = static_cast<double>(aTokens);
  History& history = m_history[{ aQuery.m_service, aQuery.m_target }];
  Smooth(history.m_tokens, tokens);
  if (aQuery.m_maxTokens && *aQuery.m_maxTokens > 0) {
    Smooth(history.m_shareOfLimit,
           tokens / static_cast<double>(*aQuery.m_maxTokens));
  }
}

} // namespace celeryspread
