#include "http/exchange_history.h"

#include <algorithm>

#include "core/key_hash.h"

namespace celeryspread {

void ExchangeHistory::Add(std::string_view aId)
{
  if (!aId.empty() && !IsFull()) {
    m_ids.push_back(ContentHash(aId));
  }
}

bool ExchangeHistory::Contains(std::string_view aId) const
{
  return !aId.empty() &&
         std::find(m_ids.begin(), m_ids.end(), ContentHash(aId)) != m_ids.end();
}

} // namespace celeryspread
