#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/commands.h"
#include "core/json_text.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// A change of the settings that was accepted as a revision.
struct AcceptedChange
{
  ChangeId m_changeId;
  OperatorId m_operator;
  Revision m_revision;
  std::string m_patch;
  /// Wall time of acceptance.
  Duration m_at{};
};

/// Whether a change was accepted.
enum class ChangeVerdict
{
  Accepted,
  /// The tree is no longer at the expected revision; m_winner is the change
  /// that was accepted on top of it, if it is still kept.
  Conflict,
  Invalid
};

/// Result of a change.
struct ChangeResult
{
  ChangeVerdict m_verdict = ChangeVerdict::Invalid;
  Revision m_revision;
  AcceptedChange m_winner;
  std::vector<SettingsError> m_errors;
};

/// The settings tree and its latest changes. Every replica applies the same
/// changes in the same order.
/// @thread loop thread only.
class SettingsStore
{
public:
  /// Starts with an empty tree at revision 0. @pre none.
  SettingsStore();

  /// Checks a change and the tree that it would give. @pre none.
  /// @return empty when the change may be proposed, else its final result.
  [[nodiscard]] std::optional<ChangeResult> Check(
    const SettingsChange& aChange) const;
  /// Applies a committed change. A leader whose tree was at the expected
  /// revision has checked it, so only the revision is compared here.
  /// @pre aNow is the command's wall time.
  ChangeResult Apply(const SettingsChange& aChange, Duration aNow);

  /// Returns the revision of the tree. @pre none.
  [[nodiscard]] Revision CurrentRevision() const { return m_revision; }
  /// Returns the tree as JSON text. @pre none.
  [[nodiscard]] std::string TreeText() const { return FormatJson(m_tree); }
  /// Returns the tree. @pre none.
  [[nodiscard]] const nlohmann::json& Tree() const { return m_tree; }
  /// Returns the kept changes, oldest first. @pre none.
  [[nodiscard]] const std::deque<AcceptedChange>& Changes() const
  {
    return m_changes;
  }
  /// Returns the changes after a revision. @pre none.
  /// @error empty when some of them are no longer kept.
  [[nodiscard]] std::optional<std::vector<AcceptedChange>> ChangesAfter(
    Revision aRevision) const;
  /// Replaces the state by that of a snapshot. @pre aTree is valid JSON.
  void Restore(Revision aRevision,
               const std::string& aTree,
               std::deque<AcceptedChange> aChanges);

private:
  /// Returns the result of a change that was accepted before, so that sending
  /// it again changes nothing.
  [[nodiscard]] std::optional<ChangeResult> FindAccepted(
    const SettingsChange& aChange) const;
  [[nodiscard]] ChangeResult ConflictAt(Revision aExpected) const;
  void AddToHistory(AcceptedChange aChange);

  Revision m_revision;
  nlohmann::json m_tree;
  std::deque<AcceptedChange> m_changes;
  std::map<ChangeId, Revision> m_revisionOfChange;
};

} // namespace celeryspread
