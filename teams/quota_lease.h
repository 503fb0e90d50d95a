#pragma once

#include <map>
#include <optional>
#include <vector>

#include "teams/quota_pool.h"

namespace celeryspread {

/// Answer of an owner to a request of an entry.
struct QuotaAnswer
{
  std::vector<QuotaGrant> m_grants;
  /// 0 while unknown.
  uint32_t m_entryCount = 0;
  /// Term of the owner.
  uint64_t m_epoch = 0;
  /// Window of the quotas.
  Duration m_window{};
};

/// What one entry holds of the quotas of teams, for calls to come.
///
/// What is held expires unless the owner is told of it again. Calls that don't
/// fit are asked for one by one.
/// @thread loop thread only.
class QuotaLeases
{
public:
  /// Without an answer for this long, the entry uses a part of its own. Longer
  /// than the owner takes to count it as silent, so that nothing is used twice.
  static constexpr Duration kAloneAfter = std::chrono::seconds(2);

  /// Starts without anything. @pre none.
  explicit QuotaLeases(TimePoint aStartedAt);

  /// Applies the quotas of a configuration. @pre none.
  void SetTeams(const std::vector<Team>& aTeams);
  /// Returns whether any team has a quota. @pre none.
  [[nodiscard]] bool HasQuotas() const { return !m_teams.empty(); }
  /// Records a call of a team that asks for its cost. @pre none; unknown teams
  /// are ignored, as by the other methods.
  void RecordCall(const TeamId& aTeam, uint64_t aCost, TimePoint aNow);
  /// Takes a cost from what is held. @pre none. @error false if it doesn't fit.
  bool TryTake(const TeamId& aTeam, uint64_t aCost, TimePoint aNow);
  /// Gives back a cost. @pre it was taken.
  void GiveBack(const TeamId& aTeam, uint64_t aCost);
  /// Returns after which time a cost will be there, if the owner has denied one
  /// like it a moment ago; empty if it is worth to ask. @pre none.
  [[nodiscard]] std::optional<Duration> DeniedFor(const TeamId& aTeam,
                                                  uint64_t aCost,
                                                  TimePoint aNow,
                                                  uint32_t aRank = 0) const;
  /// Returns whether calls of the team are denied, here or elsewhere, so that
  /// what is held is for its most urgent calls. @pre none.
  [[nodiscard]] bool IsScarce(const TeamId& aTeam) const;
  /// Returns after which time a cost will be there that the owner denied; empty
  /// if it denied none, or it should be there. @pre none.
  [[nodiscard]] std::optional<Duration> AvailableAfter(const TeamId& aTeam,
                                                       TimePoint aNow) const;
  /// Takes a cost from this entry's own part of the quota, as no owner answers.
  /// @pre none. @error false if it doesn't fit, or an owner has answered a
  /// moment ago.
  bool TryTakeAlone(const TeamId& aTeam, uint64_t aCost, TimePoint aNow);

  /// Writes what to ask the owner for. @pre aNeeded are the costs of the calls
  /// that wait, by team; aRequest has its number; one request is on its way at
  /// a time.
  void MakeDemands(const std::map<TeamId, std::vector<uint64_t>>& aNeeded,
                   TimePoint aNow,
                   QuotaRequest& aRequest);
  /// Applies an answer of the owner to the last request, which was sent at
  /// aSentAt. @pre none.
  void Apply(const QuotaAnswer& aAnswer, TimePoint aSentAt, TimePoint aNow);
  /// Returns what is held of all teams. @pre none. @unit tokens or calls.
  [[nodiscard]] double TotalHeld() const;

private:
  struct TeamState
  {
    TeamQuota m_quota;
    /// Unspent amount; the owner counts it until it expires.
    double m_held = 0;
    TimePoint m_expiresAt;
    /// Smoothed calls and cost a second, as of m_rateAt.
    double m_callRate = 0;
    double m_costRate = 0;
    TimePoint m_rateAt;
    /// When the last call came, and what the rate of calls was then.
    TimePoint m_calledAt;
    double m_rateAtCall = 0;
    /// Calls of the team are denied, perhaps elsewhere.
    bool m_isScarce = false;
    QuotaWindow m_used;
    /// What the owner was told to be held here.
    double m_toldHeld = 0;
    TimePoint m_toldAt;
    /// Costs of the last request.
    uint64_t m_leastNeeded = 0;
    uint64_t m_mostNeeded = 0;
    /// The owner denied a cost; it will be there at m_availableAt.
    uint64_t m_deniedCost = 0;
    uint32_t m_deniedRank = 0;
    TimePoint m_deniedUntil;
    TimePoint m_availableAt;
    /// Own part of the quota while no owner answers.
    double m_own = 0;
    TimePoint m_ownAt;
    /// All that was ever taken from it, and when last.
    double m_usedAlone = 0;
    TimePoint m_usedAloneAt;
  };

  TeamState* Find(const TeamId& aTeam);
  static void DropExpired(TeamState& aState, TimePoint aNow);
  static void Decay(TeamState& aState, TimePoint aNow);
  /// Writes what a team's coming calls need, or what they don't.
  static void PlanLease(TeamState& aState,
                        TimePoint aNow,
                        QuotaDemand& aDemand);

  std::map<TeamId, TeamState> m_teams;
  /// When the last request was sent that an owner answered.
  TimePoint m_answeredAt;
  /// Numbers of that request and of the last one.
  uint64_t m_answeredSequence = 0;
  uint64_t m_lastSequence = 0;
  uint32_t m_entryCount = 0;
  Duration m_window = std::chrono::seconds(8);
  /// Term of the owner that answered last, and whether it knows what this entry
  /// used before.
  uint64_t m_epoch = 0;
  bool m_reportsUse = true;
};

} // namespace celeryspread
