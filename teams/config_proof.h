#pragma once

#include <deque>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Proves how old an entry's route configuration is. The control instances
/// state which version was the newest committed one at some time; a
/// configuration of that version or a newer one then held all changes
/// acknowledged until then.
/// @thread loop thread only.
class ConfigProof
{
public:
  /// Records that aVersion was the newest committed version at aProvenAt, on a
  /// clock that counts suspension. @pre none; statements may come in any order.
  void Record(Revision aVersion, TimePoint aProvenAt);
  /// Returns the time for which a configuration of a version is not proved to
  /// be the newest; empty if it never was. @pre none.
  [[nodiscard]] std::optional<Duration> Age(Revision aVersion,
                                            TimePoint aNow) const;
  /// Returns whether a newer version was proved to be committed. @pre none.
  [[nodiscard]] bool KnowsNewer(Revision aVersion) const;
  /// Records the version in force: what proves only older ones is dropped, so
  /// that the proof of this one stays however many newer ones are proved.
  /// @pre none.
  void SetVersion(Revision aVersion);

private:
  struct Statement
  {
    Revision m_version;
    TimePoint m_provenAt;
  };
  /// Drops statements that no other method needs, and the oldest about newer
  /// versions if there are too many.
  void DropUnneeded();

  /// Statements that prove something that no other one proves, by version and
  /// time. Older ones count until the document of a newer version has come.
  std::deque<Statement> m_statements;
  Revision m_version;
};

} // namespace celeryspread
