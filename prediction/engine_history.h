#pragma once

#include "prediction/decayed_mean.h"

namespace celeryspread {

/// How one process of an engine performed, compared with the predictions of its
/// pool's TimingModel. Samples fade within seconds, which brings back the mean
/// of the pool.
/// @thread loop thread only.
struct EngineHistory
{
  /// Time constant of the samples. Engines change their speed within seconds,
  /// but an entry may see one of them only every few seconds.
  static constexpr Duration kTimeConstant = std::chrono::seconds(4);
  /// Weight of the samples that are kept; that of about two streamed calls, so
  /// that a change shows after one or two calls.
  static constexpr double kMaxWeight = 8;
  /// Weight of the assumption that an engine refuses and fails no calls. Low,
  /// as sound engines hardly do, so that a single case is telling.
  static constexpr double kSoundWeight = 0.5;
  /// Engines that report false loads go on to do so.
  static constexpr Duration kTrustTime = std::chrono::seconds(30);

  /// Logarithm of observed by predicted time, of first events and of pauses.
  DecayedMean m_slowness{ kTimeConstant, kMaxWeight };
  /// Whether attempts were refused without being run, as 1 or 0.
  DecayedMean m_refusals{ kTimeConstant, kMaxWeight, kSoundWeight };
  /// Whether attempts ended without a complete answer or with an error of the
  /// engine, as 1 or 0.
  DecayedMean m_failures{ kTimeConstant, kMaxWeight, kSoundWeight };
  /// Whether load reports contradicted the entry's own calls, as 1 or 0.
  DecayedMean m_falseReports{ kTrustTime };
  /// Returns how far its load reports are believed, from 0 to 1. False reports
  /// show only while this entry has several calls there, so a third of them is
  /// enough not to believe any. @pre none. @thread loop.
  [[nodiscard]] double Trust(TimePoint aNow) const
  {
    return std::max(0.0, 1 - 3 * m_falseReports.Mean(0, aNow));
  }
  /// When this entry started a call there last.
  TimePoint m_lastStartAt;
};

} // namespace celeryspread
