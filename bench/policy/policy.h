#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"

namespace celeryspread::bench {

/// Chooses an upstream; the product's router and the baselines.
/// @thread one thread.
class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;
  /// Chooses among the holders of the query's target. @pre none.
  /// @error empty when none may take the call.
  virtual std::optional<UpstreamId> Choose(const RouteQuery& aQuery,
                                           TimePoint aNow) = 0;
  /// Returns how long to wait for a first token. @pre none.
  [[nodiscard]] virtual Duration Patience(const RouteQuery& /*aQuery*/) const
  {
    return std::chrono::hours(1);
  }
  /// Chooses for a call that waited too long. @pre none. @error empty.
  virtual std::optional<UpstreamId> ChooseFree(const RouteQuery& /*aQuery*/,
                                               TimePoint /*aNow*/)
  {
    return std::nullopt;
  }
};

/// Which parts of the product's decisions a policy uses.
struct Policy
{
  std::string m_name;
  /// Makes the routing strategy of one entry.
  std::unique_ptr<RoutingStrategy> (*m_make)(const UpstreamTable&,
                                             RandomSource&);
  bool m_hasGate = false;
  bool m_watchesSlowness = false;
  bool m_hasPriorities = false;
  uint32_t m_maxQueued = 0;
};

/// Returns the product, its parts switched off, and the baselines.
/// @pre none. @thread any.
const std::vector<Policy>& AllPolicies();

/// Finds a policy by name, null when there is none. @thread any.
const Policy* FindPolicy(const std::string& aName);

} // namespace celeryspread::bench
