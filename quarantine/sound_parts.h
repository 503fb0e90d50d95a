#pragma once

#include <list>
#include <optional>
#include <unordered_map>

#include "quarantine/crash_record.h"

namespace celeryspread {

/// Remembers when the last sound answer with each prompt part began, for the
/// parts that were used last.
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
  /// Returns how many parts are remembered. @pre none.
  [[nodiscard]] size_t Size() const { return m_byPart.size(); }

  static constexpr size_t kMaxParts = 4096;

private:
  struct Entry
  {
    PromptPartId m_part;
    TimePoint m_soundAt;
  };

  /// The part used last comes first.
  std::list<Entry> m_entries;
  std::unordered_map<PromptPartId, std::list<Entry>::iterator> m_byPart;
};

} // namespace celeryspread
