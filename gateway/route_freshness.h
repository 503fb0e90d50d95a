#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// What a control instance states about route versions in one answer.
struct RouteStatement
{
  /// IP address of the instance.
  std::string m_control;
  /// The newest version that the instance has; 0 if it does not say so.
  Revision m_offered;
  /// The newest version that is proved to be committed; 0 for no proof.
  Revision m_proven;
  /// When it was the newest; empty for no proof.
  std::optional<TimePoint> m_provenAt;
};

/// Compares the route configuration that an entry obeys with what control
/// instances state about newer ones, and tells when an instance can't bring the
/// entry up to date.
///
/// An instance that is current in one respect, as with its copy of the engine
/// directory, may lag in another: its replica may take no part, may have been
/// removed, or may still replay its log.
/// @thread loop thread only.
class RouteFreshness
{
public:
  /// A version that was first heard of this long ago is overdue. A relay's
  /// replica has the newest version within a fraction of it.
  static constexpr Duration kMaxLag = std::chrono::milliseconds(1000);
  /// The proofs of an instance that is in touch with the owner are younger.
  static constexpr Duration kMaxProofAge = std::chrono::milliseconds(1500);

  /// Records that a version received from aControl is in force. @pre none; an
  /// older version is ignored.
  void RecordInForce(Revision aVersion,
                     const std::string& aControl,
                     TimePoint aNow);
  /// Records what an instance states. @pre none.
  void RecordStatement(const RouteStatement& aStatement, TimePoint aNow);

  /// Returns the version in force, 0 for none. @pre none.
  [[nodiscard]] Revision Version() const { return m_version; }
  /// Returns the newest version heard of. @pre none.
  [[nodiscard]] Revision Newest() const { return m_newest; }
  /// Returns the instance that the version in force came from. @pre none.
  [[nodiscard]] const std::string& Source() const { return m_source; }
  /// Returns the time for which the version has been in force; empty before the
  /// first one. @pre none.
  [[nodiscard]] std::optional<Duration> TimeInForce(TimePoint aNow) const;
  /// Returns the time for which a newer version than the one in force has been
  /// known to exist; zero if none is. @pre none.
  [[nodiscard]] Duration Lag(TimePoint aNow) const;
  /// Returns whether the instance that made a statement lacks a version that is
  /// overdue or has no recent proof, so that another one has to be asked. How
  /// far the entry is behind plays no part. Proofs are expected only once some
  /// instance gave one. @pre none.
  [[nodiscard]] bool IsInstanceOutdated(const RouteStatement& aStatement,
                                        TimePoint aNow) const;

private:
  Revision m_version;
  Revision m_newest;
  /// The newest versions heard of, in order, and when. The first one is the
  /// newest that is overdue, once it is.
  std::deque<std::pair<Revision, TimePoint>> m_heard;
  std::optional<TimePoint> m_lastProofAt;
  std::string m_source;
  std::optional<TimePoint> m_inForceSince;
  /// When each newer version than the one in force was first heard of. During
  /// many changes in series some versions are left out.
  std::map<Revision, TimePoint> m_missing;
};

} // namespace celeryspread
