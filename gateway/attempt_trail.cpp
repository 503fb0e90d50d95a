#include "gateway/attempt_trail.h"

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
  const bool hasReading = aState.m_readingAt != TimePoint();
  m_text += m_text.empty() ? "" : " ";
  m_text += aState.m_record.m_id.Value() +
            " load:" + std::to_string(aState.EstimatedLoad(aNow)) + "/" +
            std::to_string(aState.m_record.m_slots) + " reading_ms:" +
            (hasReading ? MillisecondsText(aNow - aState.m_readingAt) : "none");
}

void AttemptTrail::End(AttemptEnd aEnd, TimePoint aNow)
{
  m_text += std::string(" ") + Word(aEnd) + ":" +
            MillisecondsText(aNow - m_begunAt) + "ms;";
}

} // namespace celeryspread
