#include "placement/problem_lines.h"

#include <algorithm>

namespace celeryspread {

std::vector<std::string> ProblemLines(
  const std::vector<PlacementProblem>& aProblems)
{
  const size_t shown = std::min(aProblems.size(), kMaxProblemLines);
  std::vector<std::string> lines;
  lines.reserve(shown + 1);
  for (size_t i = 0; i < shown; ++i) {
    lines.push_back("target=" + aProblems[i].m_name + " reason=\"" +
                    aProblems[i].m_reason + "\"");
  }
  if (shown < aProblems.size()) {
    lines.push_back("further=" + std::to_string(aProblems.size() - shown) +
                    " reason=\"GET /admin/placement lists them\"");
  }
  return lines;
}

} // namespace celeryspread
