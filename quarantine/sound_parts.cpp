#include "quarantine/sound_parts.h"

#include <algorithm>

#include "quarantine/request_namer.h"

namespace celeryspread {

const SoundParts::Memory& SoundParts::MemoryOf(const PromptPartId& aPart) const
{
  return RequestNamer::IsRequest(aPart) ? m_requests : m_parts;
}

void SoundParts::Record(const PromptPartId& aPart, TimePoint aBegunAt)
{
  Memory& memory = RequestNamer::IsRequest(aPart) ? m_requests : m_parts;
  std::list<Entry>& entries = memory.m_entries;
  const auto found = memory.m_byPart.find(aPart);
  if (found != memory.m_byPart.end()) {
    Entry& entry = *found->second;
    entry.m_soundAt = std::max(entry.m_soundAt, aBegunAt);
    entries.splice(entries.begin(), entries, found->second);
    return;
  }
  entries.push_front({ aPart, aBegunAt });
  memory.m_byPart[aPart] = entries.begin();
  if (entries.size() > kMaxParts) {
    memory.m_byPart.erase(entries.back().m_part);
    entries.pop_back();
  }
}

std::optional<TimePoint> SoundParts::SoundAt(const PromptPartId& aPart) const
{
  const auto& byPart = MemoryOf(aPart).m_byPart;
  const auto found = byPart.find(aPart);
  return found == byPart.end()
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
