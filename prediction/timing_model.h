#pragma once

#include <map>
#include <optional>
#include <string>

#include "prediction/engine_history.h"
#include "prediction/linear_fit.h"

namespace celeryspread {

/// Predicts response times of the engines of one pool.
///
/// The time between events is a line over the load per slot, the time to read a
/// prompt a line over its tokens for each model. Both are learned from all
/// engines; what differs on one of them is kept in its EngineHistory.
/// @thread loop thread only.
class TimingModel
{
public:
  /// Prompt of a call.
  struct Prompt
  {
    std::string m_model;
    uint32_t m_tokens = 0;
  };

  /// Predicts the time to the first event of a call that does not wait, on an
  /// engine at the pool's mean. @pre none. @error empty before there are
  /// samples.
  [[nodiscard]] std::optional<Duration> FirstEvent(const Prompt& aPrompt) const;
  /// Predicts the time between events. @pre none. @error as FirstEvent().
  [[nodiscard]] std::optional<Duration> Pause(double aLoadPerSlot) const;
  /// Predicts how much longer work takes on an engine than on the pool's mean.
  /// A difference within its own error counts as none. @pre none.
  [[nodiscard]] double Slowdown(const EngineHistory& aEngine,
                                TimePoint aNow) const;

  /// Records the time to the first event of a call that did not wait. @pre
  /// none.
  void AddFirstEvent(const Prompt& aPrompt, Duration aTime, TimePoint aNow);
  /// Records a time between events. @pre none.
  void AddPause(double aLoadPerSlot, Duration aTime, TimePoint aNow);

  /// Kinds of predictions.
  enum class Kind
  {
    FirstEvent,
    Pause
  };
  /// Compares an observed time on an engine with what the pool's mean was
  /// predicted to take. @pre both times are positive.
  void Compare(EngineHistory& aEngine,
               Kind aKind,
               Duration aPredicted,
               Duration aObserved,
               TimePoint aNow);

private:
  /// Models of prompts that are kept; others share a line.
  static constexpr size_t kMaxModels = 1'000;
  /// The lines change as the mix of models and prompts does.
  static constexpr Duration kFitTime = std::chrono::seconds(30);

  std::map<std::string, LinearFit, std::less<>> m_firstEvents;
  LinearFit m_anyFirstEvent{ kFitTime };
  LinearFit m_pauses{ kFitTime };
  /// Mean of the logarithms of all engines. Times scatter to one side, so that
  /// it is not zero.
  DecayedMean m_meanSlowness{ std::chrono::seconds(10) };
};

} // namespace celeryspread
