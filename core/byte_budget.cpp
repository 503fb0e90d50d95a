#include "core/byte_budget.h"

#include <cstdint>

namespace celeryspread {

bool ByteBudget::Holding::Set(size_t aBytes)
{
  m_budget.m_used = m_budget.m_used - m_bytes + aBytes;
  m_budget.m_holders += (aBytes > 0 ? 1 : 0);
  m_budget.m_holders -= (m_bytes > 0 ? 1 : 0);
  const bool hasGrown = aBytes > m_bytes;
  m_bytes = aBytes;
  const bool exceedsLimit = m_budget.m_used > m_budget.m_limit;
  return !hasGrown || !exceedsLimit ||
         aBytes <= m_budget.m_limit / m_budget.m_holders;
}

size_t HeldBytesLimit(size_t aMemory)
{
  // Held bytes take half of the memory at most.
  constexpr size_t kDivisor = 6;
  return aMemory == 0 ? SIZE_MAX : aMemory / kDivisor;
}

} // namespace celeryspread
