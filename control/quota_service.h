#pragma once

#include "teams/quota_pool.h"
#include "wire/celeryspread.capnp.h"

namespace celeryspread {

/// Answers the entries' requests for parts of the teams' quotas while this
/// instance is the owner.
/// @thread loop thread only.
class QuotaService
{
public:
  /// Creates the service. @pre aClock outlives it.
  QuotaService(const Clock& aClock, QuotaBounds aBounds);

  /// Begins a term as owner. @pre aTerm is larger than any before.
  void Begin(FencingToken aTerm);
  /// Applies the quotas of a configuration. @pre none.
  void SetTeams(const std::vector<Team>& aTeams);
  /// Answers a request. @pre this instance is the owner; aEntryCount is 0 while
  /// unknown.
  void Take(wire::QuotaRequest::Reader aRequest,
            uint32_t aEntryCount,
            wire::QuotaReply::Builder aReply);

private:
  const Clock& m_clock;
  QuotaBounds m_bounds;
  QuotaPool m_pool;
  FencingToken m_term;
};

} // namespace celeryspread
