#include "routing/size_predictor.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr uint64_t kUnknownTokens = 256;
constexpr double kWeight = 0.05;

/// Moves a smoothed value towards a new one; the first is taken as it is.
void Smooth(double& aSmoothed, double aValue)
{
  aSmoothed =
    aSmoothed == 0 ? aValue : aSmoothed * (1 - kWeight) + aValue * kWeight;
}

} // namespace

uint64_t SizePredictor::Predict(const SizeQuery& aQuery) const
{
  const auto found = m_history.find({ aQuery.m_service, aQuery.m_target });
  if (found == m_history.end()) {
    return std::min(kUnknownTokens,
                    aQuery.m_maxTokens.value_or(kUnknownTokens));
  }
  const History& history = found->second;
  if (!aQuery.m_maxTokens || history.m_shareOfLimit == 0) {
    return static_cast<uint64_t>(history.m_tokens) + 1;
  }
  // Callers that always set the same limit get their usual length this way,
  // and those that set it by need get what this call needs.
  const double expected =
    static_cast<double>(*aQuery.m_maxTokens) * history.m_shareOfLimit;
  return std::min(*aQuery.m_maxTokens, static_cast<uint64_t>(expected) + 1);
}

void SizePredictor::Learn(const SizeQuery& aQuery, uint64_t aTokens)
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
