#pragma once

#include <string>
#include <vector>

#include "placement/placement_types.h"

namespace celeryspread {

/// Most lines written for one set of problems. A tree of thousands of adapters
/// that fit nowhere would else fill the log with each decision and hold up the
/// loop of the leader until its lease is over.
constexpr size_t kMaxProblemLines = 20;

/// Returns the details of the log lines for problems: one line for each of the
/// first, and one with the number of the others. @pre none. @thread any.
std::vector<std::string> ProblemLines(
  const std::vector<PlacementProblem>& aProblems);

} // namespace celeryspread
