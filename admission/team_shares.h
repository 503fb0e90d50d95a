#pragma once

#include <map>

#include "core/clock.h"
#include "core/ids.h"

namespace celeryspread {

/// Divides what a pool serves among teams while they ask for more: max-min by
/// tokens. A team that asks for less than an equal share gets all of it; the
/// others share the rest equally.
///
/// Demand and use are averages over about a second, so that a team whose demand
/// rises is limited within that time.
/// @thread loop thread only.
class TeamShares
{
public:
  /// What a team uses, compared with its share.
  enum class Use
  {
    /// The demands of all teams fit what the pool serves.
    Plenty,
    /// The team asks for no more than its share.
    Within,
    /// It asks for more, and has not used up its share.
    Limited,
    /// It has used up its share.
    Exceeded
  };

  /// Records a call that asks for admission. @pre aNow does not decrease.
  void RecordDemand(const TeamId& aTeam, double aTokens, TimePoint aNow);
  /// Records a call that was admitted. @pre as RecordDemand().
  void RecordAdmitted(const TeamId& aTeam, double aTokens, TimePoint aNow);
  /// Compares a team's use with its share of aTokensPerSecond. @pre as
  /// RecordDemand(); aTokensPerSecond is 0 if it is not known.
  [[nodiscard]] Use Compare(const TeamId& aTeam,
                            double aTokensPerSecond,
                            TimePoint aNow);

private:
  static constexpr Duration kAveraging = std::chrono::seconds(1);
  /// The shares of 1,000 teams are computed anew no more often than this.
  static constexpr Duration kLevelPeriod = std::chrono::milliseconds(50);
  /// Teams that have used less are forgotten. @unit tokens per second.
  static constexpr double kForgottenRate = 1e-3;
  /// Exponential averages. @unit tokens per second.
  struct Rates
  {
    double m_demand = 0;
    double m_use = 0;
    TimePoint m_updatedAt;
  };

  static void Decay(Rates& aRates, TimePoint aNow);
  /// Computes the largest share of a team.
  void UpdateLevel(double aTokensPerSecond, TimePoint aNow);

  std::map<TeamId, Rates> m_teams;
  /// Largest share of a team; negative if all demands fit.
  /// @unit tokens per second.
  double m_level = -1;
  TimePoint m_levelAt = TimePoint::min();
};

} // namespace celeryspread
