#include <gtest/gtest.h>

#include "fleet/fleet_owner.h"
#include "tests/support/gateway_fakes.h"
#include "tests/support/null_event_log.h"

namespace celeryspread::test {

namespace {

/// Engines that refuse each connection at once, and the platform's list.
class RefusingEngines : public EngineControl
{
public:
  void SendOrder(const EngineRecord& /*aEngine*/,
                 const EngineOrder& /*aOrder*/,
                 std::function<void(OrderReply)> aDone) override
  {
    aDone(OrderReply::NoAnswer);
  }
  void ReadReport(
    const EngineRecord& /*aEngine*/,
    std::function<void(std::optional<EngineReport>)> aDone) override
  {
    ++m_reads;
    aDone(std::nullopt);
  }
  void ReadList(std::function<void(std::optional<std::vector<EngineRecord>>)>
                  aDone) override
  {
    aDone(m_list);
  }

  std::vector<EngineRecord> m_list;
  size_t m_reads = 0;
};

} // namespace

// Guards against an owner that connects to a dead engine once for each entry
// that lost it: a refused connection ends the check before the next report.
TEST(CrashCheckTest, DeadEngineIsCheckedOnceForAllEntries)
{
  SimulatedTime time;
  SkewedClock clock(time, 0);
  SimulatedTimers timers(time);
  NullEventLog log;
  RefusingEngines engines;
  engines.m_list = { MakeEngine("e", "here", "m") };
  FleetOwner owner(
    { clock, timers, engines, log },
    { InstanceId("owner"),
      std::chrono::seconds(3),
      std::chrono::seconds(5),
      true,
      100 },
    { [] { return true; },
      [](const PoolId&, const SoftwareVersion&) { return true; } });
  owner.AcquireOwnership(FencingToken(1));
  owner.Tick();
  ASSERT_NE(owner.Directory().Find(UpstreamId("e")), nullptr);
  const size_t before = engines.m_reads;
  constexpr size_t kEntries = 300;
  for (size_t i = 0; i < kEntries; ++i) {
    time.RunFor(std::chrono::milliseconds(1));
    owner.RecordCrash(
      { UpstreamId("e"), clock.Now(), { { PromptPartId("p") } }, {} });
  }
  // One to see whether it lives, one to see whether orders reach it.
  constexpr size_t kMaxReads = 2;
  EXPECT_LE(engines.m_reads - before, kMaxReads);
  // The next process under the same id is checked again.
  time.RunFor(std::chrono::seconds(2));
  const size_t first = engines.m_reads;
  owner.RecordCrash(
    { UpstreamId("e"), clock.Now(), { { PromptPartId("p") } }, {} });
  EXPECT_GT(engines.m_reads, first);
}

} // namespace celeryspread::test
