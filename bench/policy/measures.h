#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "bench/policy/policy_run.h"

namespace celeryspread::bench {

/// One target of the benchmark with what was measured.
struct MeasuredTarget
{
  std::string m_name;
  std::string m_target;
  double m_measured = 0;
  bool m_isMet = false;
};

/// Result of all measures of one policy on one case.
struct MeasureResult
{
  nlohmann::json* m_figures = nullptr;
  std::vector<MeasuredTarget> m_targets;
  std::vector<std::string> m_breaches;
};

/// Runs the crest, short-behind-long and slow-upstream measures.
/// @pre aResult.m_figures is not null. @thread one thread.
void RunMeasures(const WorkloadCase& aCase,
                 const Policy& aPolicy,
                 uint64_t aSeed,
                 MeasureResult& aResult);

} // namespace celeryspread::bench
