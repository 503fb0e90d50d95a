#include "admission/team_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace celeryspread {

void TeamShares::Decay(Rates& aRates, TimePoint aNow)
{
  const std::chrono::duration<double> since = aNow - aRates.m_updatedAt;
  const double factor =
    std::exp(-since / std::chrono::duration<double>(kAveraging));
  aRates.m_demand *= factor;
  aRates.m_use *= factor;
  aRates.m_updatedAt = aNow;
}

void TeamShares::RecordDemand(const TeamId& aTeam,
                              double aTokens,
                              TimePoint aNow)
{
  Rates& rates = m_teams[aTeam];
  Decay(rates, aNow);
  rates.m_demand += aTokens;
}

void TeamShares::RecordAdmitted(const TeamId& aTeam,
                                double aTokens,
                                TimePoint aNow)
{
  Rates& rates = m_teams[aTeam];
  Decay(rates, aNow);
  rates.m_use += aTokens;
}

void TeamShares::UpdateLevel(double aTokensPerSecond, TimePoint aNow)
{
  m_levelAt = aNow;
  m_level = -1;
  std::vector<double> demands;
  for (auto it = m_teams.begin(); it != m_teams.end();) {
    Decay(it->second, aNow);
    if (it->second.m_demand < kForgottenRate) {
      it = m_teams.erase(it);
      continue;
    }
    demands.push_back(it->second.m_demand);
    ++it;
  }
  std::sort(demands.begin(), demands.end());
  double left = aTokensPerSecond;
  size_t teamsLeft = demands.size();
  for (const double demand : demands) {
    const double share = left / static_cast<double>(teamsLeft);
    if (demand > share) {
      m_level = share;
      return;
    }
    left -= demand;
    --teamsLeft;
  }
}

TeamShares::Use TeamShares::Compare(const TeamId& aTeam,
                                    double aTokensPerSecond,
                                    TimePoint aNow)
{
  if (aTokensPerSecond <= 0 || m_teams.size() < 2) {
    return Use::Plenty;
  }
  if (m_levelAt == TimePoint::min() || aNow - m_levelAt >= kLevelPeriod) {
    UpdateLevel(aTokensPerSecond, aNow);
  }
  const auto found = m_teams.find(aTeam);
  if (m_level < 0 || found == m_teams.end()) {
    return Use::Plenty;
  }
  Decay(found->second, aNow);
  if (found->second.m_demand <= m_level) {
    return Use::Within;
  }
  return found->second.m_use < m_level ? Use::Limited : Use::Exceeded;
}

} // namespace celeryspread
