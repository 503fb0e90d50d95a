#include <gtest/gtest.h>

#include "fleet/engine_orders.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

namespace {

/// EngineControl for one engine whose replies and reports the test sets.
class FakeEngineControl : public EngineControl
{
public:
  void SendOrder(const EngineRecord& /*aEngine*/,
                 const EngineOrder& aOrder,
                 std::function<void(OrderReply)> aDone) override
  {
    m_orders.push_back(aOrder);
    m_reply = std::move(aDone);
  }
  void ReadReport(
    const EngineRecord& /*aEngine*/,
    std::function<void(std::optional<EngineReport>)> aDone) override
  {
    ++m_reads;
    aDone(m_isAnswering ? std::optional(m_report) : std::nullopt);
  }
  void ReadList(std::function<void(std::optional<std::vector<EngineRecord>>)>
                  aDone) override
  {
    aDone(std::nullopt);
  }

  EngineReport m_report;
  std::vector<EngineOrder> m_orders;
  std::function<void(OrderReply)> m_reply;
  int m_reads = 0;
  bool m_isAnswering = true;
};

} // namespace

class EngineOrdersTest : public ::testing::Test
{
protected:
  EngineOrdersTest()
  {
    m_spec.m_weightMegabytes = 250;
    m_spec.m_adapterSlots = 2;
    m_budget.SetLimits(1.0 / 3600, std::chrono::hours(1));
    for (const char* name : { "m1", "m2", "m3" }) {
      ModelSpec model;
      model.m_name = name;
      model.m_megabytes = 100;
      model.m_adapterMegabytes = 1;
      m_spec.m_models[name] = model;
    }
    EngineRecord record = MakeEngine("e", "here", "m1");
    record.m_cachedWeights = { "m1", "m2" };
    m_directory.ApplyList({ record }, m_time.Now());
    m_control.m_report.m_models["m1"] = LoadedModel{ 1, {} };
    m_control.m_report.m_sequence = 7;
    m_orders.AcquireOwnership(FencingToken(4), m_time.Now());
  }

  void Submit(EngineOrderKind aKind, const ModelTarget& aTarget)
  {
    m_orders.Submit(m_engine, aKind, aTarget, [this](bool aIsDone) {
      m_results.push_back(aIsDone);
    });
  }
  void Wait(int aMilliseconds)
  {
    for (int i = 0; i < aMilliseconds; i += 50) {
      m_time.RunFor(std::chrono::milliseconds(50));
      m_orders.Tick();
    }
  }

  const UpstreamId m_engine{ "e" };
  SimulatedTime m_time;
  SkewedClock m_clock{ m_time, 0 };
  SimulatedTimers m_timers{ m_time };
  RecordingEventLog m_log;
  FakeEngineControl m_control;
  EngineDirectory m_directory;
  EngineSpec m_spec;
  bool m_mayOrder = true;
  /// Allows one load from the weight store during a test.
  StoreBudget m_budget;
  std::vector<bool> m_results;
  EngineOrders m_orders{ { m_clock, m_timers, m_control, m_directory, m_log },
                         InstanceId("owner"),
                         [this](const PoolId&) { return &m_spec; },
                         [this](const PoolId&) -> StoreBudget& {
                           return m_budget;
                         },
                         [this] { return m_mayOrder; } };
};

TEST_F(EngineOrdersTest, NamesTheSequenceOfTheContentsItWasCheckedAgainst)
{
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  ASSERT_EQ(m_control.m_orders.size(), 1U);
  EXPECT_EQ(m_control.m_orders[0].m_expectedSequence, 7U);
  EXPECT_EQ(m_control.m_orders[0].m_token, FencingToken(4));
  m_control.m_reply(OrderReply::Accepted);
  Submit(EngineOrderKind::Load, { "m1", "a2" });
  ASSERT_EQ(m_control.m_orders.size(), 2U);
  EXPECT_EQ(m_control.m_orders[1].m_expectedSequence, 8U);
}

TEST_F(EngineOrdersTest, ReportsWhenAnAdapterIsLoaded)
{
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  m_control.m_reply(OrderReply::Accepted);
  EXPECT_TRUE(m_results.empty());
  Wait(50);
  EXPECT_EQ(m_results, std::vector<bool>{ true });
  EXPECT_TRUE(m_directory.Find(m_engine)->Holds({ "m1", "a1" }));
}

TEST_F(EngineOrdersTest, OrdersNoMoreAdaptersThanThereAreSlots)
{
  m_control.m_report.m_models["m1"].m_adapters = { "a1" };
  m_control.m_report.m_loadingAdapters = { { "m1", "a2" } };
  Submit(EngineOrderKind::Load, { "m1", "a3" });
  EXPECT_TRUE(m_control.m_orders.empty());
  EXPECT_EQ(m_results, std::vector<bool>{ false });
}

TEST_F(EngineOrdersTest, OrdersNoModelThatExceedsTheMemory)
{
  m_control.m_report.m_models["m2"] = LoadedModel{ 1, {} };
  Submit(EngineOrderKind::Load, { "m3", "" });
  EXPECT_TRUE(m_control.m_orders.empty());
  EXPECT_EQ(m_results, std::vector<bool>{ false });
}

TEST_F(EngineOrdersTest, CountsLoadsFromTheStoreButNotFromCachedWeights)
{
  Submit(EngineOrderKind::Load, { "m2", "" });
  EXPECT_EQ(m_control.m_orders.size(), 1U);
  EXPECT_EQ(m_budget.RemainingLoads(m_clock.Now()), 1U);
  m_control.m_reply(OrderReply::Refused);
  m_budget.SetLimits(0, std::chrono::hours(1));
  Wait(1000);
  Submit(EngineOrderKind::Load, { "m3", "" });
  EXPECT_EQ(m_control.m_orders.size(), 1U);
}

TEST_F(EngineOrdersTest, ReadsTheReportAgainAfterAnOrderWithoutAnswer)
{
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  m_control.m_reply(OrderReply::NoAnswer);
  EXPECT_EQ(m_results, std::vector<bool>{ false });
  EXPECT_FALSE(m_orders.IsResponsive(m_engine));
  // The engine received the order late, carried it out and counted it. The next
  // order must name the new sequence number, which only a report shows.
  m_control.m_report.m_sequence = 8;
  m_control.m_report.m_models["m1"].m_adapters = { "a1" };
  Submit(EngineOrderKind::Load, { "m1", "a2" });
  EXPECT_EQ(m_control.m_orders.size(), 1U);
  Wait(1000);
  ASSERT_EQ(m_control.m_orders.size(), 2U);
  EXPECT_EQ(m_control.m_orders[1].m_expectedSequence, 8U);
}

TEST_F(EngineOrdersTest, LosesOwnershipWhenTheEngineSawAHigherToken)
{
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  m_control.m_reply(OrderReply::FencedOff);
  Submit(EngineOrderKind::Load, { "m1", "a2" });
  EXPECT_EQ(m_control.m_orders.size(), 1U);
  EXPECT_EQ(m_results, (std::vector<bool>{ false, false }));
}

TEST_F(EngineOrdersTest,
       SendsNothingWithoutALeaseOrBeforeThePreviousOwnerStopped)
{
  m_mayOrder = false;
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  EXPECT_TRUE(m_control.m_orders.empty());
  m_mayOrder = true;
  m_orders.AcquireOwnership(FencingToken(5),
                            m_time.Now() + std::chrono::milliseconds(300));
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  Wait(250);
  EXPECT_TRUE(m_control.m_orders.empty());
  Wait(100);
  EXPECT_EQ(m_control.m_orders.size(), 1U);
}

TEST_F(EngineOrdersTest, UnloadThatWaitsForCallsMakesTheEngineUnresponsive)
{
  m_control.m_report.m_models["m1"].m_adapters = { "a1" };
  m_directory.RecordHeld(m_engine, { "m1", "a1" }, true, m_time.Now());
  Submit(EngineOrderKind::Unload, { "m1", "a1" });
  ASSERT_EQ(m_control.m_orders.size(), 1U);
  EXPECT_TRUE(m_orders.IsResponsive(m_engine));
  m_control.m_reply(OrderReply::Accepted);
  EXPECT_FALSE(m_orders.IsResponsive(m_engine));
  // The engine is busy until the calls in progress have ended. An adapter load
  // that is queued meanwhile fails after 500 ms, so that another engine can
  // load the adapter before the call that needs it is late.
  m_control.m_report.m_isBusy = true;
  Submit(EngineOrderKind::Load, { "m1", "a2" });
  Wait(600);
  EXPECT_EQ(m_results, (std::vector<bool>{ true, false }));
}

TEST_F(EngineOrdersTest, AnnouncesAnUnloadBeforeItSendsIt)
{
  Submit(EngineOrderKind::Unload, { "m1", "" });
  EXPECT_TRUE(m_control.m_orders.empty());
  EXPECT_FALSE(m_directory.Find(m_engine)->Holds({ "m1", "" }));
  Wait(300);
  EXPECT_EQ(m_control.m_orders.size(), 1U);
}

TEST_F(EngineOrdersTest, CountsQueuedAndAcceptedModelOrders)
{
  Submit(EngineOrderKind::Unload, { "m1", "" });
  Submit(EngineOrderKind::Load, { "m2", "" });
  EXPECT_EQ(m_orders.ModelsAfterOrders(*m_directory.Find(m_engine)),
            std::set<std::string>{ "m2" });
  Wait(300);
  m_control.m_reply(OrderReply::Accepted);
  EXPECT_EQ(m_orders.ModelsAfterOrders(*m_directory.Find(m_engine)),
            std::set<std::string>{ "m2" });
}

TEST_F(EngineOrdersTest, ForgetsAnEngineThatRestarted)
{
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  m_orders.Forget(m_engine);
  EXPECT_EQ(m_results, std::vector<bool>{ false });
  m_control.m_report.m_sequence = 0;
  Submit(EngineOrderKind::Load, { "m1", "a1" });
  ASSERT_EQ(m_control.m_orders.size(), 2U);
  EXPECT_EQ(m_control.m_orders[1].m_expectedSequence, 0U);
}

TEST(EngineDirectoryTest, OrderEffectsOverrideTheListWhileItLags)
{
  EngineDirectory directory;
  TimePoint now(std::chrono::seconds(10));
  const EngineRecord listed = MakeEngine("e", "here", "m");
  directory.ApplyList({ listed }, now);
  directory.RecordHeld(UpstreamId("e"), { "m", "a1" }, true, now);
  const uint64_t version = directory.Version();
  now += std::chrono::milliseconds(700);
  directory.ApplyList({ listed }, now);
  EXPECT_TRUE(directory.Find(UpstreamId("e"))->Holds({ "m", "a1" }));
  EXPECT_EQ(directory.Version(), version);
  now += std::chrono::seconds(5);
  directory.ApplyList({ listed }, now);
  EXPECT_FALSE(directory.Find(UpstreamId("e"))->Holds({ "m", "a1" }));
}

TEST(EngineDirectoryTest, LeavingIsNotUndoneBeforeARestart)
{
  EngineDirectory directory;
  const TimePoint now(std::chrono::seconds(10));
  EngineRecord record = MakeEngine("e", "here", "m");
  record.m_isLeaving = true;
  directory.ApplyList({ record }, now);
  record.m_isLeaving = false;
  directory.ApplyList({ record }, now);
  EXPECT_TRUE(directory.Find(UpstreamId("e"))->m_isLeaving);
  directory.ApplyList({}, now);
  directory.ApplyList({ record }, now);
  EXPECT_TRUE(directory.Find(UpstreamId("e"))->m_isLeaving);
  // Another start time means that the engine has restarted.
  record.m_startedAt = 5;
  const auto changes = directory.ApplyList({ record }, now);
  EXPECT_FALSE(directory.Find(UpstreamId("e"))->m_isLeaving);
  EXPECT_EQ(changes.m_appeared, std::vector<UpstreamId>{ UpstreamId("e") });
}

TEST(EngineDirectoryTest, ReportsEnginesThatAreGone)
{
  EngineDirectory directory;
  const TimePoint now(std::chrono::seconds(10));
  directory.ApplyList({ MakeEngine("e", "here") }, now);
  const auto changes = directory.ApplyList({}, now);
  EXPECT_EQ(changes.m_gone, std::vector<UpstreamId>{ UpstreamId("e") });
  EXPECT_EQ(directory.Find(UpstreamId("e")), nullptr);
}

/// A load waited for an unload while a load planned later used up the store's
/// rate, so the model with the most calls stayed without a copy.
TEST_F(EngineOrdersTest, QueuedStoreLoadKeepsItsPartOfTheRate)
{
  m_control.m_report.m_models["m2"] = LoadedModel{ 1, {} };
  Submit(EngineOrderKind::Unload, { "m2", "" });
  Submit(EngineOrderKind::Load, { "m3", "" });
  EXPECT_EQ(m_budget.RemainingLoads(m_clock.Now()), 0U);
  EXPECT_EQ(m_budget.Reserve(m_clock.Now()), nullptr);
  Wait(300);
  ASSERT_EQ(m_control.m_orders.size(), 1U);
  m_control.m_reply(OrderReply::Accepted);
  m_control.m_report.m_models.erase("m2");
  m_control.m_report.m_sequence = 8;
  Wait(1000);
  ASSERT_EQ(m_control.m_orders.size(), 2U);
  EXPECT_EQ(m_control.m_orders[1].m_target.m_model, "m3");
}

TEST_F(EngineOrdersTest, StoreLoadThatIsForgottenGivesItsPartBack)
{
  m_mayOrder = false;
  Submit(EngineOrderKind::Load, { "m3", "" });
  EXPECT_EQ(m_budget.RemainingLoads(m_clock.Now()), 0U);
  m_orders.Forget(m_engine);
  EXPECT_EQ(m_budget.RemainingLoads(m_clock.Now()), 1U);
}

/// The platform's list shows a crashed engine for seconds, and until then its
/// models counted as served.
TEST_F(EngineOrdersTest, EngineWithoutAnAnswerIsUnreachableUntilItAnswers)
{
  m_control.m_isAnswering = false;
  EXPECT_TRUE(m_orders.IsReachable(m_engine));
  m_orders.CheckReachable(m_engine);
  EXPECT_FALSE(m_orders.IsReachable(m_engine));
  m_control.m_isAnswering = true;
  Wait(1000);
  EXPECT_TRUE(m_orders.IsReachable(m_engine));
}

} // namespace celeryspread::test
