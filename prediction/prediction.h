#pragma once

#include <cmath>
#include <optional>

#include "prediction/decayed_mean.h"

namespace celeryspread {

/// What is expected of one more call on an engine.
struct Prediction
{
  /// Time to the first event; empty while there are too few samples.
  std::optional<Duration> m_firstEvent;
  /// Time between events; empty while there are too few samples.
  std::optional<Duration> m_pause;
  /// Time to the last event.
  Duration m_lastEvent{};
  /// Probability that the attempt is refused or fails.
  double m_refusal = 0;
};

/// Mean errors of predictions, as compared with what happened.
/// @thread loop thread only.
class PredictionErrors
{
public:
  /// Records an observed time and what was predicted for it. The error is
  /// relative to the observed time. @pre aObserved > 0.
  static void Add(DecayedMean& aMean,
                  Duration aPredicted,
                  Duration aObserved,
                  TimePoint aNow)
  {
    const auto observed = static_cast<double>(aObserved.count());
    const auto predicted = static_cast<double>(aPredicted.count());
    aMean.Add(std::abs(predicted - observed) / observed, 1, aNow);
  }
  /// Returns the mean error, empty before there is one. @pre none.
  [[nodiscard]] static std::optional<double> Value(const DecayedMean& aMean,
                                                   TimePoint aNow)
  {
    return aMean.Weight(aNow) > kMinWeight
             ? std::optional<double>(aMean.SampleMean())
             : std::nullopt;
  }

  DecayedMean m_firstEvent{ kTime };
  DecayedMean m_pause{ kTime };
  DecayedMean m_lastEvent{ kTime };
  /// Of the probability of a refusal or failure, with 1 or 0 as what happened.
  DecayedMean m_refusal{ kTime };

private:
  static constexpr Duration kTime = std::chrono::seconds(60);
  /// Samples that have faded to less say nothing of the present.
  static constexpr double kMinWeight = 0.5;
};

} // namespace celeryspread
