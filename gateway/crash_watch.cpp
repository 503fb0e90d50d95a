#include "gateway/crash_watch.h"

#include <algorithm>
#include <utility>

#include "quarantine/request_namer.h"

namespace celeryspread {

namespace {

/// When an engine ends, all its connections break within a few milliseconds.
constexpr Duration kSettleTime = std::chrono::milliseconds(30);
/// Crashes after which calls that wait at engines are withdrawn.
constexpr uint32_t kCrashesToWithdraw = 3;

std::string PartsText(const std::vector<PromptParts>& aCalls)
{
  std::string text;
  for (const PromptParts& call : aCalls) {
    for (const PromptPartId& part : call) {
      text += (text.empty() ? "" : ",") + part.Value();
    }
  }
  return text;
}

std::set<PromptPartId> AllParts(const CrashRecord& aRecord)
{
  std::set<PromptPartId> parts;
  for (const auto* calls : { &aRecord.m_calls, &aRecord.m_unansweredCalls }) {
    for (const PromptParts& call : *calls) {
      parts.insert(call.begin(), call.end());
    }
  }
  return parts;
}

} // namespace

CrashWatch::CrashWatch(Dependencies aDependencies)
  : m_deps(aDependencies)
{
  m_deps.m_quarantine.SetListener([this] { HandleSuspects(); });
}

QuarantineVerdict CrashWatch::Check(const PromptParts& aParts)
{
  return m_deps.m_quarantine.Check(aParts, m_deps.m_clock.Now());
}

void CrashWatch::RequestTrial(const PromptPartId& aPart,
                              std::function<void(bool)> aDone)
{
  m_deps.m_reporter.RequestTrial(aPart, std::move(aDone));
}

bool CrashWatch::IsWithdrawn(const PromptParts& aParts) const
{
  return std::any_of(
    aParts.begin(), aParts.end(), [&](const PromptPartId& aPart) {
      const SuspectPart* part = m_deps.m_quarantine.Find(aPart);
      return part != nullptr && part->m_isHeld &&
             part->m_crashes >= kCrashesToWithdraw;
    });
}

bool CrashWatch::IsSuspectRequest(const PromptParts& aParts) const
{
  return !aParts.empty() && RequestNamer::IsRequest(aParts.back()) &&
         m_deps.m_quarantine.CrashCount(aParts.back(),
                                        m_sound.SoundAt(aParts.back())) > 0;
}

void CrashWatch::RecordSound(const PromptParts& aParts, TimePoint aBegunAt)
{
  const TimePoint now = m_deps.m_clock.Now();
  for (const PromptPartId& id : aParts) {
    m_sound.Record(id, aBegunAt);
    m_deps.m_quarantine.RecordSound(id, aBegunAt, now);
    const SuspectPart* part = m_deps.m_quarantine.Find(id);
    const bool isNews = part != nullptr && part->m_crashes > 0 &&
                        aBegunAt > part->m_lastCrashAt - kSoundMemory;
    if (isNews) {
      m_deps.m_reporter.ReportSound(id, aBegunAt);
    }
  }
}

void CrashWatch::RecordBreak(const UpstreamId& aEngine,
                             const PromptParts& aParts,
                             TimePoint aBegunAt,
                             SettledCallback aSettled)
{
  PromptParts suspects = SuspectsOf(aEngine, aParts, aBegunAt);
  if (suspects.empty()) {
    aSettled(false);
    return;
  }
  const bool hasSuspectPart = !RequestNamer::IsRequest(suspects.front());
  Breaks& breaks = WatchBreaks(aEngine);
  breaks.m_record.m_calls.push_back(std::move(suspects));
  if (hasSuspectPart) {
    breaks.m_callbacks.push_back(std::move(aSettled));
  } else {
    aSettled(false);
  }
}

void CrashWatch::RecordUnansweredBreak(const UpstreamId& aEngine,
                                       const PromptParts& aParts)
{
  PromptParts suspects = SuspectsOf(aEngine, aParts, m_deps.m_clock.Now());
  if (!suspects.empty()) {
    WatchBreaks(aEngine).m_record.m_unansweredCalls.push_back(
      std::move(suspects));
  }
}

PromptParts CrashWatch::SuspectsOf(const UpstreamId& aEngine,
                                   const PromptParts& aParts,
                                   TimePoint aBegunAt) const
{
  const EngineState* state = m_deps.m_table.Find(aEngine);
  // An engine that leaves breaks off the calls that outlast its notice.
  const bool isExpected = state == nullptr || state->IsLeaving();
  return isExpected ? PromptParts()
                    : m_sound.WithoutRecentAnswer(aParts, aBegunAt);
}

CrashWatch::Breaks& CrashWatch::WatchBreaks(const UpstreamId& aEngine)
{
  Breaks& breaks = m_breaks[aEngine];
  if (breaks.m_timer == nullptr) {
    breaks.m_record.m_engine = aEngine;
    breaks.m_record.m_at = m_deps.m_clock.Now();
    breaks.m_attemptsBefore = m_deps.m_table.Find(aEngine)->m_attempts;
    breaks.m_timer =
      m_deps.m_timers.After(kSettleTime, [this, aEngine] { Settle(aEngine); });
  }
  return breaks;
}

void CrashWatch::Settle(const UpstreamId& aEngine)
{
  const auto found = m_breaks.find(aEngine);
  Breaks breaks = std::move(found->second);
  m_breaks.erase(found);
  const EngineState* state = m_deps.m_table.Find(aEngine);
  const bool hasOlderCalls =
    state != nullptr &&
    state->m_outstanding > state->m_attempts - breaks.m_attemptsBefore;
  if (!hasOlderCalls) {
    Report(breaks.m_record);
  }
  for (const SettledCallback& settled : breaks.m_callbacks) {
    settled(!hasOlderCalls);
  }
}

void CrashWatch::Report(const CrashRecord& aRecord)
{
  m_deps.m_metrics.Count("celeryspread_gateway_engine_ends_total");
  m_deps.m_log.Write(EventId::EngineEnded,
                     "engine=" + aRecord.m_engine.Value() +
                       " calls=" + std::to_string(aRecord.m_calls.size()) +
                       " parts=" + PartsText(aRecord.m_calls) + " unanswered=" +
                       std::to_string(aRecord.m_unansweredCalls.size()));
  const TimePoint now = m_deps.m_clock.Now();
  m_deps.m_quarantine.RecordCrash(aRecord, now);
  for (const PromptPartId& part : AllParts(aRecord)) {
    const auto soundAt = m_sound.SoundAt(part);
    if (soundAt) {
      m_deps.m_quarantine.RecordSound(part, *soundAt, now);
    }
  }
  m_deps.m_reporter.ReportCrash(aRecord);
}

void CrashWatch::HandleSuspects()
{
  std::set<PromptPartId> held;
  for (const auto& [id, part] : m_deps.m_quarantine.Listed()) {
    const auto soundAt = m_sound.SoundAt(id);
    const bool isNews =
      soundAt && part.m_crashes > 0 &&
      (!part.m_soundAt || *soundAt > part.m_lastCrashAt - kSoundMemory);
    if (isNews) {
      m_deps.m_reporter.ReportSound(id, *soundAt);
    }
    if (!part.m_isHeld) {
      continue;
    }
    held.insert(id);
    if (!m_held.contains(id)) {
      m_deps.m_log.Write(EventId::PartHeld,
                         "part=" + id.Value() +
                           " crashes=" + std::to_string(part.m_crashes));
    }
  }
  for (const PromptPartId& id : m_held) {
    if (!held.contains(id)) {
      m_deps.m_log.Write(EventId::PartReleased, "part=" + id.Value());
    }
  }
  m_held = std::move(held);
  m_deps.m_metrics.SetGauge("celeryspread_gateway_held_parts",
                            static_cast<double>(m_held.size()));
  if (m_onHold && !m_held.empty()) {
    m_onHold();
  }
}

} // namespace celeryspread
