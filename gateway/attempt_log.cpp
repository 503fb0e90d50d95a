#include "gateway/attempt_log.h"

#include <algorithm>

namespace celeryspread {

namespace {

std::string MillisecondsText(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

const char* OutcomeName(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      return "answered";
    case AttemptOutcome::Erred:
      return "erred";
    case AttemptOutcome::Rejected:
      return "rejected";
    case AttemptOutcome::Misdirected:
      return "misdirected";
    case AttemptOutcome::Failed:
      return "failed";
    case AttemptOutcome::Cancelled:
      break;
  }
  return "cancelled";
}

} // namespace

void AttemptLog::Begin(const std::string& aTarget, TimePoint aNow)
{
  m_startedAt = aNow;
  m_begunAt.reset();
  m_firstEventAt.reset();
  m_longestPause = Duration::zero();
  m_text += (m_text.empty() ? "" : " ") + aTarget;
}

void AttemptLog::OpenForwarded(const InstanceId& aPeer, TimePoint aNow)
{
  Begin("peer:" + aPeer.Value(), aNow);
}

void AttemptLog::OpenAttempt(const EngineState& aState, TimePoint aNow)
{
  Begin(aState.m_record.m_id.Value(), aNow);
  const bool hasReading = aState.m_readingAt != TimePoint();
  m_text += " load:" + std::to_string(aState.EstimatedLoad(aNow)) + "/" +
            std::to_string(aState.m_record.m_slots) + " reading_ms:" +
            (hasReading ? MillisecondsText(aNow - aState.m_readingAt) : "none");
}

void AttemptLog::AddConnection(bool aIsReused)
{
  m_text += aIsReused ? " connection:used" : " connection:new";
}

void AttemptLog::AddEvents(TimePoint aNow)
{
  if (m_firstEventAt) {
    m_longestPause = std::max(m_longestPause, aNow - m_lastEventAt);
  } else {
    m_firstEventAt = aNow;
  }
  m_lastEventAt = aNow;
}

void AttemptLog::CloseAttempt(AttemptOutcome aOutcome, TimePoint aNow)
{
  if (m_begunAt) {
    m_text += " begun:" + MillisecondsText(*m_begunAt - m_startedAt) + "ms";
  }
  if (m_firstEventAt) {
    m_text += " first:" + MillisecondsText(*m_firstEventAt - m_startedAt) +
              "ms pause:" + MillisecondsText(m_longestPause) + "ms";
  }
  m_text += std::string(" ") + OutcomeName(aOutcome) + ":" +
            MillisecondsText(aNow - m_startedAt) + "ms;";
}

} // namespace celeryspread
