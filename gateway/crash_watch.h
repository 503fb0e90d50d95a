#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/timers.h"
#include "gateway/engine_table.h"
#include "quarantine/part_quarantine.h"
#include "quarantine/sound_parts.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace celeryspread {

/// Tells the owner of the engines what this entry sees of prompt parts that may
/// end engines.
class CrashReporter
{
public:
  virtual ~CrashReporter() = default;
  /// Reports an engine that ended. @pre none. @thread loop.
  virtual void ReportCrash(const CrashRecord& aRecord) = 0;
  /// Reports a sound answer that began at aBegunAt. @pre none. @thread loop.
  virtual void ReportSound(const PromptPartId& aPart, TimePoint aBegunAt) = 0;
  /// Asks for permission to send one call with a part that is held back.
  /// @pre none. @thread loop.
  virtual void RequestTrial(const PromptPartId& aPart,
                            std::function<void(bool aIsPermitted)> aDone) = 0;
};

/// Watches how answers begin and break off. It finds the engines that ended
/// while they began answers, reports the prompt parts of these calls, and
/// decides which calls are held back.
///
/// A single connection may break off while its engine goes on. So a break
/// counts as the engine's end only if no older call of this entry goes on there
/// a moment later.
/// @thread loop thread only.
class CrashWatch
{
public:
  /// Objects that the watch uses. All of them outlive it.
  struct Dependencies
  {
    const Clock& m_clock;
    Timers& m_timers;
    const EngineTable& m_table;
    PartQuarantine& m_quarantine;
    CrashReporter& m_reporter;
    Metrics& m_metrics;
    EventLog& m_log;
  };
  using SettledCallback = std::function<void(bool aHasEngineEnded)>;

  explicit CrashWatch(Dependencies aDependencies);

  /// Sets the function that is called when parts may be newly held back.
  /// @pre none.
  void SetHoldListener(std::function<void()> aListener)
  {
    m_onHold = std::move(aListener);
  }
  /// Decides about a call with these parts. @pre none.
  [[nodiscard]] QuarantineVerdict Check(const PromptParts& aParts);
  /// Asks for permission to send one call with a part that is held back.
  /// @pre none.
  void RequestTrial(const PromptPartId& aPart, std::function<void(bool)> aDone);
  /// Returns whether enough engines ended under a part that calls with it are
  /// withdrawn from engines that have not begun their answers. @pre none.
  [[nodiscard]] bool IsWithdrawn(const PromptParts& aParts) const;
  /// Returns whether the request that the last of the parts names was in
  /// progress when an engine ended, and had no sound answer since. @pre none.
  [[nodiscard]] bool IsSuspectRequest(const PromptParts& aParts) const;
  /// Records an answer that began at aBegunAt and was sound. @pre none.
  void RecordSound(const PromptParts& aParts, TimePoint aBegunAt);
  /// Records that an answer of aEngine, which began at aBegunAt and was not yet
  /// known to be sound, broke off. aSettled is called once it is clear whether
  /// the engine has ended, perhaps at once; false if no part of a prompt is
  /// suspect. @pre the attempt was closed.
  void RecordBreak(const UpstreamId& aEngine,
                   const PromptParts& aParts,
                   TimePoint aBegunAt,
                   SettledCallback aSettled);
  /// Records that a call to aEngine broke off before any byte of its answer
  /// had arrived. @pre the attempt was closed.
  void RecordUnansweredBreak(const UpstreamId& aEngine,
                             const PromptParts& aParts);

private:
  /// Breaks of one engine's answers that are being watched.
  struct Breaks
  {
    CrashRecord m_record;
    /// Attempts on the engine when the first break was seen.
    uint64_t m_attemptsBefore = 0;
    std::vector<SettledCallback> m_callbacks;
    std::unique_ptr<Timer> m_timer;
  };

  /// Returns the parts of a call that may have ended aEngine; none if its end
  /// was to be expected.
  [[nodiscard]] PromptParts SuspectsOf(const UpstreamId& aEngine,
                                       const PromptParts& aParts,
                                       TimePoint aBegunAt) const;
  /// Returns the breaks of an engine that are being watched; begins to watch
  /// them if they are none yet. @pre the table has the engine.
  Breaks& WatchBreaks(const UpstreamId& aEngine);
  void Settle(const UpstreamId& aEngine);
  void Report(const CrashRecord& aRecord);
  void HandleSuspects();

  Dependencies m_deps;
  SoundParts m_sound;
  std::map<UpstreamId, Breaks> m_breaks;
  std::set<PromptPartId> m_held;
  std::function<void()> m_onHold;
};

} // namespace celeryspread
