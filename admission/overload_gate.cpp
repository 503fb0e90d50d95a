#include "admission/overload_gate.h"

#include <algorithm>
#include <bit>

namespace celeryspread {

MinimumShares::Classes OverloadGate::ClassesOf(const OverloadCall& aCall)
{
  // Sizes that differ by less than a factor of four are one class.
  constexpr int kBitsPerSize = 2;
  MinimumShares::Classes classes = {
    "route " + aCall.m_route.Value(),
    "model " + aCall.m_model,
    "size " + std::to_string(std::bit_width(aCall.m_tokens) / kBitsPerSize)
  };
  if (!aCall.m_adapter.empty()) {
    classes.push_back("adapter " + aCall.m_model + "/" + aCall.m_adapter);
  }
  if (!aCall.m_team.IsEmpty()) {
    classes.push_back("team " + aCall.m_team.Value());
  }
  return classes;
}

Duration OverloadGate::Limit(const OverloadCall& aCall,
                             TeamShares::Use aUse,
                             TimePoint aNow) const
{
  if (!aCall.IsOnTime()) {
    return m_limits.ScarcityLimit(aCall, aNow);
  }
  switch (aUse) {
    case TeamShares::Use::Plenty:
      return m_limits.Limit(aCall, aNow);
    case TeamShares::Use::Within:
      return m_limits.FullLimit(aCall, aNow);
    case TeamShares::Use::Limited:
      // The queue above is left to teams within their shares.
      return std::min(m_limits.Limit(aCall, aNow),
                      m_limits.LastRankLimit(aCall, aNow));
    case TeamShares::Use::Exceeded:
      return m_limits.ScarcityLimit(aCall, aNow);
  }
  return Duration::zero();
}

void OverloadGate::RecordAdmitted(const OverloadCall& aCall,
                                  const Served& aServed,
                                  TimePoint aNow)
{
  if (!aCall.m_team.IsEmpty()) {
    m_shares.RecordAdmitted(
      aCall.m_team, static_cast<double>(aCall.m_tokens), aNow);
  }
  if (aNow < m_pressureUntil) {
    m_minimum.RecordAdmitted(ClassesOf(aCall), aServed.m_calls, aNow);
  }
}

OverloadGate::Decision OverloadGate::Decide(const OverloadCall& aCall,
                                            const Served& aServed,
                                            TimePoint aNow)
{
  const CallPrediction& prediction = aCall.m_prediction;
  if (aCall.m_objective > Duration::zero()) {
    m_limits.Record(aCall, aNow);
  }
  const auto tokens = static_cast<double>(aCall.m_tokens);
  const bool hasTeam = !aCall.m_team.IsEmpty();
  if (hasTeam) {
    m_shares.RecordDemand(aCall.m_team, tokens, aNow);
  }
  // Without a queue the prediction is that of the call alone, which is only
  // corrected by trying.
  const bool hasQueue = prediction.m_queueWait > Duration::zero();
  if (aCall.m_isStream && hasQueue &&
      prediction.m_firstEvent > aCall.m_patience) {
    return { OverloadRefusal::FirstEventTooLate,
             prediction.m_firstEvent - aCall.m_patience };
  }
  if (prediction.m_lastEvent > aCall.m_timeLeft) {
    // The queue gets shorter no faster than the time left does.
    return { OverloadRefusal::DeadlineTooShort, aCall.m_timeLeft };
  }
  if (aCall.m_objective <= Duration::zero() || !hasQueue) {
    RecordAdmitted(aCall, aServed, aNow);
    return {};
  }
  const TeamShares::Use use =
    hasTeam ? m_shares.Compare(aCall.m_team, aServed.m_tokens, aNow)
            : TeamShares::Use::Plenty;
  const Duration limit = Limit(aCall, use, aNow);
  if (prediction.m_queueWait <= limit) {
    RecordAdmitted(aCall, aServed, aNow);
    return {};
  }
  m_pressureUntil = aNow + kPressureMemory;
  if (m_minimum.TryTake(ClassesOf(aCall), aServed.m_calls, aNow)) {
    if (hasTeam) {
      m_shares.RecordAdmitted(aCall.m_team, tokens, aNow);
    }
    return {};
  }
  return { use == TeamShares::Use::Exceeded ? OverloadRefusal::ShareExceeded
                                            : OverloadRefusal::QueueTooLong,
           prediction.m_queueWait - limit };
}

} // namespace celeryspread
