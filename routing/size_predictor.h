#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/ids.h"

namespace celeryspread {

/// What is known about the size of an answer before the call runs.
struct SizeQuery
{
  ServiceId m_service;
  std::string m_target;
  /// Token limit that the caller set on the answer; empty for none.
  std::optional<uint64_t> m_maxTokens;
};

/// Predicts the number of tokens of an answer from the caller's limit and from
/// earlier answers of the same target to the same calling service.
/// @thread loop thread only.
class SizePredictor
{
public:
  /// Predicts the length of an answer. @pre none. @unit tokens.
  [[nodiscard]] uint64_t Predict(const SizeQuery& aQuery) const;
  /// Records the length of a finished answer. @pre none. @unit tokens.
  void RecordAnswer(const SizeQuery& aQuery, uint64_t aTokens);

private:
  struct Key
  {
    ServiceId m_service;
    std::string m_target;
    auto operator<=>(const Key&) const = default;
  };
  struct History
  {
    /// Moving average of the tokens of an answer.
    double m_tokens = 0;
    /// Moving average of those tokens as a share of the caller's limit.
    double m_shareOfLimit = 0;
  };

  std::map<Key, History> m_history;
};

} // namespace celeryspread
