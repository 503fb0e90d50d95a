#include <gtest/gtest.h>

#include <algorithm>

#include "tests/support/simulated_fleet.h"

namespace celeryspread::test {

namespace {

constexpr Duration kContactTime = std::chrono::seconds(4);
constexpr size_t kToleratedCrashes = 5;
constexpr size_t kToleratedArrivals = 3;

} // namespace

/// Eight entries in three failure domains before eighteen engines, with the
/// traffic of one route: its calls share their first part, and each has one of
/// many second parts.
class PoisonPartTest : public ::testing::Test
{
protected:
  PoisonPartTest()
  {
    const std::vector<std::string> domains = { "here", "near", "far" };
    for (size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<SimulatedEntry>(
        m_time, m_engines, domains[i % domains.size()], kEntries, i + 1));
    }
  }

  SimulatedEntry& AnyEntry() { return *m_entries[m_random.Below(kEntries)]; }
  /// Sends a sound call each aPeriod until aEnd.
  void SendSoundCalls(Duration aPeriod, TimePoint aEnd)
  {
    if (m_time.Now() >= aEnd) {
      return;
    }
    AnyEntry().Call("/chat/1",
                    { "first", "topic" + std::to_string(m_random.Below(100)) });
    m_time.Schedule(m_time.Now() + aPeriod,
                    [=, this] { SendSoundCalls(aPeriod, aEnd); });
  }
  /// Sends a call with a certain part each aPeriod until aEnd.
  void SendPoison(const std::vector<std::string>& aParts,
                  Duration aPeriod,
                  TimePoint aEnd)
  {
    if (m_time.Now() >= aEnd) {
      return;
    }
    AnyEntry().Call("/chat/1", aParts);
    m_time.Schedule(m_time.Now() + aPeriod,
                    [=, this] { SendPoison(aParts, aPeriod, aEnd); });
  }
  /// Requests with a part that engines received later than the contact time
  /// after the fifth of them had ended under it.
  size_t LateArrivals(const std::string& aPart)
  {
    const auto& crashes = m_engines.CrashesUnder(aPart);
    if (crashes.size() < kToleratedCrashes) {
      return 0;
    }
    return m_engines.ArrivalsAfter(
      aPart, crashes[kToleratedCrashes - 1] + kContactTime);
  }

  static constexpr size_t kEntries = 8;
  SimulatedTime m_time;
  SimulatedEngines m_engines{ m_time, {} };
  SeededRandomSource m_random{ 7 };
  std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
};

/// Each request with a certain prompt part ended the engine that began to
/// answer it. Entries kept sending such requests, engine after engine, as no
/// entry knew what an engine had been doing when it ended.
TEST_F(PoisonPartTest, PartThatEndsEnginesIsHeldBackByAllEntries)
{
  m_engines.m_poisonParts = { "bad" };
  const TimePoint end = m_time.Now() + std::chrono::seconds(40);
  SendSoundCalls(std::chrono::milliseconds(12), end);
  m_time.RunFor(std::chrono::seconds(5));
  SendPoison({ "first", "bad" }, std::chrono::milliseconds(300), end);
  m_time.RunFor(std::chrono::seconds(36));
  EXPECT_GE(m_engines.CrashesUnder("bad").size(), 1U);
  EXPECT_LE(LateArrivals("bad"), kToleratedArrivals);
}

} // namespace celeryspread::test
