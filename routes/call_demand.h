#pragma once

#include <cstdint>
#include <map>

#include "core/clock.h"
#include "routes/engine_record.h"

namespace celeryspread {

/// A model or an adapter in a pool.
struct DemandKey
{
  PoolId m_pool;
  ModelTarget m_target;
  /// Orders by fields. @pre none. @thread any.
  auto operator<=>(const DemandKey&) const = default;
};

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

/// Demand for several targets.
using DemandReport = std::map<DemandKey, CallDemand>;

} // namespace celeryspread
