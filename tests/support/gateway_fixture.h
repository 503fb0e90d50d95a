#pragma once

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gateway/gateway.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

/// Returns a route to the one pool of GatewayFixture.
inline Route MakeRoute(const std::string& aPrefix,
                       CallKind aKind,
                       uint32_t aAttempts)
{
  Route route;
  route.m_id = RouteId("r" + aPrefix);
  route.m_host = "shop.example";
  route.m_pathPrefix = aPrefix;
  route.m_kind = aKind;
  route.m_timeout = std::chrono::seconds(3);
  route.m_maxRuns = aAttempts;
  route.m_pools = { { PoolId("pool"), 1 } };
  return route;
}

/// A gateway before two engines, "e1" and "e2", with fakes on both sides.
class GatewayFixture : public ::testing::Test
{
protected:
  GatewayFixture()
  {
    std::vector<Route> routes = { MakeRoute(
                                    "/pay/", CallKind::NonIdempotent, 1),
                                  MakeRoute("/look/", CallKind::Idempotent, 2),
                                  MakeRoute("/chat/", CallKind::Stream, 1),
                                  MakeRoute("/report/", CallKind::Stream, 2) };
    routes.back().m_isResumable = true;
    SetRoutes(Revision(3), std::move(routes));
    m_table.Update(MakeEngine("e1", "here", "m"));
    m_table.Update(MakeEngine("e2", "far", "m"));
    m_retries.SetEntryCount(1, m_clock.Now());
  }

  /// Puts a configuration with these routes in force.
  void SetRoutes(Revision aVersion, std::vector<Route> aRoutes)
  {
    RouteConfigData data;
    data.m_version = aVersion;
    data.m_pools = { Pool{ PoolId("pool"), "/healthz", 10, std::nullopt } };
    data.m_routes = std::move(aRoutes);
    std::string reason;
    m_gateway.SetConfig(RouteConfig::Make(std::move(data), reason));
    m_access.RecordProof(aVersion, m_clock.Now());
  }
  void Call(const std::string& aPath, HttpHeaders aHeaders = {})
  {
    aHeaders.push_back({ "Host", "shop.example" });
    aHeaders.push_back({ "id", "a1" });
    m_gateway.OnCall(std::make_unique<FakeCallerCall>(
      m_caller, "POST", aPath, std::move(aHeaders)));
  }
  FakeUpstreamClient::StartedAttempt& Attempt(size_t aIndex)
  {
    return *m_client.m_attempts.at(aIndex);
  }
  void Answer(size_t aIndex, int aStatus, const HttpHeaders& aHeaders)
  {
    Attempt(aIndex).m_observer->OnUpstreamHeaders(aStatus, aHeaders);
  }
  void Reject(size_t aIndex)
  {
    Answer(aIndex, 503, { { "id", "a1" }, { "not-run", "1" } });
    Attempt(aIndex).m_observer->OnUpstreamEnd();
  }
  /// Applies a list of the owner that holds back a part.
  void HoldPart(const std::string& aPart, uint32_t aCrashes)
  {
    SuspectPart part;
    part.m_part = PromptPartId(aPart);
    part.m_crashes = aCrashes;
    part.m_lastCrashAt = m_clock.Now();
    part.m_isHeld = true;
    m_quarantine.Apply(1, ++m_listVersion, { { part.m_part, part } });
  }
  void LoseConnection(size_t aIndex)
  {
    Attempt(aIndex).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::ConnectionLost, true, "lost" });
  }

  /// Adds an engine of a software version.
  void AddEngine(const std::string& aId,
                 const std::string& aSoftware,
                 const std::string& aDomain = "here")
  {
    EngineRecord record = MakeEngine(aId, aDomain, "m");
    record.m_software = SoftwareVersion(aSoftware);
    m_table.Update(record);
  }
  /// Begins a stream and breaks it off after its first event.
  void BreakStream(const std::string& aPath)
  {
    Call(aPath, { { "model", "m" } });
    Answer(0, 200, m_good);
    Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
    LoseConnection(0);
  }
  /// Asks for the rest of a stream that another attempt began.
  void CallForRest()
  {
    m_context.m_streams = &m_streams;
    Call("/report/1",
         { { "model", "m" }, { "last", "1" }, { "resumes", "a0" } });
  }

  /// Headers of a good answer that names a limit of four requests a second.
  HttpHeaders LimitedAnswer() const
  {
    HttpHeaders headers = m_good;
    headers.push_back({ "limit", "4" });
    return headers;
  }

  const HttpHeaders m_good = { { "id", "a1" }, { "signed", "x" } };
  SimulatedTime m_time;
  SkewedClock m_clock{ m_time, 0 };
  SimulatedTimers m_timers{ m_time };
  SeededRandomSource m_random{ 1 };
  static constexpr size_t kMaxHeldBytes = 16'000'000;
  FakeUpstreamClient m_client{ kMaxHeldBytes };
  FakeCodec m_codec;
  EngineTable m_table;
  EngineSelector m_selector{ m_table,
                             FailureDomainId("here"),
                             { { FailureDomainId("here"), RegionId("r1") },
                               { FailureDomainId("far"), RegionId("r2") } },
                             m_random };
  /// The process has run for longer than the window of the budget.
  RetryBudgetShare m_retries{ RetryBounds{},
                              m_clock.Now() - std::chrono::minutes(5) };
  FakeControlLink m_control;
  Metrics m_metrics;
  RecordingEventLog m_log;
  PrefillEstimator m_prefill;
  const FailureDomainId m_domain{ "here" };
  uint64_t m_listVersion = 0;
  CallerRecord m_otherCaller;
  std::vector<CallerRecord> m_callers;
  PartQuarantine m_quarantine;
  FakeCrashReporter m_reporter;
  FakeRateGranter m_rates;
  CrashWatch m_crashes{
    { m_clock, m_timers, m_table, m_quarantine, m_reporter, m_metrics, m_log }
  };
  AccessControl m_access{ {} };
  FakeQuotaGate m_quota;
  FakeStreamOrigins m_streams;
  GatewayContext m_context{ m_clock,   m_timers,   m_client,  m_codec,
                            m_table,   m_selector, m_retries, m_prefill,
                            m_control, m_control,  m_crashes, m_rates,
                            m_access,  m_quota,    m_domain,  m_metrics,
                            m_log };
  Gateway m_gateway{ m_context };
  CallerRecord m_caller;
};

} // namespace celeryspread::test
