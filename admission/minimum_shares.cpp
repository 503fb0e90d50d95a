#include "admission/minimum_shares.h"

#include <algorithm>

namespace celeryspread {

namespace {

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void MinimumShares::Refill(double aServedPerSecond, TimePoint aNow)
{
  const double perSecond = kReserved * aServedPerSecond;
  m_credit = std::min(std::max(1.0, perSecond),
                      m_credit + perSecond * Seconds(aNow - m_updatedAt));
  m_updatedAt = aNow;
  if (aNow - m_forgottenAt >= kForgetPeriod) {
    m_forgottenAt = aNow;
    std::erase_if(m_classes, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.m_updatedAt > kMemory;
    });
  }
}

MinimumShares::Class* MinimumShares::Find(const std::string& aName,
                                          double aServedPerSecond,
                                          TimePoint aNow)
{
  const auto found = m_classes.find(aName);
  if (found == m_classes.end()) {
    if (m_classes.size() >= kMaxClasses) {
      return nullptr;
    }
    return &m_classes.emplace(aName, Class{ 1, aNow }).first->second;
  }
  Class& known = found->second;
  const double perSecond =
    kReserved * aServedPerSecond / static_cast<double>(m_classes.size());
  known.m_credit = std::min(
    1.0, known.m_credit + perSecond * Seconds(aNow - known.m_updatedAt));
  known.m_updatedAt = aNow;
  return &known;
}

bool MinimumShares::TryTake(const Classes& aClasses,
                            double aServedPerSecond,
                            TimePoint aNow)
{
  Refill(aServedPerSecond, aNow);
  bool isShort = false;
  for (const std::string& name : aClasses) {
    const Class* known = Find(name, aServedPerSecond, aNow);
    isShort = isShort || (known != nullptr && known->m_credit >= 1);
  }
  if (!isShort || m_credit < 1) {
    return false;
  }
  m_credit -= 1;
  RecordAdmitted(aClasses, aServedPerSecond, aNow);
  return true;
}

void MinimumShares::RecordAdmitted(const Classes& aClasses,
                                   double aServedPerSecond,
                                   TimePoint aNow)
{
  for (const std::string& name : aClasses) {
    Class* known = Find(name, aServedPerSecond, aNow);
    if (known != nullptr) {
      known->m_credit = std::max(0.0, known->m_credit - 1);
    }
  }
}

} // namespace celeryspread
