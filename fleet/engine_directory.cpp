#include "fleet/engine_directory.h"

#include <set>

namespace celeryspread {

namespace {

/// The platform's list lags by up to a second and is read about as often.
constexpr Duration kOwnNewsLife = std::chrono::milliseconds(2500);

} // namespace

void EngineDirectory::Clear()
{
  *this = EngineDirectory();
}

void EngineDirectory::Touch(Entry& aEntry)
{
  aEntry.m_changedAt = ++m_version;
}

const EngineRecord* EngineDirectory::Find(const UpstreamId& aId) const
{
  const auto found = m_entries.find(aId);
  const bool isPresent = found != m_entries.end() && !found->second.m_isGone;
  return isPresent ? &found->second.m_record : nullptr;
}

void EngineDirectory::Hold(EngineRecord& aRecord,
                           const ModelTarget& aTarget,
                           bool aIsHeld)
{
  const auto model = aRecord.m_models.find(aTarget.m_model);
  if (aTarget.m_adapter.empty()) {
    if (!aIsHeld) {
      aRecord.m_models.erase(aTarget.m_model);
    } else if (model == aRecord.m_models.end()) {
      aRecord.m_models[aTarget.m_model] = HeldModel{ 1, {} };
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

void EngineDirectory::ApplyOwnNews(EngineRecord& aRecord, TimePoint aNow)
{
  const auto news = m_ownNews.find(aRecord.m_id);
  if (news == m_ownNews.end()) {
    return;
  }
  std::erase_if(news->second,
                [&](const auto& aItem) { return aItem.second.m_until < aNow; });
  for (const auto& [target, item] : news->second) {
    Hold(aRecord, target, item.m_isHeld);
  }
}

EngineDirectory::ListNews EngineDirectory::ApplyList(
  std::vector<EngineRecord> aList,
  TimePoint aNow)
{
  ListNews news;
  std::set<UpstreamId> listed;
  for (EngineRecord& record : aList) {
    listed.insert(record.m_id);
    Entry& entry = m_entries[record.m_id];
    const bool isRestarted = entry.m_record.m_startedAt != record.m_startedAt;
    const bool isNew = entry.m_changedAt == 0 || entry.m_isGone || isRestarted;
    if (isNew) {
      m_ownNews.erase(record.m_id);
      news.m_appeared.push_back(record.m_id);
    }
    // Leaving is never taken back within one start; the list may go back.
    record.m_isLeaving =
      record.m_isLeaving || (!isRestarted && entry.m_record.m_isLeaving);
    ApplyOwnNews(record, aNow);
    if (isNew || record != entry.m_record) {
      entry.m_record = std::move(record);
      entry.m_isGone = false;
      Touch(entry);
    }
  }
  for (auto& [id, entry] : m_entries) {
    if (!entry.m_isGone && !listed.contains(id)) {
      entry.m_isGone = true;
      m_ownNews.erase(id);
      news.m_gone.push_back(id);
      Touch(entry);
    }
  }
  m_isKnown = true;
  return news;
}

void EngineDirectory::ApplyModels(
  const UpstreamId& aId,
  std::map<std::string, HeldModel, std::less<>> aModels,
  TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_isGone) {
    return;
  }
  EngineRecord record = found->second.m_record;
  record.m_models = std::move(aModels);
  ApplyOwnNews(record, aNow);
  if (record != found->second.m_record) {
    found->second.m_record = std::move(record);
    Touch(found->second);
  }
}

void EngineDirectory::NoteHeld(const UpstreamId& aId,
                               const ModelTarget& aTarget,
                               bool aIsHeld,
                               TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end() || found->second.m_isGone) {
    return;
  }
  m_ownNews[aId][aTarget] = { aIsHeld, aNow + kOwnNewsLife };
  EngineRecord record = found->second.m_record;
  Hold(record, aTarget, aIsHeld);
  if (record != found->second.m_record) {
    found->second.m_record = std::move(record);
    Touch(found->second);
  }
}

} // namespace celeryspread
