#include <gtest/gtest.h>

#include "gateway/gateway.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

namespace {

/// Stores the text of each line.
class TextLog : public EventLog
{
public:
  void Write(EventId /*aId*/, std::string_view aDetail) override
  {
    m_text += std::string(aDetail) + "\n";
  }
  std::string m_text;
};

Route StreamRoute(const std::string& aPrefix, uint32_t aPriority)
{
  Route route;
  route.m_id = RouteId("r" + aPrefix);
  route.m_host = "shop.example";
  route.m_pathPrefix = aPrefix;
  route.m_kind = CallKind::Stream;
  route.m_timeout = std::chrono::seconds(3);
  route.m_objective = std::chrono::milliseconds(500);
  route.m_priority = aPriority;
  route.m_pools = { { PoolId("pool"), 1 } };
  return route;
}

} // namespace

/// One engine of four slots behind one gateway.
class GatewayOverloadTest : public ::testing::Test
{
protected:
  GatewayOverloadTest()
  {
    Configure(1, {});
    m_table.Update(MakeEngine("e1", "here", "m"));
    m_retries.SetEntryCount(1, m_clock.Now());
  }
  void Configure(uint64_t aVersion, std::vector<Team> aTeams)
  {
    RouteConfigData data;
    data.m_version = Revision(aVersion);
    data.m_pools = { Pool{ PoolId("pool"), "/healthz", 10, std::nullopt } };
    data.m_routes = { StreamRoute("/chat/", 0), StreamRoute("/batch/", 3) };
    data.m_teams = std::move(aTeams);
    std::string reason;
    m_gateway.SetConfig(RouteConfig::Make(std::move(data), reason));
    m_access.RecordProof(Revision(aVersion), m_clock.Now());
  }
  /// Sends a call and has the engine answer it at once.
  void Serve(const HttpHeaders& aHeaders)
  {
    Call("/chat/1", aHeaders);
    const std::string id = "a" + std::to_string(m_callers.size() - 1);
    UpstreamObserver& observer = *m_client.m_attempts.back()->m_observer;
    observer.OnUpstreamHeaders(200, { { "id", id }, { "signed", "x" } });
    observer.OnUpstreamBody("data: x\n\n");
    observer.OnUpstreamEnd();
  }
  /// Sends a call and returns what its caller got.
  CallerRecord& Call(const std::string& aPath, HttpHeaders aHeaders)
  {
    const std::string id = "a" + std::to_string(m_callers.size());
    aHeaders.push_back({ "Host", "shop.example" });
    aHeaders.push_back({ "id", id });
    m_callers.push_back(std::make_unique<CallerRecord>());
    m_gateway.OnCall(std::make_unique<FakeCallerCall>(
      *m_callers.back(), "POST", aPath, std::move(aHeaders)));
    return *m_callers.back();
  }
  /// The engine reports calls that run and wait, of all entries.
  void SetLoad(uint32_t aRunning, uint32_t aWaiting)
  {
    m_table.RecordLoad(
      UpstreamId("e1"), { aRunning, aWaiting, 4, 100 }, m_clock.Now());
  }
  static bool HasRetryAfter(const CallerRecord& aCaller)
  {
    return !aCaller.m_headers.empty() &&
           aCaller.m_headers.front().m_name == "retry-after";
  }
  static Duration RetryAfter(const CallerRecord& aCaller)
  {
    return Duration(std::stoll(aCaller.m_headers.front().m_value));
  }

  std::vector<std::unique_ptr<CallerRecord>> m_callers;
  SimulatedTime m_time;
  SkewedClock m_clock{ m_time, 0 };
  SimulatedTimers m_timers{ m_time };
  SeededRandomSource m_random{ 1 };
  FakeUpstreamClient m_client{ 16'000'000 };
  FakeCodec m_codec;
  EngineTable m_table;
  EngineSelector m_selector{ m_table,
                             FailureDomainId("here"),
                             { { FailureDomainId("here"), RegionId("r1") } },
                             m_random };
  RetryBudgetShare m_retries{ RetryBounds{},
                              m_clock.Now() - std::chrono::minutes(5) };
  FakeControlLink m_control;
  Metrics m_metrics;
  TextLog m_log;
  PrefillEstimator m_prefill;
  const FailureDomainId m_domain{ "here" };
  PartQuarantine m_quarantine;
  FakeCrashReporter m_reporter;
  FakeRateGranter m_rates;
  CrashWatch m_crashes{
    { m_clock, m_timers, m_table, m_quarantine, m_reporter, m_metrics, m_log }
  };
  AccessControl m_access{ {} };
  FakeQuotaGate m_quota;
  OverloadControl m_overload{ m_random, m_selector, m_prefill, m_metrics };
  GatewayContext m_context{ m_clock,   m_timers,   m_client,   m_codec,
                            m_table,   m_selector, m_retries,  m_prefill,
                            m_control, m_control,  m_crashes,  m_rates,
                            m_access,  m_quota,    m_domain,   m_metrics,
                            m_log,     nullptr,    &m_overload };
  Gateway m_gateway{ m_context };
};

/// Load pattern: many calls are refused within one instant. All were told to
/// return after the same time, and met again.
TEST_F(GatewayOverloadTest, RefusedCallersReturnSpread)
{
  std::set<Duration> times;
  for (int call = 0; call < 50; ++call) {
    const CallerRecord& caller = Call("/chat/1", { { "model", "other" } });
    ASSERT_EQ(caller.m_status, 503);
    ASSERT_TRUE(HasRetryAfter(caller));
    EXPECT_LE(RetryAfter(caller), std::chrono::seconds(1));
    times.insert(RetryAfter(caller));
  }
  EXPECT_GT(times.size(), 40u);
}

/// Callers whose deadline comes before their return were told to return in
/// vain.
TEST_F(GatewayOverloadTest, ACallWithTooLittleTimeIsRefusedFinally)
{
  const CallerRecord& caller =
    Call("/chat/1", { { "model", "other" }, { "left", "600" } });
  EXPECT_EQ(caller.m_status, 503);
  EXPECT_FALSE(HasRetryAfter(caller));
  EXPECT_NE(m_log.m_text.find("can't be served before its deadline"),
            std::string::npos);
  EXPECT_NE(m_metrics.PrometheusText().find(
              "celeryspread_gateway_overload_final_refusals_total"),
            std::string::npos);
}

/// Load pattern: the engine's queue takes 2.75 s, longer than the objective but
/// within the timeout of the call. Calls joined it, and the engine held work of
/// callers that had given up.
TEST_F(GatewayOverloadTest, ACallIsRefusedWhenTheQueueExceedsItsObjective)
{
  SetLoad(4, 10);
  const CallerRecord& late = Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(late.m_status, 503);
  EXPECT_TRUE(HasRetryAfter(late));
  EXPECT_NE(m_log.m_text.find("exceeds the caller's timeout"),
            std::string::npos);
  // The queue takes 500 ms.
  SetLoad(4, 1);
  const CallerRecord& queued = Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(queued.m_status, 503);
  EXPECT_TRUE(HasRetryAfter(queued));
  EXPECT_NE(m_log.m_text.find("longer than a call of its rank"),
            std::string::npos);
  EXPECT_TRUE(m_client.m_attempts.empty());
  SetLoad(3, 0);
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_client.m_attempts.size(), 1u);
}

/// Load pattern: calls of two priorities while the queue takes 250 of 500 ms,
/// after many urgent ones that found it full. Both were admitted in the order
/// in which they came, until neither was on time.
TEST_F(GatewayOverloadTest, UrgentCallsMayJoinALongerQueue)
{
  for (int call = 0; call < 20; ++call) {
    SetLoad(4, 1);
    Call("/chat/1", { { "model", "m" } });
  }
  const size_t before = m_client.m_attempts.size();
  SetLoad(4, 0);
  const CallerRecord& less = Call("/batch/1", { { "model", "m" } });
  EXPECT_EQ(less.m_status, 503);
  EXPECT_EQ(m_client.m_attempts.size(), before);
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_client.m_attempts.size(), before + 1);
}

/// Load pattern: one team used all that was served, then another one calls.
/// Calls of both were treated alike.
TEST_F(GatewayOverloadTest, ATeamBeyondItsShareIsRefusedFirst)
{
  Team busy;
  busy.m_id = TeamId("busy");
  busy.m_keys = { "k1" };
  Team quiet;
  quiet.m_id = TeamId("quiet");
  quiet.m_keys = { "k2" };
  Configure(2, { busy, quiet });
  for (int call = 0; call < 20; ++call) {
    SetLoad(0, 0);
    Serve({ { "model", "m" }, { "key", "k1" } });
  }
  SetLoad(4, 0);
  Call("/chat/1", { { "model", "m" }, { "key", "k2" } });
  EXPECT_EQ(m_client.m_attempts.size(), 21u);
  // The first call that exceeds the share is the minimum of its class.
  for (int call = 0; call < 2; ++call) {
    SetLoad(4, 0);
    Call("/chat/1", { { "model", "m" }, { "key", "k1" } });
  }
  EXPECT_EQ(m_callers.back()->m_status, 503);
  EXPECT_NE(m_log.m_text.find("team busy has used up its share"),
            std::string::npos);
  SetLoad(4, 0);
  Call("/chat/1", { { "model", "m" }, { "key", "k2" } });
  EXPECT_EQ(m_callers.back()->m_status, 0);
}

/// Calls to plain services have one slot in their records, which says nothing
/// about their queue.
TEST_F(GatewayOverloadTest, CallsToPlainServicesAreNotRefused)
{
  m_table.Update(MakeEngine("e1", "here"));
  SetLoad(4, 3);
  Call("/chat/1", {});
  EXPECT_EQ(m_client.m_attempts.size(), 1u);
}

/// With the setting off, refusals and admissions are those of before.
TEST_F(GatewayOverloadTest, WithoutTheSettingNothingChanges)
{
  m_context.m_overload = nullptr;
  SetLoad(4, 1);
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_client.m_attempts.size(), 1u);
  SetLoad(4, 20);
  const CallerRecord& late = Call("/chat/1", { { "model", "m" } });
  ASSERT_TRUE(HasRetryAfter(late));
  EXPECT_EQ(RetryAfter(late), std::chrono::milliseconds(2500));
}

} // namespace celeryspread::test
