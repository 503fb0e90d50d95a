#include "control/settings_store.h"

#include "catalog/name_index.h"
#include "core/json_text.h"
#include "settings/tree_parser.h"

namespace celeryspread {

namespace {

using nlohmann::json;

/// Number of changes kept with their patches, for readers that fell behind and
/// to recognise a change that is sent again.
constexpr size_t kMaxKeptChanges = 4'096;

std::vector<SettingsError> CheckTree(const json& aTree)
{
  TreeParser parser;
  const std::optional<SettingsTree> tree = parser.Read(aTree);
  if (!tree) {
    return parser.Errors();
  }
  NameIndex names;
  if (!names.Build(*tree)) {
    return { names.Clash() };
  }
  return {};
}

} // namespace

SettingsStore::SettingsStore()
  : m_tree(json::object())
{
}

std::optional<ChangeResult> SettingsStore::FindAccepted(
  const SettingsChange& aChange) const
{
  const auto found = m_revisionOfChange.find(aChange.m_changeId);
  if (found == m_revisionOfChange.end()) {
    return std::nullopt;
  }
  return ChangeResult{ ChangeVerdict::Accepted, found->second, {}, {} };
}

ChangeResult SettingsStore::ConflictAt(Revision aExpected) const
{
  ChangeResult result;
  result.m_verdict = ChangeVerdict::Conflict;
  result.m_revision = m_revision;
  for (const AcceptedChange& change : m_changes) {
    if (change.m_revision == aExpected.Next()) {
      result.m_winner = change;
    }
  }
  return result;
}

std::optional<ChangeResult> SettingsStore::Check(
  const SettingsChange& aChange) const
{
  if (auto accepted = FindAccepted(aChange)) {
    return accepted;
  }
  if (aChange.m_expectedRevision != m_revision) {
    return ConflictAt(aChange.m_expectedRevision);
  }
  ChangeResult refused;
  refused.m_revision = m_revision;
  JsonReader reader(JsonLimits{});
  const std::optional<json> patch = reader.Parse(aChange.m_patch);
  if (!patch || !patch->is_object()) {
    refused.m_errors.push_back(
      { "/", "unreadable patch", patch ? "an object" : reader.LastReason() });
    return refused;
  }
  json next = m_tree;
  next.merge_patch(*patch);
  refused.m_errors = CheckTree(next);
  if (refused.m_errors.empty()) {
    return std::nullopt;
  }
  return refused;
}

ChangeResult SettingsStore::Apply(const SettingsChange& aChange, Duration aNow)
{
  if (auto accepted = FindAccepted(aChange)) {
    return *accepted;
  }
  if (aChange.m_expectedRevision != m_revision) {
    return ConflictAt(aChange.m_expectedRevision);
  }
  m_tree.merge_patch(json::parse(aChange.m_patch));
  m_revision = m_revision.Next();
  AddToHistory({ aChange.m_changeId,
                 aChange.m_operator,
                 m_revision,
                 aChange.m_patch,
                 aNow });
  return { ChangeVerdict::Accepted, m_revision, {}, {} };
}

void SettingsStore::AddToHistory(AcceptedChange aChange)
{
  m_revisionOfChange[aChange.m_changeId] = aChange.m_revision;
  m_changes.push_back(std::move(aChange));
  if (m_changes.size() > kMaxKeptChanges) {
    m_revisionOfChange.erase(m_changes.front().m_changeId);
    m_changes.pop_front();
  }
}

std::optional<std::vector<AcceptedChange>> SettingsStore::ChangesAfter(
  Revision aRevision) const
{
  std::vector<AcceptedChange> changes;
  if (aRevision >= m_revision) {
    return changes;
  }
  if (m_changes.empty() || m_changes.front().m_revision > aRevision.Next()) {
    return std::nullopt;
  }
  const size_t skipped =
    (aRevision.Next() - m_changes.front().m_revision).Value();
  changes.assign(m_changes.begin() + static_cast<ptrdiff_t>(skipped),
                 m_changes.end());
  return changes;
}

void SettingsStore::Restore(Revision aRevision,
                            const std::string& aTree,
                            std::deque<AcceptedChange> aChanges)
{
  m_revision = aRevision;
  m_tree = json::parse(aTree);
  m_changes = std::move(aChanges);
  m_revisionOfChange.clear();
  for (const AcceptedChange& change : m_changes) {
    m_revisionOfChange[change.m_changeId] = change.m_revision;
  }
}

} // namespace celeryspread
