#include "fleet/engine_directory.h"

#include <set>

namespace celeryspread {

namespace {

/// The platform's list lags by up to a second and is read about once a second.
constexpr Duration kOrderEffectLifetime = std::chrono::milliseconds(2500);

} // namespace

void EngineDirectory::Clear()
{
  *this = EngineDirectory();
}

void EngineDirectory::MarkChanged(Entry& aEntry)
{
  aEntry.m_changedInVersion = ++m_version;
}

const EngineRecord* EngineDirectory::Find(const UpstreamId& aId) const
{
  const auto found = m_entries.find(aId);
  const bool isPresent = found != m_entries.end() && !found->second.m_isGone;
  return isPresent ? &found->second.m_record : nullptr;
}

void EngineDirectory::SetHeld(EngineRecord& aRecord,
                              const ModelTarget& aTarget,
                              bool aIsHeld)
{
  const auto model = aRecord.m_models.find(aTarget.m_model);
  if (aTarget.m_adapter.empty()) {
    if (!aIsHeld) {
      aRecord.m_models.erase(aTarget.m_model);
    } else if (model == aRecord.m_models.end()) {
      aRecord.m_models[aTarget.m_model] = LoadedModel{ 1, {} };
    }
    return;
  }
  if (model == aRecord.m_models.end()) {
    return;
  }
  if (aIsHeld) {
    model->second.m_adapters.insert(aTarget.m_adapter);
  } else {
    model->second.m_adapters.erase(aTarget.m_adapter);
  }
}

void EngineDirectory::ApplyOrderEffects(EngineRecord& aRecord, TimePoint aNow)
{
  const auto effects = m_orderEffects.find(aRecord.m_id);
  if (effects == m_orderEffects.end()) {
    return;
  }
  std::erase_if(effects->second, [&](const auto& aEffect) {
    return aEffect.second.m_expiresAt < aNow;
  });
  for (const auto& [target, effect] : effects->second) {
    SetHeld(aRecord, target, effect.m_isHeld);
  }
}

EngineDirectory::ListChanges EngineDirectory::ApplyList(
  std::vector<EngineRecord> aList,
  TimePoint aNow)
{
  ListChanges changes;
  std::set<UpstreamId> listed;
  for (EngineRecord& record : aList) {
    listed.insert(record.m_id);
    Entry& entry = m_entries[record.m_id];
    const bool isRestarted = entry.m_record.m_startedAt != record.m_startedAt;
    const bool isNew =
      entry.m_changedInVersion == 0 || entry.m_isGone || isRestarted;
    if (isNew) {
      m_orderEffects.erase(record.m_id);
      changes.m_appeared.push_back(record.m_id);
    }
    // An engine that leaves stays leaving until it restarts, but the list may
    // return an older state.
    record.m_isLeaving =
      record.m_isLeaving || (!isRestarted && entry.m_record.m_isLeaving);
    // Engines name it in their answers; the list doesn't.
    record.m_rateLimit = isNew ? 0 : entry.m_record.m_rateLimit;
    ApplyOrderEffects(record, aNow);
    const bool isChanged = isNew || !record.IsSameForEntries(entry.m_record);
    entry.m_record = std::move(record);
    entry.m_isGone = false;
    if (isChanged) {
      MarkChanged(entry);
    }
  }
  for (auto& [id, entry] : m_entries) {
    if (!entry.m_isGone && !listed.contains(id)) {
      entry.m_isGone = true;
      m_orderEffects.erase(id);
      changes.m_gone.push_back(id);
      MarkChanged(entry);
    }
  }
  m_hasList = true;
  return changes;
}

void EngineDirectory::ApplyUpdate(bool aIsWhole,
                                  uint64_t aVersion,
                                  std::vector<Entry> aEntries)
{
  if (aIsWhole) {
    Clear();
    m_firstVersion = aVersion;
  }
  m_version = aVersion;
  m_hasList = true;
  for (Entry& entry : aEntries) {
    // A follower at an older version needs the change again.
    entry.m_changedInVersion = aVersion;
    const UpstreamId id = entry.m_record.m_id;
    m_entries[id] = std::move(entry);
  }
}

EngineDirectory::Update EngineDirectory::UpdateSince(
  std::optional<uint64_t> aVersion) const
{
  Update update;
  update.m_isWhole = NeedsWhole(aVersion);
  for (const auto& [id, entry] : m_entries) {
    const bool isSent =
      update.m_isWhole ? !entry.m_isGone : entry.m_changedInVersion > *aVersion;
    if (isSent) {
      update.m_entries.push_back(&entry);
    }
  }
  return update;
}

void EngineDirectory::ApplyModels(
  const UpstreamId& aId,
  std::map<std::string, LoadedModel, std::less<>> aModels,
  TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_isGone) {
    return;
  }
  EngineRecord record = found->second.m_record;
  record.m_models = std::move(aModels);
  ApplyOrderEffects(record, aNow);
  if (record != found->second.m_record) {
    found->second.m_record = std::move(record);
    MarkChanged(found->second);
  }
}

void EngineDirectory::RecordHeld(const UpstreamId& aId,
                                 const ModelTarget& aTarget,
                                 bool aIsHeld,
                                 TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_isGone) {
    return;
  }
  m_orderEffects[aId][aTarget] = { aIsHeld, aNow + kOrderEffectLifetime };
  EngineRecord record = found->second.m_record;
  SetHeld(record, aTarget, aIsHeld);
  if (record != found->second.m_record) {
    found->second.m_record = std::move(record);
    MarkChanged(found->second);
  }
}

void EngineDirectory::RecordRateLimit(const UpstreamId& aId,
                                      double aRequestsPerSecond)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_isGone ||
      found->second.m_record.m_rateLimit == aRequestsPerSecond) {
    return;
  }
  found->second.m_record.m_rateLimit = aRequestsPerSecond;
  MarkChanged(found->second);
}

} // namespace celeryspread
