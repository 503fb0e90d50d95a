#include "gateway/call_quota.h"

namespace celeryspread {

CallQuota::CallQuota(GatewayContext& aContext, const RoutedCall& aCall)
  : m_context(aContext)
  , m_call(aCall)
{
}

CallQuota::~CallQuota()
{
  m_state->m_isAlive = false;
}

void CallQuota::Take(QuotaGate::Done aDone)
{
  const Team* team = m_call.m_identity.m_team;
  const bool isCounted = team != nullptr && m_call.m_identity.m_requiredKey &&
                         team->m_quota.IsLimited();
  if (!isCounted) {
    aDone({ QuotaGate::Verdict::Kind::Admitted, Duration::zero() });
    return;
  }
  const uint64_t cost = team->m_quota.CostOf(m_call.m_callFields.m_totalTokens);
  m_context.m_quota.Take(
    *team,
    cost,
    m_call.m_route->m_priority,
    [&gate = m_context.m_quota,
     state = m_state,
     id = team->m_id,
     cost,
     done = std::move(aDone)](const QuotaGate::Verdict& aVerdict) {
      const bool isAdmitted =
        aVerdict.m_kind == QuotaGate::Verdict::Kind::Admitted;
      if (!state->m_isAlive || state->m_isReleased) {
        if (isAdmitted) {
          gate.GiveBack(id, cost);
        }
        return;
      }
      state->m_isAdmitted = isAdmitted;
      done(aVerdict);
    });
}

void CallQuota::Release()
{
  if (m_state->m_isReleased) {
    return;
  }
  m_state->m_isReleased = true;
  if (m_state->m_isAdmitted) {
    const Team& team = *m_call.m_identity.m_team;
    m_context.m_quota.GiveBack(
      team.m_id, team.m_quota.CostOf(m_call.m_callFields.m_totalTokens));
  }
}

} // namespace celeryspread
