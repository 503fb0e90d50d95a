#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// The owner's picture of all engines, with a version for each change so that
/// entries get only what is new to them.
///
/// The platform's list lags; what an order changed is known better here until
/// the list had time to follow.
/// @thread loop thread only.
class EngineDirectory
{
public:
  /// One engine and the directory version of its last change.
  struct Entry
  {
    EngineRecord m_record;
    uint64_t m_changedAt = 0;
    bool m_isGone = false;
  };
  using Entries = std::map<UpstreamId, Entry>;

  /// What a list changed.
  struct ListNews
  {
    std::vector<UpstreamId> m_appeared;
    std::vector<UpstreamId> m_gone;
  };

  /// Forgets everything. @pre none.
  void Clear();
  /// Takes the platform's list. @pre it is whole.
  ListNews ApplyList(std::vector<EngineRecord> aList, TimePoint aNow);
  /// Takes what an engine says it holds. @pre none.
  void ApplyModels(const UpstreamId& aId,
                   std::map<std::string, HeldModel, std::less<>> aModels,
                   TimePoint aNow);
  /// Notes that a target is loaded, or no longer, by an own order. @pre none.
  void NoteHeld(const UpstreamId& aId,
                const ModelTarget& aTarget,
                bool aIsHeld,
                TimePoint aNow);

  /// Tells whether a list was taken. @pre none.
  [[nodiscard]] bool IsKnown() const { return m_isKnown; }
  /// Returns the version of the last change. @pre none.
  [[nodiscard]] uint64_t Version() const { return m_version; }
  /// Returns all entries; those of engines that are gone stay for a while.
  /// @pre none.
  [[nodiscard]] const Entries& All() const { return m_entries; }
  /// Finds a present engine; null for none. @pre none.
  [[nodiscard]] const EngineRecord* Find(const UpstreamId& aId) const;

private:
  struct OwnNews
  {
    bool m_isHeld = false;
    TimePoint m_until;
  };

  static void Hold(EngineRecord& aRecord,
                   const ModelTarget& aTarget,
                   bool aIsHeld);
  void ApplyOwnNews(EngineRecord& aRecord, TimePoint aNow);
  void Touch(Entry& aEntry);

  Entries m_entries;
  std::map<UpstreamId, std::map<ModelTarget, OwnNews>> m_ownNews;
  uint64_t m_version = 0;
  bool m_isKnown = false;
};

} // namespace celeryspread
