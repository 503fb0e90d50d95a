#include "quarantine/part_quarantine.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// An owner that has not answered for this long may not have the entry's
/// reports; follow calls are answered within a second.
constexpr Duration kMaxContactAge = std::chrono::seconds(2);

} // namespace

void PartQuarantine::Apply(uint64_t aEpoch, uint64_t aVersion, Parts aParts)
{
  if (aEpoch < m_epoch || (aEpoch == m_epoch && aVersion <= m_version)) {
    return;
  }
  if (aEpoch != m_epoch) {
    for (const auto& [id, part] : m_listed) {
      if (part.m_isHeld) {
        m_carried[id] = part;
      }
    }
    m_carriedUntil.reset();
  }
  m_epoch = aEpoch;
  m_version = aVersion;
  m_listed = std::move(aParts);
  DropConfirmed();
  if (m_listener) {
    m_listener();
  }
}

void PartQuarantine::DropConfirmed()
{
  if (m_carriedUntil && m_version >= *m_carriedUntil) {
    m_carried.clear();
    m_carriedUntil.reset();
  }
}

void PartQuarantine::ConfirmCarried(uint64_t aEpoch, uint64_t aVersion)
{
  if (aEpoch == m_epoch) {
    m_carriedUntil = aVersion;
    DropConfirmed();
  }
}

void PartQuarantine::RecordCrash(const CrashRecord& aRecord, TimePoint aNow)
{
  m_own.RecordCrash(aRecord, aNow);
}

void PartQuarantine::RecordSound(const PromptPartId& aPart,
                                 TimePoint aBegunAt,
                                 TimePoint aNow)
{
  if (m_own.Suspects().contains(aPart)) {
    m_own.RecordSound(aPart, aBegunAt, aNow);
  }
  const auto carried = m_carried.find(aPart);
  if (carried != m_carried.end() &&
      aBegunAt > carried->second.m_lastCrashAt - kSoundMemory) {
    m_carried.erase(carried);
  }
}

const SuspectPart* PartQuarantine::Find(const PromptPartId& aPart) const
{
  const auto listed = m_listed.find(aPart);
  return listed == m_listed.end() ? nullptr : &listed->second;
}

size_t PartQuarantine::CrashCount(const PromptPartId& aPart,
                                  std::optional<TimePoint> aSoundAt) const
{
  const SuspectPart* listed = Find(aPart);
  const size_t known = listed == nullptr ? 0 : listed->m_crashes;
  return std::max(known, m_own.CrashCount(aPart, aSoundAt));
}

const SuspectPart* PartQuarantine::FindHeld(const PromptPartId& aPart,
                                            TimePoint aNow) const
{
  const SuspectPart* listed = Find(aPart);
  if (listed != nullptr && listed->m_isHeld) {
    return listed;
  }
  const auto carried = m_carried.find(aPart);
  if (listed == nullptr && carried != m_carried.end()) {
    return &carried->second;
  }
  const auto own = m_own.Suspects().find(aPart);
  const bool isOwnHeld = own != m_own.Suspects().end() && own->second.m_isHeld;
  return isOwnHeld && aNow > m_contactAt + kMaxContactAge ? &own->second
                                                          : nullptr;
}

QuarantineVerdict PartQuarantine::Check(const PromptParts& aParts,
                                        TimePoint aNow)
{
  m_own.Tick(aNow);
  QuarantineVerdict verdict;
  for (const PromptPartId& id : aParts) {
    const SuspectPart* part = FindHeld(id, aNow);
    if (part == nullptr) {
      continue;
    }
    const Duration heldFor = part->HeldUntil() - aNow;
    // A trial of several parts at once would not tell them apart.
    const bool isTrialDue = heldFor <= Duration::zero() &&
                            verdict.m_kind == QuarantineVerdict::Kind::Free;
    verdict.m_kind = isTrialDue ? QuarantineVerdict::Kind::TrialDue
                                : QuarantineVerdict::Kind::Held;
    verdict.m_part = id;
    verdict.m_heldFor = std::max(verdict.m_heldFor, heldFor);
  }
  return verdict;
}

} // namespace celeryspread
