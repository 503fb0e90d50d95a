#include "gateway/reach_probe.h"

#include <algorithm>

namespace celeryspread {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// Pause between two rounds of probes while it is in doubt whether upstreams
/// are in reach, and between two probes while they are not.
constexpr Duration kRoundPeriod = std::chrono::milliseconds(500);
constexpr Duration kCutOffPeriod = std::chrono::milliseconds(300);
constexpr size_t kProbesPerRound = 3;
/// Upstreams that read prompts may bring no byte for a moment, but not all of
/// them for this long.
constexpr Duration kSilence = std::chrono::milliseconds(600);
/// Calls at fewer upstreams than this don't show that all are silent.
constexpr size_t kMinBusy = 2;
constexpr Duration kProbeTimeout = std::chrono::seconds(1);

} // namespace

/// One request for the health of an upstream.
class ReachProbe::Probe : public UpstreamObserver
{
public:
  Probe(ReachProbe& aOwner, uint64_t aId, PoolId aPool, UpstreamId aUpstream)
    : m_owner(aOwner)
    , m_id(aId)
    , m_pool(std::move(aPool))
    , m_upstream(std::move(aUpstream))
  {
  }

  void Send(UpstreamRequest aRequest)
  {
    m_call = m_owner.m_deps.m_client.Start(std::move(aRequest), *this);
  }
  void OnUpstreamHeaders(int /*aStatus*/,
                         const HttpHeaders& /*aHeaders*/) override
  {
    m_owner.m_deps.m_reach.RecordConnected(m_pool);
  }
  void OnUpstreamBody(std::string_view aBytes) override
  {
    constexpr size_t kMaxBodyBytes = 65'536;
    m_bodyBytes += aBytes.size();
    if (m_bodyBytes > kMaxBodyBytes) {
      m_owner.Remove(m_id);
    }
  }
  void OnUpstreamEnd() override { m_owner.Remove(m_id); }
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    if (!aFailure.m_hasResponseBytes) {
      // A busy upstream may be late with an answer.
      const bool isSilent = aFailure.m_kind == UpstreamFailureKind::Timeout;
      m_owner.m_deps.m_reach.RecordNoConnection(
        m_pool,
        m_upstream,
        isSilent ? UpstreamReach::Source::Attempt
                 : UpstreamReach::Source::Probe,
        m_owner.m_deps.m_table.InPool(m_pool).size(),
        m_owner.m_deps.m_clock.Now());
    }
    m_owner.Remove(m_id);
  }

private:
  ReachProbe& m_owner;
  uint64_t m_id;
  PoolId m_pool;
  UpstreamId m_upstream;
  size_t m_bodyBytes = 0;
  std::unique_ptr<UpstreamCall> m_call;
};

ReachProbe::ReachProbe(Dependencies aDependencies)
  : m_deps(aDependencies)
  , m_timer(m_deps.m_timers.Every(kTickPeriod, [this] { Tick(); }))
{
}

ReachProbe::~ReachProbe() = default;

void ReachProbe::SetConfig(std::shared_ptr<const RouteConfig> aConfig)
{
  m_config = std::move(aConfig);
}

void ReachProbe::LogChanges()
{
  const std::set<PoolId>& cutOff = m_deps.m_reach.CutOffPools();
  if (cutOff == m_loggedCutOff) {
    return;
  }
  for (const Pool& pool : m_config->Pools()) {
    const bool isCutOff = cutOff.contains(pool.m_id);
    if (isCutOff != m_loggedCutOff.contains(pool.m_id)) {
      m_deps.m_log.Write(EventId::PoolReach,
                         "pool=" + pool.m_id.Value() +
                           " in_reach=" + (isCutOff ? "no" : "yes"));
    }
  }
  m_loggedCutOff = cutOff;
}

void ReachProbe::Tick()
{
  m_ended.clear();
  if (m_config == nullptr) {
    return;
  }
  LogChanges();
  const TimePoint now = m_deps.m_clock.Now();
  for (const Pool& pool : m_config->Pools()) {
    const bool isCutOff = m_deps.m_reach.IsCutOff(pool.m_id);
    const bool isInDoubt = isCutOff ||
                           m_deps.m_reach.IsSuspect(pool.m_id, now) ||
                           IsSilent(pool.m_id, now);
    TimePoint& nextRoundAt = m_pools[pool.m_id].m_nextRoundAt;
    if (!isInDoubt || now < nextRoundAt) {
      continue;
    }
    nextRoundAt = now + (isCutOff ? kCutOffPeriod : kRoundPeriod);
    ProbeSome(pool, isCutOff ? 1 : kProbesPerRound);
  }
}

bool ReachProbe::IsSilent(const PoolId& aPool, TimePoint aNow) const
{
  size_t busy = 0;
  for (const EngineState* state : m_deps.m_table.InPool(aPool)) {
    if (aNow < state->m_lastByteAt + kSilence) {
      return false;
    }
    busy += state->m_outstanding > 0 ? 1 : 0;
  }
  return busy >= kMinBusy;
}

void ReachProbe::ProbeSome(const Pool& aPool, size_t aCount)
{
  const auto& upstreams = m_deps.m_table.InPool(aPool.m_id);
  size_t& next = m_pools[aPool.m_id].m_next;
  for (size_t i = 0; i < std::min(aCount, upstreams.size()); ++i) {
    const EngineRecord& record = upstreams[next++ % upstreams.size()]->m_record;
    UpstreamRequest request;
    request.m_address = record.m_address;
    request.m_method = "GET";
    request.m_path = aPool.m_healthPath;
    request.m_firstByteTimeout = kProbeTimeout;
    request.m_progressTimeout = kProbeTimeout;
    request.m_mayReuseConnection = false;
    const uint64_t id = m_nextProbe++;
    auto probe = std::make_unique<Probe>(*this, id, aPool.m_id, record.m_id);
    Probe& started = *probe;
    m_probes.emplace(id, std::move(probe));
    started.Send(std::move(request));
  }
}

void ReachProbe::Remove(uint64_t aId)
{
  const auto found = m_probes.find(aId);
  if (found != m_probes.end()) {
    // One of its methods is on the stack.
    m_ended.push_back(std::move(found->second));
    m_probes.erase(found);
  }
}

} // namespace celeryspread
