#include "wire/crash_codec.h"

#include <algorithm>

#include "wire/message_bytes.h"

namespace celeryspread {

namespace {

/// Stands for a time that is not known.
constexpr int64_t kNoAge = -1;

int64_t AgeOf(TimePoint aTime, TimePoint aNow)
{
  return std::max<int64_t>(0, (aNow - aTime).count());
}

int64_t AgeOf(const std::optional<TimePoint>& aTime, TimePoint aNow)
{
  return aTime ? AgeOf(*aTime, aNow) : kNoAge;
}

TimePoint TimeOf(int64_t aAge, TimePoint aNow)
{
  return aNow - Duration(std::max<int64_t>(0, aAge));
}

std::optional<TimePoint> OptionalTimeOf(int64_t aAge, TimePoint aNow)
{
  return aAge == kNoAge ? std::nullopt
                        : std::optional<TimePoint>(TimeOf(aAge, aNow));
}

void WriteSuspect(const SuspectPart& aPart,
                  TimePoint aNow,
                  wire::SuspectPart::Builder aOut)
{
  aOut.setPart(aPart.m_part.Value());
  aOut.setCrashes(aPart.m_crashes);
  aOut.setLastCrashAgeMicros(AgeOf(aPart.m_lastCrashAt, aNow));
  aOut.setSoundAgeMicros(AgeOf(aPart.m_soundAt, aNow));
  aOut.setTrialAgeMicros(AgeOf(aPart.m_trialAt, aNow));
  aOut.setIsHeld(aPart.m_isHeld);
  aOut.setTrials(aPart.m_trials);
}

SuspectPart ReadSuspect(wire::SuspectPart::Reader aIn, TimePoint aNow)
{
  return { PromptPartId(TextOf(aIn.getPart())),
           aIn.getCrashes(),
           TimeOf(aIn.getLastCrashAgeMicros(), aNow),
           OptionalTimeOf(aIn.getSoundAgeMicros(), aNow),
           OptionalTimeOf(aIn.getTrialAgeMicros(), aNow),
           aIn.getIsHeld(),
           aIn.getTrials() };
}

void WriteCalls(const std::vector<PromptParts>& aCalls,
                capnp::List<wire::SuspectCall>::Builder aOut)
{
  for (unsigned i = 0; i < aOut.size(); ++i) {
    const PromptParts& parts = aCalls[i];
    auto out = aOut[i].initParts(static_cast<unsigned>(parts.size()));
    for (unsigned j = 0; j < out.size(); ++j) {
      out.set(j, parts[j].Value());
    }
  }
}

std::vector<PromptParts> ReadCalls(capnp::List<wire::SuspectCall>::Reader aIn)
{
  std::vector<PromptParts> calls;
  for (const auto call : aIn) {
    PromptParts& parts = calls.emplace_back();
    for (const auto part : call.getParts()) {
      parts.emplace_back(TextOf(part));
    }
  }
  return calls;
}

void WriteCrash(const CrashRecord& aRecord,
                TimePoint aNow,
                wire::CrashRecord::Builder aOut)
{
  aOut.setEngine(aRecord.m_engine.Value());
  aOut.setAgeMicros(AgeOf(aRecord.m_at, aNow));
  WriteCalls(aRecord.m_calls,
             aOut.initCalls(static_cast<unsigned>(aRecord.m_calls.size())));
  WriteCalls(aRecord.m_unansweredCalls,
             aOut.initUnansweredCalls(
               static_cast<unsigned>(aRecord.m_unansweredCalls.size())));
}

CrashRecord ReadCrash(wire::CrashRecord::Reader aIn, TimePoint aNow)
{
  return { UpstreamId(TextOf(aIn.getEngine())),
           TimeOf(aIn.getAgeMicros(), aNow),
           ReadCalls(aIn.getCalls()),
           ReadCalls(aIn.getUnansweredCalls()) };
}

} // namespace

void WriteCrashReport(const CrashReport& aReport,
                      TimePoint aNow,
                      wire::CrashReport::Builder aOut)
{
  auto crashes =
    aOut.initCrashes(static_cast<unsigned>(aReport.m_crashes.size()));
  for (unsigned i = 0; i < crashes.size(); ++i) {
    WriteCrash(aReport.m_crashes[i], aNow, crashes[i]);
  }
  auto sound = aOut.initSound(static_cast<unsigned>(aReport.m_sound.size()));
  unsigned at = 0;
  for (const auto& [part, soundAt] : aReport.m_sound) {
    sound[at].setPart(part.Value());
    sound[at].setAgeMicros(AgeOf(soundAt, aNow));
    ++at;
  }
  auto carried =
    aOut.initCarried(static_cast<unsigned>(aReport.m_carried.size()));
  for (unsigned i = 0; i < carried.size(); ++i) {
    WriteSuspect(aReport.m_carried[i], aNow, carried[i]);
  }
}

CrashReport ReadCrashReport(wire::CrashReport::Reader aIn, TimePoint aNow)
{
  CrashReport report;
  for (const auto crash : aIn.getCrashes()) {
    report.m_crashes.push_back(ReadCrash(crash, aNow));
  }
  for (const auto sound : aIn.getSound()) {
    report.m_sound[PromptPartId(TextOf(sound.getPart()))] =
      TimeOf(sound.getAgeMicros(), aNow);
  }
  for (const auto part : aIn.getCarried()) {
    report.m_carried.push_back(ReadSuspect(part, aNow));
  }
  return report;
}

void WriteSuspects(const CrashInvestigation::Parts& aParts,
                   TimePoint aNow,
                   capnp::List<wire::SuspectPart>::Builder aOut)
{
  unsigned at = 0;
  for (const auto& [id, part] : aParts) {
    WriteSuspect(part, aNow, aOut[at++]);
  }
}

CrashInvestigation::Parts ReadSuspects(
  capnp::List<wire::SuspectPart>::Reader aIn,
  TimePoint aNow)
{
  CrashInvestigation::Parts parts;
  for (const auto in : aIn) {
    SuspectPart part = ReadSuspect(in, aNow);
    const PromptPartId id = part.m_part;
    parts[id] = std::move(part);
  }
  return parts;
}

} // namespace celeryspread
