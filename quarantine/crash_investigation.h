#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "quarantine/suspect_part.h"

namespace celeryspread {

/// Finds the prompt parts that end engines, from the crashes and the sound
/// answers that entries report.
///
/// Whatever else a call holds, a poisonous part ends each engine that begins to
/// answer it. So such a part is suspect in every crash that it causes, and no
/// answer with it is sound. The calls of one crash have several parts and may
/// include innocent calls. A part is held back once it is suspect in two
/// crashes that no part held back explains; among several, one that never had a
/// sound answer, then the one in most crashes, then the one furthest back in
/// the prompt, which fewest calls share.
///
/// A request as a whole is suspect like a part, behind all parts of its prompt.
/// It takes one crash more to hold it back: nearly each request is new, so that
/// none has a sound answer to clear it, and the innocent calls of a crash may
/// be sent to the next engine together with the one that is the reason.
/// @thread loop thread only.
class CrashInvestigation
{
public:
  using Parts = std::map<PromptPartId, SuspectPart>;

  /// Adds a crash. Records of several entries about one crash are joined.
  /// @pre none.
  void RecordCrash(const CrashRecord& aRecord, TimePoint aNow);
  /// Records an answer that began at aBegunAt and was sound. @pre none.
  void RecordSound(const PromptPartId& aPart,
                   TimePoint aBegunAt,
                   TimePoint aNow);
  /// Records that an engine answered a request that was sent at aSentAt, so it
  /// has not ended before. @pre none.
  void RecordAlive(const UpstreamId& aEngine,
                   TimePoint aSentAt,
                   TimePoint aNow);
  /// Adds what another instance knows about a part; what is known here and is
  /// newer stays. @pre none.
  void Restore(const SuspectPart& aPart, TimePoint aNow);
  /// Permits one call with a part that is held back, if it is time for one.
  /// @pre none. @error false if no call may be sent now.
  bool TryStartTrial(const PromptPartId& aPart, TimePoint aNow);
  /// Releases a part on behalf of an operator. @pre none.
  /// @error false if the part is not held back.
  bool Release(const PromptPartId& aPart, TimePoint aNow);
  /// Decides about crashes whose grace time is over, and forgets old ones.
  /// @pre called several times a second.
  void Tick(TimePoint aNow);
  /// Forgets everything. @pre none.
  void Clear();

  /// Returns the parts that are suspect, held back or lately released.
  /// @pre none.
  [[nodiscard]] const Parts& Suspects() const { return m_parts; }
  /// Returns the number of crashes in which a part is suspect, given when it
  /// last had a sound answer. @pre none.
  [[nodiscard]] size_t CrashCount(const PromptPartId& aPart,
                                  std::optional<TimePoint> aSoundAt) const;
  /// Returns a number that grows with each change of Suspects(). @pre none.
  [[nodiscard]] uint64_t Version() const { return m_version; }
  /// Returns how often Suspects() was computed. @pre none.
  [[nodiscard]] uint64_t UpdateCount() const { return m_updates; }

private:
  /// Position of each suspect part in the prompts of the crash's calls.
  using Positions = std::map<PromptPartId, size_t>;
  struct Crash
  {
    UpstreamId m_engine;
    TimePoint m_at;
    /// When the first record of the crash arrived.
    TimePoint m_receivedAt;
    /// Parts of calls whose answers had begun.
    Positions m_parts;
    /// Parts of calls without any byte of an answer.
    Positions m_unansweredParts;

    /// Returns whether a part is suspect in the crash in either way.
    [[nodiscard]] bool Contains(const PromptPartId& aPart) const
    {
      return m_parts.contains(aPart) || m_unansweredParts.contains(aPart);
    }
  };

  /// Returns whether the part had a sound answer just before or after a crash.
  [[nodiscard]] bool IsCleared(const PromptPartId& aPart,
                               TimePoint aCrashAt) const;
  [[nodiscard]] std::optional<TimePoint> SoundAt(
    const PromptPartId& aPart) const;
  /// Returns the parts that may have caused a crash and are not cleared. Of
  /// the answers that had begun, those parts that never had a sound answer are
  /// suspected first. Calls without any byte of an answer are not weighed in
  /// that way: nearly all of them only waited, and a part of one that was never
  /// sound must not divert the suspicion from the part that ended the engine.
  [[nodiscard]] Positions SuspectsOf(const Crash& aCrash) const;
  /// Returns whether a part that is held back explains a crash.
  [[nodiscard]] bool IsExplained(const Crash& aCrash) const;
  /// Adds parts of a call to aKnown, and counts the crash for those that are
  /// held back and were not known in it.
  void AddParts(const Crash& aCrash,
                const PromptParts& aParts,
                Positions& aKnown);
  /// Decides about the crashes whose grace time is over.
  void Decide(TimePoint aNow);
  /// Holds back parts until no other is suspect in two unexplained crashes.
  void HoldParts(TimePoint aNow);
  /// Forgets the part or request whose last crash is longest ago, of those held
  /// back, while there are too many.
  void LimitHeldParts(bool aAreRequests);
  /// Lists what entries have to know, now or, if that was done a moment ago,
  /// with a later report or tick.
  void ScheduleUpdate(TimePoint aNow);
  /// Lists what entries have to know.
  void UpdateSuspects(TimePoint aNow);
  void ForgetOld(TimePoint aNow);

  std::deque<Crash> m_crashes;
  /// Last sound answer of each part that is suspect in a crash.
  std::map<PromptPartId, TimePoint> m_soundAt;
  Parts m_parts;
  /// When to decide which parts to hold back; empty while nothing is new.
  std::optional<TimePoint> m_decideAt;
  TimePoint m_forgetAt;
  bool m_isUpdateDue = false;
  TimePoint m_updatedAt;
  uint64_t m_updates = 0;
  uint64_t m_version = 1;
};

} // namespace celeryspread
