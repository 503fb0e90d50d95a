#pragma once

#include <map>

#include "quarantine/crash_investigation.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// What an entry reports about engines that ended and about sound answers.
struct CrashReport
{
  std::vector<CrashRecord> m_crashes;
  /// When the last sound answer with each part began.
  std::map<PromptPartId, TimePoint> m_sound;
  /// Parts that an earlier owner held back.
  std::vector<SuspectPart> m_carried;
};

/// Writes a report. Clocks of instances differ, so times travel as ages.
/// @pre none. @thread any.
void WriteCrashReport(const CrashReport& aReport,
                      TimePoint aNow,
                      wire::CrashReport::Builder aOut);
/// Reads a report. @pre none. @thread any.
CrashReport ReadCrashReport(wire::CrashReport::Reader aIn, TimePoint aNow);

/// Writes a list of suspect parts. @pre the list has as many elements as
/// aParts. @thread any.
void WriteSuspects(const CrashInvestigation::Parts& aParts,
                   TimePoint aNow,
                   capnp::List<wire::SuspectPart>::Builder aOut);
/// Reads a list of suspect parts. @pre none. @thread any.
CrashInvestigation::Parts ReadSuspects(
  capnp::List<wire::SuspectPart>::Reader aIn,
  TimePoint aNow);

} // namespace celeryspread
