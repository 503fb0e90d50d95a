#include "placement/problem_lines.h"

#include <algorithm>

namespace celeryspread {

std::vector<std::string> ProblemLines(
  const std::vector<PlacementProblem>& aProblems)
{
  const size_t listedCount = std::min(aProblems.size(), kMaxProblemLines);
  std::vector<std::string> lines;
  lines.reserve(listedCount + 1);
  for (size_t i = 0; i < listedCount; ++i) {
    lines.push_back("target=" + aProblems[i].m_name + " reason=\"" +
                    aProblems[i].m_reason + "\"");
  }
  if (listedCount < aProblems.size()) {
    lines.push_back(
      "further=" + std::to_string(aProblems.size() - listedCount) +
      " reason=\"GET /admin/placement lists them\"");
  }
  return lines;
}

} // namespace celeryspread
