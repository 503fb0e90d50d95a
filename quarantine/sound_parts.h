#pragma once

#include <list>
#include <optional>
#include <unordered_map>

#include "quarantine/crash_record.h"

namespace celeryspread {

/// Remembers when the last sound answer with each prompt part began, for the
/// parts that were used last. Requests have a memory of their own, as nearly
/// each one is new and would displace a part.
/// @thread loop thread only.
class SoundParts
{
public:
  /// Records a sound answer that began at aBegunAt. @pre none.
  void Record(const PromptPartId& aPart, TimePoint aBegunAt);
  /// Returns when the last sound answer began; empty if none is remembered.
  /// @pre none.
  [[nodiscard]] std::optional<TimePoint> SoundAt(
    const PromptPartId& aPart) const;
  /// Returns the parts without a sound answer within kSoundMemory before aAt.
  /// @pre none.
  [[nodiscard]] PromptParts WithoutRecentAnswer(const PromptParts& aParts,
                                                TimePoint aAt) const;
  /// Returns how many parts and requests are remembered. @pre none.
  [[nodiscard]] size_t Size() const
  {
    return m_parts.m_byPart.size() + m_requests.m_byPart.size();
  }

  static constexpr size_t kMaxParts = 4096;

private:
  struct Entry
  {
    PromptPartId m_part;
    TimePoint m_soundAt;
  };

  struct Memory
  {
    /// The part used last comes first.
    std::list<Entry> m_entries;
    std::unordered_map<PromptPartId, std::list<Entry>::iterator> m_byPart;
  };

  [[nodiscard]] const Memory& MemoryOf(const PromptPartId& aPart) const;

  Memory m_parts;
  Memory m_requests;
};

} // namespace celeryspread
