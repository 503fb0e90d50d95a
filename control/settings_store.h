#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/commands.h"
#include "settings/settings_error.h"

namespace celeryspread {

/// An accepted change.
struct AcceptedChange
{
  ChangeId m_changeId;
  OperatorId m_operator;
  Revision m_revision;
  std::string m_patch;
  /// Wall time of acceptance.
  Duration m_at{};
};

/// How a change was answered.
enum class ChangeVerdict
{
  Accepted,
  /// Another change took the expected revision; m_winner names it.
  Conflict,
  Invalid
};

/// Answer to a change.
struct ChangeResult
{
  ChangeVerdict m_verdict = ChangeVerdict::Invalid;
  Revision m_revision;
  AcceptedChange m_winner;
  std::vector<SettingsError> m_errors;
};

/// The settings tree with its history; every replica applies the same changes
/// in the same order.
/// @thread loop thread only.
class SettingsStore
{
public:
  /// Starts with an empty tree at revision 0. @pre none.
  SettingsStore();

  /// Checks a change against the tree as it would be. @pre none.
  /// @return empty when it may be proposed, else its final answer.
  [[nodiscard]] std::optional<ChangeResult> Check(
    const SettingsChange& aChange) const;
  /// Applies a committed change. It was checked by a leader whose tree had
  /// the expected revision, so here only the revision is compared.
  /// @pre aNow is the command's wall time.
  ChangeResult Apply(const SettingsChange& aChange, Duration aNow);

  /// Returns the revision. @pre none.
  [[nodiscard]] Revision CurrentRevision() const { return m_revision; }
  /// Returns the tree as JSON text. @pre none.
  [[nodiscard]] std::string TreeText() const { return m_tree.dump(); }
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
  [[nodiscard]] std::optional<ChangeResult> FindAnswered(
    const SettingsChange& aChange) const;
  [[nodiscard]] ChangeResult ConflictAt(Revision aExpected) const;
  void Keep(AcceptedChange aChange);

  Revision m_revision;
  nlohmann::json m_tree;
  std::deque<AcceptedChange> m_changes;
  std::map<ChangeId, Revision> m_revisions;
};

} // namespace celeryspread
