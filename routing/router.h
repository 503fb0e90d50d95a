#pragma once

#include <optional>
#include <set>
#include <string>

#include "core/random_source.h"
#include "routing/upstream_table.h"

namespace celeryspread {

/// Why no upstream was chosen. Each means that the call has not run.
enum class RouteError
{
  NotResident,
  AllLeaving,
  AllTried,
  AllBusy
};

/// What to choose an upstream for.
struct RouteQuery
{
  /// Engine name of the target; empty for a plain service.
  std::string m_engineName;
  PlainServiceId m_plainService;
  /// Upstreams already tried for this call.
  std::set<UpstreamId> m_tried;
  Duration m_remotePenalty{};
  uint32_t m_maxQueued = 0;
};

/// Chooses the upstream with the least expected time to finish.
/// @thread loop thread only.
class Router
{
public:
  /// Routes for an entry of aOwnDomain. @pre arguments outlive the router.
  Router(const UpstreamTable& aTable,
         FailureDomainId aOwnDomain,
         RandomSource& aRandom);
  /// Chooses an upstream. @pre exactly one of the query's targets is set.
  /// @error empty; LastError() tells why.
  std::optional<UpstreamId> Choose(const RouteQuery& aQuery, TimePoint aNow);
  /// Returns how long a call should wait for its first token before it is
  /// better moved to another upstream. @pre the query names an engine target.
  [[nodiscard]] Duration FirstTokenPatience(const RouteQuery& aQuery) const;
  /// Chooses an upstream with a free slot for a call that waits too long.
  /// @pre the query's tried upstreams hold the present one.
  /// @error empty when there is none; the call had better stay.
  std::optional<UpstreamId> ChooseFree(const RouteQuery& aQuery,
                                       TimePoint aNow);
  /// Returns why the last Choose() failed. @pre it failed.
  [[nodiscard]] RouteError LastError() const { return m_lastError; }
  /// Returns how long the last choice is expected to wait for a slot.
  /// @pre Choose() succeeded.
  [[nodiscard]] Duration LastExpectedWait() const { return m_lastWait; }

private:
  [[nodiscard]] static Duration ExpectedWait(const UpstreamState& aState,
                                             Duration aPeerServiceTime);
  [[nodiscard]] Duration ExpectedFinish(const UpstreamState& aState,
                                        const RouteQuery& aQuery,
                                        Duration aPeerServiceTime) const;
  bool Collect(const RouteQuery& aQuery, TimePoint aNow);
  void KeepTwoRandom();
  [[nodiscard]] static Duration SlownessOf(const UpstreamState& aState,
                                           Duration aPeerFirstToken,
                                           TimePoint aNow);

  const UpstreamTable& m_table;
  FailureDomainId m_ownDomain;
  RandomSource& m_random;
  RouteError m_lastError = RouteError::NotResident;
  Duration m_lastWait{};
  /// Scratch space, kept to spare an allocation for each call.
  std::vector<const UpstreamState*> m_usable;
};

} // namespace celeryspread
