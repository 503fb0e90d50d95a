#pragma once

#include <functional>

#include "quarantine/crash_investigation.h"

namespace celeryspread {

/// Whether a call may be sent to an engine, given the parts of its prompt.
struct QuarantineVerdict
{
  enum class Kind
  {
    Free,
    /// A part is held back.
    Held,
    /// A part is held back, and it is time for a trial call.
    TrialDue
  };
  Kind m_kind = Kind::Free;
  /// The part that is held back.
  PromptPartId m_part;
  /// How long it will be held back at least.
  Duration m_heldFor{};
};

/// The prompt parts and requests that an entry holds back: those that the owner
/// of the engines lists and, while no owner can be reached, those that the
/// entry's own crashes point at. What an owner listed stays in force after that
/// owner is lost, until its successor has decided about it.
/// @thread loop thread only.
class PartQuarantine
{
public:
  using Parts = CrashInvestigation::Parts;

  /// Sets the function that is called after each change of the owner's list.
  /// @pre none.
  void SetListener(std::function<void()> aListener)
  {
    m_listener = std::move(aListener);
  }
  /// Replaces the list. aEpoch is the owner's term; versions are comparable
  /// within it. @pre none; an older list is ignored.
  void Apply(uint64_t aEpoch, uint64_t aVersion, Parts aParts);
  /// Records that the owner answered directly or through a relay. @pre none.
  void RecordContact(TimePoint aNow) { m_contactAt = aNow; }
  /// Returns the parts that an earlier owner held back and that the present one
  /// has not decided about. @pre none.
  [[nodiscard]] const Parts& Carried() const { return m_carried; }
  /// Records that the owner of aEpoch knows the parts in Carried() from its
  /// list of aVersion on. @pre none.
  void ConfirmCarried(uint64_t aEpoch, uint64_t aVersion);

  /// Records a crash that this entry saw. @pre none.
  void RecordCrash(const CrashRecord& aRecord, TimePoint aNow);
  /// Records a sound answer of this entry. @pre none.
  void RecordSound(const PromptPartId& aPart,
                   TimePoint aBegunAt,
                   TimePoint aNow);
  /// Decides about a call with these parts. @pre none.
  [[nodiscard]] QuarantineVerdict Check(const PromptParts& aParts,
                                        TimePoint aNow);
  /// Returns what the owner lists about a part; null if nothing. @pre none.
  [[nodiscard]] const SuspectPart* Find(const PromptPartId& aPart) const;
  /// Returns the number of crashes in which a part is suspect, as the owner
  /// lists them or as this entry saw them, given when the entry last saw a
  /// sound answer. @pre none.
  [[nodiscard]] size_t CrashCount(const PromptPartId& aPart,
                                  std::optional<TimePoint> aSoundAt) const;
  /// Returns the owner's list. @pre none.
  [[nodiscard]] const Parts& Listed() const { return m_listed; }
  /// Returns the term whose list this is, 0 for none. @pre none.
  [[nodiscard]] uint64_t Epoch() const { return m_epoch; }
  /// Returns the version of the list. @pre none.
  [[nodiscard]] uint64_t Version() const { return m_version; }

private:
  [[nodiscard]] const SuspectPart* FindHeld(const PromptPartId& aPart,
                                            TimePoint aNow) const;
  void DropConfirmed();

  std::function<void()> m_listener;
  Parts m_listed;
  Parts m_carried;
  /// From this version on, the list includes what was carried.
  std::optional<uint64_t> m_carriedUntil;
  uint64_t m_epoch = 0;
  uint64_t m_version = 0;
  TimePoint m_contactAt;
  /// What the entry's own crashes point at.
  CrashInvestigation m_own;
};

} // namespace celeryspread
