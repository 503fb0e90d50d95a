#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/ids.h"

namespace celeryspread {

/// What is known of a call's size before it runs.
struct SizeQuery
{
  ServiceId m_service;
  std::string m_target;
  /// Limit that the caller set on the answer; empty for none.
  std::optional<uint64_t> m_maxTokens;
};

/// Predicts how many tokens an answer has, from the caller's limit and from
/// earlier answers to the same calling service.
/// @thread loop thread only.
class SizePredictor
{
public:
  /// Predicts tokens. @pre none. @unit tokens.
  [[nodiscard]] uint64_t Predict(const SizeQuery& aQuery) const;
  /// Learns from a finished answer. @pre none. @unit tokens.
  void Learn(const SizeQuery& aQuery, uint64_t aTokens);

private:
  struct Key
  {
    ServiceId m_service;
    std::string m_target;
    auto operator<=>(const Key&) const = default;
  };
  struct History
  {
    /// Smoothed tokens of an answer, and their share of the caller's limit.
    double m_tokens = 0;
    double m_shareOfLimit = 0;
  };

  std::map<Key, History> m_history;
};

} // namespace celeryspread
