#include "quarantine/crash_investigation.h"

#include <algorithm>

#include "quarantine/request_namer.h"

namespace celeryspread {

namespace {

/// Records of one engine within this time are about the same crash; a new
/// process under the same id takes longer to start.
constexpr Duration kSameCrashTime = std::chrono::seconds(2);
/// Time for entries to hear of a crash and to report sound answers.
constexpr Duration kGraceTime = std::chrono::milliseconds(250);
/// Engines that end within this time end together, as with their rack; two
/// poisonous calls end theirs at different moments.
constexpr Duration kSameMomentTime = std::chrono::milliseconds(50);
/// Crashes at different moments with one suspect part that are enough to hold
/// it back.
constexpr size_t kCrashesToHold = 2;
constexpr size_t kCrashesToHoldRequest = 3;
/// A request is listed from this many crashes on; those in a single crash are
/// many, and nearly all innocent.
constexpr size_t kCrashesToListRequest = 2;
/// Crashes and sound answers older than this count no more.
constexpr Duration kCrashMemory = std::chrono::minutes(5);
/// A released part stays listed this long, so that all entries hear of it.
constexpr Duration kReleaseMemory = std::chrono::minutes(1);
constexpr Duration kForgetPeriod = std::chrono::seconds(1);
constexpr size_t kMaxCrashes = 256;
/// The list is computed from all crashes and parts. When engines end together,
/// every entry reports each of them and each sound part within a second.
constexpr Duration kUpdatePeriod = std::chrono::milliseconds(100);
/// A part that is held back and unused is forgotten this long after its next
/// trial could have been made.
constexpr Duration kUnusedHoldMemory = std::chrono::hours(1);
/// Parts in the list that goes to every entry, and those of them held back.
constexpr size_t kMaxParts = 64;
constexpr size_t kMaxHeldParts = 48;
/// Requests in the list that are not held back. As many may be held back as
/// parts.
constexpr size_t kMaxSuspectRequests = 16;

size_t CrashesToHold(const PromptPartId& aPart)
{
  return RequestNamer::IsRequest(aPart) ? kCrashesToHoldRequest
                                        : kCrashesToHold;
}

} // namespace

std::optional<TimePoint> CrashInvestigation::SoundAt(
  const PromptPartId& aPart) const
{
  const auto found = m_soundAt.find(aPart);
  return found == m_soundAt.end() ? std::nullopt
                                  : std::optional<TimePoint>(found->second);
}

bool CrashInvestigation::IsCleared(const PromptPartId& aPart,
                                   TimePoint aCrashAt) const
{
  const auto soundAt = SoundAt(aPart);
  return soundAt && *soundAt > aCrashAt - kSoundMemory;
}

CrashInvestigation::Positions CrashInvestigation::SuspectsOf(
  const Crash& aCrash) const
{
  Positions suspects;
  Positions neverSound;
  for (const auto& [part, position] : aCrash.m_parts) {
    if (IsCleared(part, aCrash.m_at)) {
      continue;
    }
    suspects.emplace(part, position);
    // Nearly every request is new, so this says nothing of a request.
    if (!SoundAt(part) && !RequestNamer::IsRequest(part)) {
      neverSound.emplace(part, position);
    }
  }
  if (!neverSound.empty()) {
    std::erase_if(suspects, [&](const auto& aSuspect) {
      return !RequestNamer::IsRequest(aSuspect.first) &&
             !neverSound.contains(aSuspect.first);
    });
  }
  for (const auto& [part, position] : aCrash.m_unansweredParts) {
    if (!IsCleared(part, aCrash.m_at)) {
      suspects.emplace(part, position);
    }
  }
  return suspects;
}

bool CrashInvestigation::IsExplained(const Crash& aCrash) const
{
  return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& aPart) {
    return aPart.second.m_isHeld && aCrash.Contains(aPart.first);
  });
}

void CrashInvestigation::AddParts(const Crash& aCrash,
                                  const PromptParts& aParts,
                                  Positions& aKnown)
{
  for (size_t i = 0; i < aParts.size(); ++i) {
    const bool isNew = !aCrash.Contains(aParts[i]);
    aKnown.emplace(aParts[i], i);
    const auto known = m_parts.find(aParts[i]);
    if (isNew && known != m_parts.end() && known->second.m_isHeld) {
      ++known->second.m_crashes;
      known->second.m_lastCrashAt =
        std::max(known->second.m_lastCrashAt, aCrash.m_at);
      ++m_version;
    }
  }
}

void CrashInvestigation::RecordCrash(const CrashRecord& aRecord, TimePoint aNow)
{
  auto crash =
    std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
      return aCrash.m_engine == aRecord.m_engine &&
             aRecord.m_at < aCrash.m_at + kSameCrashTime &&
             aCrash.m_at < aRecord.m_at + kSameCrashTime;
    });
  const bool isNew = crash == m_crashes.end();
  if (isNew) {
    m_crashes.push_back({ aRecord.m_engine, aRecord.m_at, aNow, {}, {} });
    crash = std::prev(m_crashes.end());
  }
  for (const PromptParts& call : aRecord.m_calls) {
    AddParts(*crash, call, crash->m_parts);
  }
  for (const PromptParts& call : aRecord.m_unansweredCalls) {
    AddParts(*crash, call, crash->m_unansweredParts);
  }
  const TimePoint decideAt = crash->m_receivedAt + kGraceTime;
  m_decideAt = std::min(m_decideAt.value_or(decideAt), decideAt);
  if (m_crashes.size() > kMaxCrashes) {
    m_crashes.pop_front();
  }
  ScheduleUpdate(aNow);
}

void CrashInvestigation::RecordSound(const PromptPartId& aPart,
                                     TimePoint aBegunAt,
                                     TimePoint aNow)
{
  TimePoint& soundAt = m_soundAt.emplace(aPart, aBegunAt).first->second;
  soundAt = std::max(soundAt, aBegunAt);
  const auto known = m_parts.find(aPart);
  if (known != m_parts.end()) {
    SuspectPart& part = known->second;
    if (part.m_isHeld && IsCleared(aPart, part.m_lastCrashAt)) {
      part.m_isHeld = false;
      part.m_crashes = 0;
      part.m_trials = 0;
      ++m_version;
    }
    part.m_soundAt = soundAt;
    // The crashes may point at another part now.
    m_decideAt = m_decideAt.value_or(aNow);
  }
  ScheduleUpdate(aNow);
}

void CrashInvestigation::RecordAlive(const UpstreamId& aEngine,
                                     TimePoint aSentAt,
                                     TimePoint aNow)
{
  const size_t removed = std::erase_if(m_crashes, [&](const Crash& aCrash) {
    return aCrash.m_engine == aEngine && aCrash.m_at < aSentAt &&
           aSentAt < aCrash.m_at + kSameCrashTime;
  });
  if (removed != 0) {
    ScheduleUpdate(aNow);
  }
}

void CrashInvestigation::Restore(const SuspectPart& aPart, TimePoint aNow)
{
  if (aPart.m_soundAt) {
    RecordSound(aPart.m_part, *aPart.m_soundAt, aNow);
  }
  if (!aPart.m_isHeld || IsCleared(aPart.m_part, aPart.m_lastCrashAt)) {
    return;
  }
  const SuspectPart former = m_parts[aPart.m_part];
  SuspectPart& part = m_parts[aPart.m_part];
  part.m_part = aPart.m_part;
  part.m_isHeld = true;
  part.m_crashes = std::max(part.m_crashes, aPart.m_crashes);
  part.m_lastCrashAt = std::max(part.m_lastCrashAt, aPart.m_lastCrashAt);
  part.m_trialAt = std::max(part.m_trialAt, aPart.m_trialAt);
  part.m_trials = std::max(part.m_trials, aPart.m_trials);
  part.m_soundAt = SoundAt(aPart.m_part);
  m_version += part.IsSameForEntries(former) ? 0 : 1;
}

bool CrashInvestigation::TryStartTrial(const PromptPartId& aPart,
                                       TimePoint aNow)
{
  const auto known = m_parts.find(aPart);
  if (known == m_parts.end() || !known->second.m_isHeld) {
    return true;
  }
  if (aNow < known->second.HeldUntil()) {
    return false;
  }
  known->second.m_trialAt = aNow;
  ++known->second.m_trials;
  ++m_version;
  return true;
}

bool CrashInvestigation::Release(const PromptPartId& aPart, TimePoint aNow)
{
  const auto known = m_parts.find(aPart);
  if (known == m_parts.end() || !known->second.m_isHeld) {
    return false;
  }
  RecordSound(aPart, aNow, aNow);
  return true;
}

void CrashInvestigation::HoldParts(TimePoint aNow)
{
  struct Candidate
  {
    bool m_isNeverSound = false;
    size_t m_crashes = 0;
    size_t m_position = 0;
    TimePoint m_countedAt;
    auto operator<=>(const Candidate&) const = default;
  };
  for (;;) {
    std::map<PromptPartId, Candidate> candidates;
    for (const Crash& crash : m_crashes) {
      if (aNow < crash.m_receivedAt + kGraceTime || IsExplained(crash)) {
        continue;
      }
      for (const auto& [part, position] : SuspectsOf(crash)) {
        Candidate& candidate = candidates[part];
        candidate.m_isNeverSound =
          !SoundAt(part) && !RequestNamer::IsRequest(part);
        candidate.m_position = std::max(candidate.m_position, position);
        if (crash.m_at >= candidate.m_countedAt + kSameMomentTime) {
          candidate.m_countedAt = crash.m_at;
          ++candidate.m_crashes;
        }
      }
    }
    std::erase_if(candidates, [](const auto& aCandidate) {
      return aCandidate.second.m_crashes < CrashesToHold(aCandidate.first);
    });
    const auto best = std::max_element(
      candidates.begin(), candidates.end(), [](const auto& aA, const auto& aB) {
        return aA.second < aB.second;
      });
    if (best == candidates.end()) {
      return;
    }
    SuspectPart& part = m_parts[best->first];
    part.m_part = best->first;
    part.m_crashes = 0;
    part.m_isHeld = true;
    part.m_soundAt = SoundAt(best->first);
    for (const Crash& crash : m_crashes) {
      if (crash.Contains(best->first) && !IsCleared(best->first, crash.m_at)) {
        ++part.m_crashes;
        part.m_lastCrashAt = std::max(part.m_lastCrashAt, crash.m_at);
      }
    }
    ++m_version;
  }
}

size_t CrashInvestigation::CrashCount(const PromptPartId& aPart,
                                      std::optional<TimePoint> aSoundAt) const
{
  return static_cast<size_t>(
    std::count_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
      const bool isCleared = aSoundAt && *aSoundAt > aCrash.m_at - kSoundMemory;
      return !isCleared && aCrash.Contains(aPart);
    }));
}

void CrashInvestigation::LimitHeldParts(bool aAreRequests)
{
  for (;;) {
    auto oldest = m_parts.end();
    size_t held = 0;
    for (auto it = m_parts.begin(); it != m_parts.end(); ++it) {
      if (!it->second.m_isHeld ||
          RequestNamer::IsRequest(it->first) != aAreRequests) {
        continue;
      }
      ++held;
      if (oldest == m_parts.end() ||
          it->second.m_lastCrashAt < oldest->second.m_lastCrashAt) {
        oldest = it;
      }
    }
    if (held <= kMaxHeldParts) {
      return;
    }
    std::erase_if(m_crashes, [&](const Crash& aCrash) {
      return aCrash.Contains(oldest->first);
    });
    m_parts.erase(oldest);
    ++m_version;
  }
}

void CrashInvestigation::ScheduleUpdate(TimePoint aNow)
{
  m_isUpdateDue = true;
  if (aNow >= m_updatedAt + kUpdatePeriod) {
    UpdateSuspects(aNow);
  }
}

void CrashInvestigation::UpdateSuspects(TimePoint aNow)
{
  m_isUpdateDue = false;
  m_updatedAt = aNow;
  ++m_updates;
  Parts suspects;
  for (const Crash& crash : m_crashes) {
    if (IsExplained(crash)) {
      continue;
    }
    for (const auto& [id, position] : SuspectsOf(crash)) {
      SuspectPart& part = suspects[id];
      part.m_part = id;
      ++part.m_crashes;
      part.m_lastCrashAt = std::max(part.m_lastCrashAt, crash.m_at);
      part.m_soundAt = SoundAt(id);
    }
  }
  size_t requests = 0;
  std::erase_if(suspects, [&](const auto& aSuspect) {
    return RequestNamer::IsRequest(aSuspect.first) &&
           (aSuspect.second.m_crashes < kCrashesToListRequest ||
            ++requests > kMaxSuspectRequests);
  });
  for (const auto& [id, part] : m_parts) {
    const bool isLatelyReleased = part.m_crashes == 0 && part.m_soundAt &&
                                  aNow < *part.m_soundAt + kReleaseMemory;
    if (part.m_isHeld || (isLatelyReleased && !suspects.contains(id))) {
      suspects[id] = part;
    }
  }
  auto parts = static_cast<size_t>(
    std::count_if(suspects.begin(), suspects.end(), [](const auto& aSuspect) {
      return !RequestNamer::IsRequest(aSuspect.first);
    }));
  for (auto it = suspects.begin(); parts > kMaxParts && it != suspects.end();) {
    const bool stays =
      it->second.m_isHeld || RequestNamer::IsRequest(it->first);
    parts -= stays ? 0 : 1;
    it = stays ? std::next(it) : suspects.erase(it);
  }
  const bool isSame = std::equal(suspects.begin(),
                                 suspects.end(),
                                 m_parts.begin(),
                                 m_parts.end(),
                                 [](const auto& aA, const auto& aB) {
                                   return aA.first == aB.first &&
                                          aA.second.IsSameForEntries(aB.second);
                                 });
  m_parts = std::move(suspects);
  m_version += isSame ? 0 : 1;
}

void CrashInvestigation::ForgetOld(TimePoint aNow)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) {
    return aCrash.m_at + kCrashMemory < aNow;
  });
  std::erase_if(m_soundAt, [&](const auto& aSound) {
    return aSound.second + kCrashMemory < aNow;
  });
  const size_t removed = std::erase_if(m_parts, [&](const auto& aEntry) {
    return aEntry.second.m_isHeld &&
           aEntry.second.HeldUntil() + kUnusedHoldMemory < aNow;
  });
  m_version += removed;
}

void CrashInvestigation::Tick(TimePoint aNow)
{
  if (m_crashes.empty() && m_parts.empty() && m_soundAt.empty()) {
    return;
  }
  const bool isDecisionDue = m_decideAt && aNow >= *m_decideAt;
  if (!isDecisionDue && aNow < m_forgetAt) {
    if (m_isUpdateDue) {
      ScheduleUpdate(aNow);
    }
    return;
  }
  m_forgetAt = aNow + kForgetPeriod;
  ForgetOld(aNow);
  if (isDecisionDue) {
    Decide(aNow);
  }
  UpdateSuspects(aNow);
}

void CrashInvestigation::Decide(TimePoint aNow)
{
  HoldParts(aNow);
  LimitHeldParts(false);
  LimitHeldParts(true);
  m_decideAt.reset();
  for (const Crash& crash : m_crashes) {
    const TimePoint decideAt = crash.m_receivedAt + kGraceTime;
    if (decideAt > aNow) {
      m_decideAt = std::min(m_decideAt.value_or(decideAt), decideAt);
    }
  }
}

void CrashInvestigation::Clear()
{
  const uint64_t version = m_version;
  *this = CrashInvestigation();
  m_version = version + 1;
}

} // namespace celeryspread
