#include "control/quota_service.h"

#include "wire/message_bytes.h"

namespace celeryspread {

QuotaService::QuotaService(const Clock& aClock, QuotaBounds aBounds)
  : m_clock(aClock)
  , m_bounds(aBounds)
  , m_pool(aBounds)
{
}

void QuotaService::Begin(FencingToken aTerm)
{
  m_term = aTerm;
  m_pool.Begin(m_clock.Now());
}

void QuotaService::SetTeams(const std::vector<Team>& aTeams)
{
  m_pool.SetTeams(aTeams, m_clock.Now());
}

void QuotaService::Take(wire::QuotaRequest::Reader aRequest,
                        uint32_t aEntryCount,
                        wire::QuotaReply::Builder aReply)
{
  QuotaRequest request;
  request.m_entry = InstanceId(TextOf(aRequest.getInstance()));
  request.m_process = aRequest.getProcess();
  request.m_sequence = aRequest.getSequence();
  request.m_answered = aRequest.getAnswered();
  request.m_reportsUse = aRequest.getReportsUse();
  for (const auto reader : aRequest.getTeams()) {
    QuotaDemand demand;
    demand.m_team = TeamId(TextOf(reader.getTeam()));
    for (const uint64_t cost : reader.getNeeded()) {
      demand.m_needed.push_back(cost);
    }
    for (const uint32_t rank : reader.getRanks()) {
      demand.m_ranks.push_back(rank);
    }
    demand.m_wanted = static_cast<double>(reader.getWanted());
    demand.m_least = static_cast<double>(reader.getLeast());
    demand.m_held = static_cast<double>(reader.getHeld());
    demand.m_returned = static_cast<double>(reader.getReturned());
    demand.m_used = static_cast<double>(reader.getUsed());
    demand.m_usedAlone = static_cast<double>(reader.getUsedAlone());
    request.m_demands.push_back(std::move(demand));
  }
  m_pool.SetEntryCount(aEntryCount);
  const auto grants = m_pool.Take(request, m_clock.Now());
  aReply.setEpoch(m_term.Value());
  aReply.setWindowMicros(m_bounds.m_window.count());
  aReply.setEntryCount(m_pool.EntryCount());
  auto out = aReply.initGrants(static_cast<unsigned>(grants.size()));
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setTeam(grants[i].m_team.Value());
    out[i].setGranted(grants[i].m_granted);
    out[i].setIsDenied(grants[i].m_isDenied);
    out[i].setRetryAfterMicros(grants[i].m_retryAfter.count());
    out[i].setIsScarce(grants[i].m_isScarce);
    out[i].setDeniedRank(grants[i].m_deniedRank);
  }
}

} // namespace celeryspread
