#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random_source.h"

namespace celeryspread::bench {

/// Sizes and demand of one standard case.
struct WorkloadCase
{
  std::string m_name;
  int m_engines = 0;
  int m_models = 0;
  int m_copies = 0;
  /// Calls a second in quiet times, over all models.
  double m_rate = 0;
  double m_meanTokens = 0;
  /// Share of calls that run many times longer, and how many times.
  double m_stragglerShare = 0;
  double m_stragglerFactor = 1;
  Duration m_deadline{};
  /// Demand in the crest, as a multiple of the quiet rate.
  double m_crestFactor = 1;
  Duration m_crestStart{};
  Duration m_crestEnd{};
  Duration m_length{};
};

/// One call of the workload.
struct WorkloadCall
{
  uint64_t m_id = 0;
  Duration m_at{};
  std::string m_model;
  ServiceId m_service;
  int64_t m_worth = 1;
  double m_promptTokens = 0;
  double m_outputTokens = 0;
  uint64_t m_maxTokens = 0;
  bool m_isStraggler = false;
  Duration m_deadline{};
};

/// Makes the calls of a case. @pre none. @thread any.
std::vector<WorkloadCall> MakeWorkload(const WorkloadCase& aCase,
                                       RandomSource& aRandom);

/// Returns the case of a name, empty name when it is not known. @thread any.
WorkloadCase FindCase(const std::string& aName);

} // namespace celeryspread::bench
