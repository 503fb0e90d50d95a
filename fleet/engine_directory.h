#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// All engines as the owner knows them. Each change gets a version, so that an
/// entry receives only the changes since the version it has.
///
/// The platform's list lags behind. The effect of an order therefore overrides
/// the list until the list has had time to include it.
/// @thread loop thread only.
class EngineDirectory
{
public:
  /// One engine and the directory version of its last change.
  struct Entry
  {
    EngineRecord m_record;
    uint64_t m_changedInVersion = 0;
    bool m_isGone = false;
  };
  using Entries = std::map<UpstreamId, Entry>;

  /// Engines that a new list added or removed; m_appeared includes those that
  /// restarted.
  struct ListChanges
  {
    std::vector<UpstreamId> m_appeared;
    std::vector<UpstreamId> m_gone;
  };

  /// What a follower of the directory needs to be at Version().
  struct Update
  {
    /// Whether m_entries replaces all that the follower has.
    bool m_isWhole = false;
    std::vector<const Entry*> m_entries;
  };

  /// Removes all engines and resets the version. @pre none.
  void Clear();
  /// Applies the platform's list. @pre aList holds all engines.
  ListChanges ApplyList(std::vector<EngineRecord> aList, TimePoint aNow);
  /// Applies an update from the owner to a copy of its directory, up to the
  /// owner's version aVersion. Engines missing from a whole update are removed.
  /// @pre the updates come in order, the first one whole.
  void ApplyUpdate(bool aIsWhole,
                   uint64_t aVersion,
                   std::vector<Entry> aEntries);
  /// Applies the models of an engine's report. @pre none.
  void ApplyModels(const UpstreamId& aId,
                   std::map<std::string, LoadedModel, std::less<>> aModels,
                   TimePoint aNow);
  /// Records that an order of this owner loaded or unloads a target, which
  /// overrides the platform's list for a while. @pre none.
  void RecordHeld(const UpstreamId& aId,
                  const ModelTarget& aTarget,
                  bool aIsHeld,
                  TimePoint aNow);

  /// Records the requests a second that an engine takes; 0 for no limit.
  /// @pre none.
  void RecordRateLimit(const UpstreamId& aId, double aRequestsPerSecond);

  /// Returns whether a list has been applied. @pre none.
  [[nodiscard]] bool HasList() const { return m_hasList; }
  /// Returns the version of the last change. @pre none.
  [[nodiscard]] uint64_t Version() const { return m_version; }
  /// Returns the update for a follower at aVersion, or for one without a
  /// version of this term. A copy does not know which engines had gone before
  /// its own first update, so it sends everything to followers from before
  /// that.
  /// @pre none; the pointers are valid until the next change.
  [[nodiscard]] Update UpdateSince(std::optional<uint64_t> aVersion) const;
  /// Returns whether UpdateSince(aVersion) is whole. @pre none.
  [[nodiscard]] bool NeedsWhole(std::optional<uint64_t> aVersion) const
  {
    return !aVersion || *aVersion < m_firstVersion;
  }
  /// Returns all entries, including those of engines that are gone. @pre none.
  [[nodiscard]] const Entries& All() const { return m_entries; }
  /// Finds an engine that is not gone; null for none. @pre none.
  [[nodiscard]] const EngineRecord* Find(const UpstreamId& aId) const;

private:
  /// Effect of an order on one target, which overrides the platform's list.
  struct OrderEffect
  {
    bool m_isHeld = false;
    TimePoint m_expiresAt;
  };

  static void SetHeld(EngineRecord& aRecord,
                      const ModelTarget& aTarget,
                      bool aIsHeld);
  void ApplyOrderEffects(EngineRecord& aRecord, TimePoint aNow);
  void MarkChanged(Entry& aEntry);

  Entries m_entries;
  std::map<UpstreamId, std::map<ModelTarget, OrderEffect>> m_orderEffects;
  uint64_t m_version = 0;
  /// The version from which on all removals are known.
  uint64_t m_firstVersion = 0;
  bool m_hasList = false;
};

} // namespace celeryspread
