#include "gateway/instance_avoidance.h"

namespace celeryspread {

void InstanceAvoidance::RecordFailure(const std::string& aAddress,
                                      TimePoint aNow)
{
  std::erase_if(m_avoidedUntil,
                [&](const auto& aOther) { return aOther.second <= aNow; });
  m_avoidedUntil[aAddress] = aNow + kAvoidTime;
}

void InstanceAvoidance::RecordConnected(const std::string& aAddress)
{
  m_avoidedUntil.erase(aAddress);
}

bool InstanceAvoidance::IsAvoided(const std::string& aAddress,
                                  TimePoint aNow) const
{
  const auto found = m_avoidedUntil.find(aAddress);
  return found != m_avoidedUntil.end() && aNow < found->second;
}

} // namespace celeryspread
