#pragma once

#include <cstdint>

#include "core/clock.h"

namespace celeryspread {

/// Demand for one model or adapter over some period.
struct CallDemand
{
  /// New calls.
  uint32_t m_calls = 0;
  /// Time that calls spent at engines, summed over the calls.
  Duration m_work{};
  /// Expected time to read the prompts of the new calls, summed over the calls.
  Duration m_prefill{};

  /// Adds the demand of another entry or period. @pre none. @thread any.
  CallDemand& operator+=(const CallDemand& aOther)
  {
    m_calls += aOther.m_calls;
    m_work += aOther.m_work;
    m_prefill += aOther.m_prefill;
    return *this;
  }
};

} // namespace celeryspread
