#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Predicted times of a call on the engine that was chosen for it, from now on.
struct CallPrediction
{
  /// Wait until the engine starts to read the prompt.
  Duration m_queueWait{};
  Duration m_firstEvent{};
  Duration m_lastEvent{};
};

/// What the admission of one call under overload depends on.
struct OverloadCall
{
  RouteId m_route;
  /// Empty without teams.
  TeamId m_team;
  std::string m_model;
  std::string m_adapter;
  /// Tokens of the prompt and, if it is stated, of the answer.
  uint64_t m_tokens = 1;
  /// 0 is the most urgent.
  uint32_t m_priority = 0;
  /// A stream meets its objective by its first event, other calls by their
  /// last.
  bool m_isStream = false;
  /// Zero for none.
  Duration m_objective{};
  /// Time since the caller first sent the call.
  Duration m_age{};
  Duration m_timeLeft{};
  /// How long the caller of a stream waits for the first event.
  Duration m_patience{};
  CallPrediction m_prediction;

  /// Returns the longest predicted wait with which a new call of this kind is
  /// taken to meet its objective; negative if none is short enough. A fifth of
  /// the objective is left for errors of the prediction, as calls end in
  /// batches. @pre none. @thread any.
  [[nodiscard]] Duration QueueSlack() const
  {
    constexpr int64_t kUsedPercent = 80;
    constexpr int64_t kPercentBase = 100;
    const Duration end =
      m_isStream ? m_prediction.m_firstEvent : m_prediction.m_lastEvent;
    return m_objective * kUsedPercent / kPercentBase -
           (end - m_prediction.m_queueWait);
  }
  /// Returns whether the call is predicted to meet its objective.
  /// @pre none. @thread any.
  [[nodiscard]] bool IsOnTime() const
  {
    return m_age + m_prediction.m_queueWait <= QueueSlack();
  }
};

} // namespace celeryspread
