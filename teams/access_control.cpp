#include "teams/access_control.h"

namespace celeryspread {

AccessControl::AccessControl(Options aOptions)
  : m_options(aOptions)
{
}

void AccessControl::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  m_keys = std::make_unique<KeyIndex>(m_hasher, aConfig->Teams());
  m_config = std::move(aConfig);
  m_proof.SetVersion(m_config->Version());
}

std::optional<Duration> AccessControl::ProofAge(TimePoint aNow) const
{
  return m_config == nullptr ? std::nullopt
                             : m_proof.Age(m_config->Version(), aNow);
}

bool AccessControl::IsOutdated(Duration aMaxAge, TimePoint aNow) const
{
  if (m_config == nullptr || !m_proof.KnowsNewer(m_config->Version())) {
    return false;
  }
  const auto age = ProofAge(aNow);
  return !age || *age > aMaxAge;
}

bool AccessControl::IsProven(TimePoint aNow) const
{
  if (!m_options.m_failsClosed) {
    return true;
  }
  const auto age = ProofAge(aNow);
  return age && *age < m_options.m_maxProofAge;
}

AccessControl::Verdict AccessControl::Identify(
  const Route& aRoute,
  std::optional<std::string_view> aKey,
  TimePoint aNow,
  CallerIdentity& aIdentity) const
{
  aIdentity = CallerIdentity();
  if (m_config->Teams().empty()) {
    return Verdict::Allowed;
  }
  if (aRoute.m_isPublic) {
    aIdentity.m_team = aKey ? m_keys->Find(m_hasher.Digest(*aKey)) : nullptr;
    return Verdict::Allowed;
  }
  if (!IsProven(aNow)) {
    return Verdict::Unproven;
  }
  if (!aKey) {
    return Verdict::Denied;
  }
  aIdentity.m_requiredKey = m_hasher.Digest(*aKey);
  aIdentity.m_team = m_keys->Find(*aIdentity.m_requiredKey);
  return aIdentity.m_team == nullptr ? Verdict::Denied : Verdict::Allowed;
}

AccessControl::Verdict AccessControl::Recheck(const CallerIdentity& aIdentity,
                                              TimePoint aNow) const
{
  if (!aIdentity.m_requiredKey || m_config->Teams().empty()) {
    return Verdict::Allowed;
  }
  if (!IsProven(aNow)) {
    return Verdict::Unproven;
  }
  const Team* holder = m_keys->Find(*aIdentity.m_requiredKey);
  const bool isSame =
    holder != nullptr && holder->m_id == aIdentity.m_team->m_id;
  return isSame ? Verdict::Allowed : Verdict::Denied;
}

} // namespace celeryspread
