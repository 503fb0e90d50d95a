#pragma once

#include <optional>
#include <set>
#include <string>

#include "core/random_source.h"
#include "routing/upstream_table.h"

namespace celeryspread {

/// Why no upstream was chosen; the call has not run in any of these cases. When
/// upstreams were rejected for different reasons, the last one listed here is
/// given.
enum class RouteError
{
  /// No upstream has the model resident or offers the plain service.
  NotResident,
  AllLeaving,
  AllTried,
  /// No slot is free, and the queue is full.
  AllBusy
};

/// The call that an upstream is chosen for.
struct RouteQuery
{
  /// Engine name of the target; empty for a plain service.
  std::string m_engineName;
  PlainServiceId m_plainService;
  /// Upstreams already tried for this call.
  std::set<UpstreamId> m_tried;
  /// Added to the expected finish time in another failure domain.
  Duration m_remotePenalty{};
  /// Calls that may wait at an upstream beyond its slots.
  uint32_t m_maxQueued = 0;
};

/// Chooses the upstream where the call is expected to finish first.
/// @thread loop thread only.
class Router
{
public:
  /// Creates the router of an entry instance in the failure domain aOwnDomain.
  /// @pre aTable and aRandom outlive the router.
  Router(const UpstreamTable& aTable,
         FailureDomainId aOwnDomain,
         RandomSource& aRandom);
  /// Chooses an upstream. @pre exactly one of the query's targets is set.
  /// @error empty; LastError() returns the reason.
  std::optional<UpstreamId> Choose(const RouteQuery& aQuery, TimePoint aNow);
  /// Returns how long a call waits for its first token before it may move to
  /// another upstream. @pre the query names an engine target.
  [[nodiscard]] Duration FirstTokenTimeout(const RouteQuery& aQuery) const;
  /// Chooses an upstream with a free slot for a call that has waited too long
  /// for its first token. @pre the query's tried upstreams include the current
  /// one. @error empty when there is none; the call then stays where it is.
  std::optional<UpstreamId> ChooseWithFreeSlot(const RouteQuery& aQuery,
                                               TimePoint aNow);
  /// Returns why the last Choose() failed. @pre it failed.
  [[nodiscard]] RouteError LastError() const { return m_lastError; }
  /// Returns the expected wait for a slot at the upstream chosen last.
  /// @pre Choose() succeeded.
  [[nodiscard]] Duration LastExpectedWait() const { return m_lastExpectedWait; }

private:
  /// Expected time until a slot is free. aPeerServiceTime is used while the
  /// upstream has no average service time of its own.
  [[nodiscard]] static Duration ExpectedWait(const UpstreamState& aState,
                                             Duration aPeerServiceTime);
  [[nodiscard]] Duration ExpectedFinish(const UpstreamState& aState,
                                        const RouteQuery& aQuery,
                                        Duration aPeerServiceTime) const;
  /// Fills m_candidates; sets m_lastError and returns false when it stays
  /// empty.
  bool CollectCandidates(const RouteQuery& aQuery, TimePoint aNow);
  void SampleTwoCandidates();
  [[nodiscard]] static Duration SlownessPenalty(const UpstreamState& aState,
                                                Duration aPeerFirstTokenTime,
                                                TimePoint aNow);

  const UpstreamTable& m_table;
  FailureDomainId m_ownDomain;
  RandomSource& m_random;
  RouteError m_lastError = RouteError::NotResident;
  Duration m_lastExpectedWait{};
  /// Candidates of the current choice; a member to avoid an allocation per
  /// call.
  std::vector<const UpstreamState*> m_candidates;
};

} // namespace celeryspread
