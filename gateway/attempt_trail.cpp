#include "gateway/attempt_trail.h"

#include <algorithm>

namespace celeryspread {

namespace {

std::string MillisecondsText(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

const char* Word(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::Rejected:
      return "rejected";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::Cancelled:
      break;
  }
  return "cancelled";
}

} // namespace

void AttemptTrail::Begin(const EngineState& aState, TimePoint aNow)
{
  m_begunAt = aNow;
  m_firstEventAt.reset();
  m_longestPause = Duration::zero();
  const bool hasReading = aState.m_readingAt != TimePoint();
  m_text += m_text.empty() ? "" : " ";
  m_text += aState.m_record.m_id.Value() +
            " load:" + std::to_string(aState.EstimatedLoad(aNow)) + "/" +
            std::to_string(aState.m_record.m_slots) + " reading_ms:" +
            (hasReading ? MillisecondsText(aNow - aState.m_readingAt) : "none");
}

void AttemptTrail::NoteEvents(TimePoint aNow)
{
  if (m_firstEventAt) {
    m_longestPause = std::max(m_longestPause, aNow - m_lastEventAt);
  } else {
    m_firstEventAt = aNow;
  }
  m_lastEventAt = aNow;
}

void AttemptTrail::End(AttemptEnd aEnd, TimePoint aNow)
{
  if (m_firstEventAt) {
    m_text += " first:" + MillisecondsText(*m_firstEventAt - m_begunAt) +
              "ms pause:" + MillisecondsText(m_longestPause) + "ms";
  }
  m_text += std::string(" ") + Word(aEnd) + ":" +
            MillisecondsText(aNow - m_begunAt) + "ms;";
}

} // namespace celeryspread
