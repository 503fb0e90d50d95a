#include "teams/config_proof.h"

#include <algorithm>

namespace celeryspread {

namespace {

/// Versions whose documents may be on their way at the same time.
constexpr size_t kMaxStatements = 16;

} // namespace

void ConfigProof::Record(Revision aVersion, TimePoint aProvenAt)
{
  const bool isKnown = std::any_of(
    m_statements.begin(), m_statements.end(), [&](const Statement& aOther) {
      return aOther.m_version <= aVersion && aOther.m_provenAt >= aProvenAt;
    });
  if (isKnown) {
    return;
  }
  std::erase_if(m_statements, [&](const Statement& aOther) {
    return aOther.m_version >= aVersion && aOther.m_provenAt <= aProvenAt;
  });
  m_statements.push_back({ aVersion, aProvenAt });
  DropUnneeded();
}

void ConfigProof::SetVersion(Revision aVersion)
{
  m_version = aVersion;
  DropUnneeded();
}

void ConfigProof::DropUnneeded()
{
  std::optional<TimePoint> provenAt;
  for (const Statement& statement : m_statements) {
    if (statement.m_version <= m_version) {
      provenAt =
        std::max(provenAt.value_or(statement.m_provenAt), statement.m_provenAt);
    }
  }
  std::erase_if(m_statements, [&](const Statement& aStatement) {
    return aStatement.m_version <= m_version &&
           aStatement.m_provenAt < *provenAt;
  });
  while (m_statements.size() > kMaxStatements) {
    const auto dispensable = std::find_if(
      m_statements.begin(), m_statements.end(), [&](const Statement& aOther) {
        return aOther.m_version > m_version;
      });
    m_statements.erase(dispensable == m_statements.end() ? m_statements.begin()
                                                         : dispensable);
  }
}

bool ConfigProof::KnowsNewer(Revision aVersion) const
{
  return std::any_of(
    m_statements.begin(), m_statements.end(), [&](const Statement& aOther) {
      return aOther.m_version > aVersion;
    });
}

std::optional<Duration> ConfigProof::Age(Revision aVersion,
                                         TimePoint aNow) const
{
  std::optional<Duration> age;
  for (const Statement& statement : m_statements) {
    if (statement.m_version <= aVersion) {
      const Duration own = aNow - statement.m_provenAt;
      age = age ? std::min(*age, own) : own;
    }
  }
  return age;
}

} // namespace celeryspread
