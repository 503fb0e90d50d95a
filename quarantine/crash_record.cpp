#include "quarantine/crash_record.h"

#include <algorithm>

#include "quarantine/request_namer.h"

namespace celeryspread {

bool CrashRecord::HasPromptParts() const
{
  const auto hasPart = [](const PromptParts& aParts) {
    return std::any_of(
      aParts.begin(), aParts.end(), [](const PromptPartId& aPart) {
        return !RequestNamer::IsRequest(aPart);
      });
  };
  return std::any_of(m_calls.begin(), m_calls.end(), hasPart) ||
         std::any_of(
           m_unansweredCalls.begin(), m_unansweredCalls.end(), hasPart);
}

} // namespace celeryspread
