#pragma once

#include <string>
#include <vector>

#include "placement/placement_types.h"

namespace celeryspread {

/// Problems that are logged line by line. Without this limit, thousands of
/// adapters that fit nowhere would fill the log at every decision and block the
/// leader's event loop until its lease expires.
constexpr size_t kMaxProblemLines = 20;

/// Returns the details of the log lines for problems: one line for each of the
/// first kMaxProblemLines, and one with the number of the others. @pre none.
/// @thread any.
std::vector<std::string> ProblemLines(
  const std::vector<PlacementProblem>& aProblems);

} // namespace celeryspread
