#include "quarantine/sound_parts.h"

#include <algorithm>

namespace celeryspread {

void SoundParts::Record(const PromptPartId& aPart, TimePoint aBegunAt)
{
  const auto found = m_byPart.find(aPart);
  if (found != m_byPart.end()) {
    Entry& entry = *found->second;
    entry.m_soundAt = std::max(entry.m_soundAt, aBegunAt);
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return;
  }
  m_entries.push_front({ aPart, aBegunAt });
  m_byPart[aPart] = m_entries.begin();
  if (m_entries.size() > kMaxParts) {
    m_byPart.erase(m_entries.back().m_part);
    m_entries.pop_back();
  }
}

std::optional<TimePoint> SoundParts::SoundAt(const PromptPartId& aPart) const
{
  const auto found = m_byPart.find(aPart);
  return found == m_byPart.end()
           ? std::nullopt
           : std::optional<TimePoint>(found->second->m_soundAt);
}

PromptParts SoundParts::WithoutRecentAnswer(const PromptParts& aParts,
                                            TimePoint aAt) const
{
  PromptParts parts;
  for (const PromptPartId& part : aParts) {
    const auto soundAt = SoundAt(part);
    if (!soundAt || *soundAt <= aAt - kSoundMemory) {
      parts.push_back(part);
    }
  }
  return parts;
}

} // namespace celeryspread
