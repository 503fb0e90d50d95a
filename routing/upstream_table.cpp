#include "routing/upstream_table.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr uint32_t kFailuresBeforeEjection = 3;
/// Doubled by each further failure in a row.
constexpr Duration kFirstEjectionTime = std::chrono::seconds(1);
constexpr uint32_t kMaxEjectionDoublings = 5;
/// The newest time has the weight 1 / kSmoothingDivisor in a moving average.
constexpr int64_t kSmoothingDivisor = 8;

} // namespace

UpstreamState* UpstreamTable::Find(const UpstreamId& aId)
{
  const auto found = m_upstreams.find(aId);
  return found == m_upstreams.end() ? nullptr : found->second.get();
}

void UpstreamTable::SetCatalog(const Catalog& aCatalog)
{
  std::map<UpstreamId, std::unique_ptr<UpstreamState>> next;
  for (const auto& [id, declaration] : aCatalog.Tree().m_upstreams) {
    const auto old = m_upstreams.find(id);
    std::unique_ptr<UpstreamState> state;
    const bool isSameUpstream =
      old != m_upstreams.end() &&
      old->second->m_declaration.m_address == declaration.m_address &&
      old->second->m_declaration.m_port == declaration.m_port;
    if (isSameUpstream) {
      state = std::move(old->second);
    } else {
      state = std::make_unique<UpstreamState>();
      state->m_id = id;
    }
    state->m_declaration = declaration;
    next.emplace(id, std::move(state));
  }
  m_upstreams = std::move(next);
  RebuildIndexes();
}

void UpstreamTable::RebuildIndexes()
{
  m_byEngineName.clear();
  m_byPlainService.clear();
  for (const auto& [id, state] : m_upstreams) {
    if (!state->m_declaration.m_plainService.IsEmpty()) {
      m_byPlainService[state->m_declaration.m_plainService].push_back(
        state.get());
    }
    for (const std::string& name : state->m_resident) {
      m_byEngineName[name].push_back(state.get());
    }
  }
}

void UpstreamTable::ApplyReport(const UpstreamId& aId,
                                const LoadReport& aReport)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr || aReport.m_takenAt < state->m_reportedAt) {
    return;
  }
  state->m_reportedAt = aReport.m_takenAt;
  state->m_reportedLoad = aReport.m_running + aReport.m_waiting;
  state->DiscardChangesUpTo(aReport.m_takenAt);
  state->m_isReportedLeaving = aReport.m_isLeaving;
  if (state->m_resident != aReport.m_resident) {
    state->m_resident = aReport.m_resident;
    RebuildIndexes();
  }
}

bool UpstreamTable::RecordPlatformLeaving(const UpstreamId& aId)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr || state->m_isListedLeaving) {
    return false;
  }
  state->m_isListedLeaving = true;
  return true;
}

void UpstreamTable::RecordFirstToken(const UpstreamId& aId,
                                     TimePoint aStart,
                                     TimePoint aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  const auto waiting = state->m_awaitingFirstToken.find(aStart);
  if (waiting != state->m_awaitingFirstToken.end()) {
    state->m_awaitingFirstToken.erase(waiting);
  }
  const Duration change = (aNow - aStart) - state->m_firstTokenTime;
  state->m_firstTokenTime += state->m_firstTokenTime == Duration::zero()
                               ? change
                               : change / kSmoothingDivisor;
}

void UpstreamTable::RecordAwaitingFirstToken(const UpstreamId& aId,
                                             TimePoint aStart)
{
  if (UpstreamState* state = Find(aId)) {
    state->m_awaitingFirstToken.insert(aStart);
  }
}

void UpstreamTable::RecordStart(const UpstreamId& aId, TimePoint aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return;
  }
  ++state->m_outstanding;
  state->RecordLoadChange(aNow, 1);
}

HealthChange UpstreamTable::RecordEnd(const UpstreamId& aId,
                                      AttemptResult aResult,
                                      Duration aElapsed,
                                      TimePoint aNow)
{
  UpstreamState* state = Find(aId);
  if (state == nullptr) {
    return HealthChange::None;
  }
  if (state->m_outstanding > 0) {
    --state->m_outstanding;
  }
  state->RecordLoadChange(aNow, -1);
  if (aResult == AttemptResult::Cancelled) {
    return HealthChange::None;
  }
  if (aResult == AttemptResult::Answered) {
    const bool wasEjected =
      state->m_consecutiveFailures >= kFailuresBeforeEjection;
    state->m_consecutiveFailures = 0;
    state->m_ejectedUntil = TimePoint();
    const Duration change = aElapsed - state->m_serviceTime;
    state->m_serviceTime += state->m_serviceTime == Duration::zero()
                              ? change
                              : change / kSmoothingDivisor;
    return wasEjected ? HealthChange::Returned : HealthChange::None;
  }
  ++state->m_consecutiveFailures;
  if (state->m_consecutiveFailures < kFailuresBeforeEjection) {
    return HealthChange::None;
  }
  const uint32_t doublings =
    std::min(state->m_consecutiveFailures - kFailuresBeforeEjection,
             kMaxEjectionDoublings);
  state->m_ejectedUntil = aNow + kFirstEjectionTime * (1U << doublings);
  return HealthChange::Ejected;
}

std::vector<ReportPoller::Source> UpstreamTable::ReportSources() const
{
  std::vector<ReportPoller::Source> sources;
  for (const auto& [id, state] : m_upstreams) {
    const UpstreamDeclaration& declared = state->m_declaration;
    if (declared.m_kind == UpstreamKind::Engine) {
      sources.push_back({ id, { declared.m_address, declared.m_port } });
    }
  }
  return sources;
}

const UpstreamTable::Candidates& UpstreamTable::UpstreamsWithResident(
  std::string_view aEngineName) const
{
  const auto found = m_byEngineName.find(aEngineName);
  return found == m_byEngineName.end() ? m_noCandidates : found->second;
}

const UpstreamTable::Candidates& UpstreamTable::UpstreamsOfService(
  const PlainServiceId& aId) const
{
  const auto found = m_byPlainService.find(aId);
  return found == m_byPlainService.end() ? m_noCandidates : found->second;
}

} // namespace celeryspread
