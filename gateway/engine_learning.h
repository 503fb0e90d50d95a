#pragma once

#include <map>

#include "gateway/engine_table.h"
#include "prediction/pool_model.h"
#include "prediction/prediction.h"
#include "prediction/timing_model.h"

namespace celeryspread {

/// Feeds the models of the pools with what this entry observes, and answers
/// what they predict for the engines of an EngineTable.
/// @thread loop thread only.
class EngineLearning
{
public:
  /// What was predicted for an attempt at its start.
  struct Started
  {
    TimePoint m_at;
    TimingModel::Prompt m_prompt;
    /// Expected wait until the engine reads the prompt.
    Duration m_wait{};
    /// Time to the first event on an engine at the pool's mean; empty if it
    /// can't be predicted yet.
    std::optional<Duration> m_firstEvent;
    /// What is expected on the engine of the attempt.
    Prediction m_prediction;
  };
  /// Models of one pool.
  struct PoolModels
  {
    PoolModel m_load;
    TimingModel m_timing;
  };

  /// Creates models without observations. @pre aTable outlives them.
  explicit EngineLearning(EngineTable& aTable);

  /// Records the load that an answer reported. @pre the table has recorded it;
  /// unknown ids are ignored, as in the other Record methods.
  void RecordReport(const UpstreamId& aId, TimePoint aNow);
  /// Records the start of an attempt that is expected to wait for aWait, and
  /// returns what is predicted for it. @pre the table has not recorded it yet.
  Started RecordStart(const UpstreamId& aId,
                      TimingModel::Prompt aPrompt,
                      Duration aWait,
                      TimePoint aNow);
  /// Records that the stream of an attempt began. @pre aStarted is that of the
  /// attempt.
  void RecordFirstEvent(const UpstreamId& aId,
                        const Started& aStarted,
                        TimePoint aNow);
  /// Records the time between two events of a stream. @pre none.
  void RecordPause(const UpstreamId& aId, Duration aPause, TimePoint aNow);
  /// Records that an attempt ended. @pre aStarted is that of the attempt.
  void RecordEnd(const UpstreamId& aId,
                 AttemptOutcome aOutcome,
                 const Started& aStarted,
                 TimePoint aNow);

  /// Predicts one more call on an engine that is expected to wait for aWait.
  /// @pre none.
  [[nodiscard]] Prediction Predict(const EngineState& aState,
                                   const TimingModel::Prompt& aPrompt,
                                   Duration aWait,
                                   TimePoint aNow) const;
  /// Returns the mean errors of the predictions. @pre none.
  [[nodiscard]] const PredictionErrors& Errors() const { return m_errors; }

  /// Returns the models of a pool. @pre none.
  [[nodiscard]] const PoolModels& Pool(const PoolId& aPool) const;
  /// Returns what is known of the load of an engine. @pre none.
  [[nodiscard]] static LoadObservation Observe(const EngineState& aState,
                                               TimePoint aNow);

private:
  EngineTable& m_table;
  std::map<PoolId, PoolModels> m_pools;
  /// Models of a pool without observations.
  PoolModels m_unknown;
  PredictionErrors m_errors;
};

} // namespace celeryspread
