#include "routes/route_config.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace celeryspread {

namespace {

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

std::string_view WithoutPort(std::string_view aHost)
{
  const size_t colon = aHost.rfind(':');
  return colon == std::string_view::npos ? aHost : aHost.substr(0, colon);
}

std::string CheckRoute(const Route& aRoute, const std::set<PoolId>& aPools)
{
  const std::string where = "route \"" + aRoute.m_id.Value() + "\": ";
  if (aRoute.m_host.empty()) {
    return where + "no host";
  }
  const bool isPrefix = !aRoute.m_pathPrefix.empty() &&
                        aRoute.m_pathPrefix.front() == '/' &&
                        aRoute.m_pathPrefix.back() == '/';
  if (!isPrefix) {
    return where + "the path prefix must begin and end with a slash";
  }
  if (aRoute.m_timeout <= Duration::zero()) {
    return where + "the timeout must be above 0";
  }
  uint64_t weights = 0;
  for (const PoolShare& share : aRoute.m_pools) {
    if (!aPools.contains(share.m_pool)) {
      return where + "pool \"" + share.m_pool.Value() + "\" is not declared";
    }
    weights += share.m_weight;
  }
  return weights == 0 ? where + "the weights add up to 0" : "";
}

/// Returns the fault of the teams, empty for none. It names no key.
std::string CheckTeams(const std::vector<Team>& aTeams)
{
  // Sums over a window stay exact in a double.
  constexpr double kMaxQuota = 1e12;
  const auto isValid = [](double aNumber) {
    return aNumber >= 0 && aNumber <= kMaxQuota;
  };
  std::set<TeamId> ids;
  std::map<std::string_view, const Team*> holders;
  for (const Team& team : aTeams) {
    const std::string where = "team \"" + team.m_id.Value() + "\": ";
    if (team.m_id.IsEmpty() || !ids.insert(team.m_id).second) {
      return where + "is declared twice or has no name";
    }
    if (!isValid(team.m_quota.m_ratePerSecond) ||
        !isValid(team.m_quota.m_burst)) {
      return where + "the quota is out of range";
    }
    for (const std::string& key : team.m_keys) {
      if (key.empty()) {
        return where + "a key is empty";
      }
      const auto added = holders.emplace(key, &team);
      if (!added.second && added.first->second != &team) {
        return where + "shares a key with team \"" +
               added.first->second->m_id.Value() + "\"";
      }
    }
  }
  return "";
}

} // namespace

std::shared_ptr<const RouteConfig> RouteConfig::Make(RouteConfigData aData,
                                                     std::string& aReason)
{
  std::set<PoolId> pools;
  for (const Pool& pool : aData.m_pools) {
    if (pool.m_id.IsEmpty() || !pools.insert(pool.m_id).second) {
      aReason = "pool \"" + pool.m_id.Value() + "\" is declared twice or empty";
      return nullptr;
    }
  }
  std::set<std::pair<std::string, std::string>> hostPrefixes;
  for (Route& route : aData.m_routes) {
    route.m_host = LowerCase(route.m_host);
    aReason = CheckRoute(route, pools);
    if (!aReason.empty()) {
      return nullptr;
    }
    if (!hostPrefixes.emplace(route.m_host, route.m_pathPrefix).second) {
      aReason = "route \"" + route.m_id.Value() +
                "\": another route has the same host and path prefix";
      return nullptr;
    }
  }
  aReason = CheckTeams(aData.m_teams);
  if (!aReason.empty()) {
    return nullptr;
  }
  return std::shared_ptr<const RouteConfig>(new RouteConfig(std::move(aData)));
}

RouteConfig::RouteConfig(RouteConfigData aData)
  : m_data(std::move(aData))
{
  for (const Route& route : m_data.m_routes) {
    m_byHost[route.m_host][route.m_pathPrefix] = &route;
  }
  for (const Pool& pool : m_data.m_pools) {
    m_byPool[pool.m_id] = &pool;
  }
}

const Route* RouteConfig::Find(std::string_view aHost,
                               std::string_view aPath) const
{
  const auto host = m_byHost.find(LowerCase(WithoutPort(aHost)));
  if (host == m_byHost.end()) {
    return nullptr;
  }
  const auto& prefixes = host->second;
  // Every prefix ends with a slash, so only paths cut after a slash can match.
  for (size_t length = aPath.size(); length > 0; --length) {
    if (aPath[length - 1] != '/') {
      continue;
    }
    const auto found = prefixes.find(aPath.substr(0, length));
    if (found != prefixes.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const Pool* RouteConfig::FindPool(const PoolId& aId) const
{
  const auto found = m_byPool.find(aId);
  return found == m_byPool.end() ? nullptr : found->second;
}

} // namespace celeryspread
