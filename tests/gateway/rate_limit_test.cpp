#include <gtest/gtest.h>

#include "tests/support/simulated_fleet.h"

namespace celeryspread::test {

namespace {

constexpr Duration kContactTime = std::chrono::seconds(4);
constexpr Duration kWindow = std::chrono::seconds(4);

} // namespace

/// Eight entries before eighteen engines, most of which name a limit on the
/// requests that they take from all entries together.
class RateLimitTest : public ::testing::Test
{
protected:
  RateLimitTest()
  {
    const std::vector<std::string> domains = { "here", "near", "far" };
    for (size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(
        std::make_unique<SimulatedEntry>(m_time,
                                         m_engines,
                                         m_owner,
                                         domains[i % domains.size()],
                                         kEntries,
                                         i + 1));
    }
    m_time.RunFor(std::chrono::milliseconds(200));
  }
  /// Sends a call each aPeriod until aEnd.
  void SendCalls(Duration aPeriod, TimePoint aEnd)
  {
    if (m_time.Now() >= aEnd) {
      return;
    }
    m_entries[m_random.Below(kEntries)]->Call("/chat/1", { "first" });
    m_time.Schedule(m_time.Now() + aPeriod,
                    [=, this] { SendCalls(aPeriod, aEnd); });
  }
  /// Share of the calls sent from aFrom on that were answered.
  double ServedShare(TimePoint aFrom) const
  {
    size_t sent = 0;
    size_t served = 0;
    for (const auto& entry : m_entries) {
      for (const SimulatedEntry::Sent& call : entry->Calls()) {
        sent += call.m_at >= aFrom ? 1 : 0;
        served += call.m_at >= aFrom && call.m_record.m_status == 200 ? 1 : 0;
      }
    }
    return static_cast<double>(served) / static_cast<double>(sent);
  }

  static constexpr size_t kEntries = 8;
  SimulatedTime m_time;
  SimulatedEngines m_engines{ m_time, {} };
  SimulatedOwner m_owner{ m_time, m_engines, std::chrono::milliseconds(30) };
  SeededRandomSource m_random{ 5 };
  std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
};

/// An engine in need names the requests a second that it takes. Entries ignored
/// that and sent as many as before.
TEST_F(RateLimitTest, EnginesGetNoMoreThanTheLimitThatTheyNamed)
{
  const TimePoint start = m_time.Now();
  const TimePoint end = start + std::chrono::seconds(30);
  SendCalls(std::chrono::milliseconds(6), end);
  m_time.RunFor(std::chrono::seconds(5));
  const TimePoint limitedAt = m_time.Now();
  for (size_t i = 0; i < 13; ++i) {
    m_engines.m_limits[i] = i == 0 ? 1.0 : 4.8;
  }
  m_time.RunFor(std::chrono::seconds(26));
  EXPECT_LE(m_engines.WorstExcess(limitedAt + kContactTime, kWindow), 0.0);
  // The other engines have room for all calls.
  EXPECT_GE(ServedShare(limitedAt + kContactTime), 0.95);
}

/// A new owner does not know what its predecessor granted, and entries that
/// reach no owner decide for themselves.
TEST_F(RateLimitTest, HoldsWithNewOwnersAndEntriesThatAreCutOff)
{
  const TimePoint end = m_time.Now() + std::chrono::seconds(30);
  SendCalls(std::chrono::milliseconds(6), end);
  m_time.RunFor(std::chrono::seconds(5));
  const TimePoint limitedAt = m_time.Now();
  for (size_t i = 0; i < 13; ++i) {
    m_engines.m_limits[i] = 4.8;
  }
  for (size_t i = 0; i < 6; ++i) {
    m_entries[i]->SetCutOff(true);
    m_time.RunFor(std::chrono::seconds(2));
    m_entries[i]->SetCutOff(false);
    m_owner.Replace();
    m_time.RunFor(std::chrono::seconds(2));
  }
  EXPECT_LE(m_engines.WorstExcess(limitedAt + kContactTime, kWindow), 0.0);
}

TEST_F(RateLimitTest, AllCallsAreServedOnceTheLimitsEnd)
{
  const TimePoint end = m_time.Now() + std::chrono::seconds(30);
  SendCalls(std::chrono::milliseconds(6), end);
  for (size_t i = 0; i < 18; ++i) {
    m_engines.m_limits[i] = 2;
  }
  m_time.RunFor(std::chrono::seconds(10));
  m_engines.m_limits.clear();
  m_time.RunFor(std::chrono::seconds(3));
  const TimePoint endedAt = m_time.Now();
  m_time.RunFor(std::chrono::seconds(15));
  EXPECT_GE(ServedShare(endedAt), 0.99);
}

} // namespace celeryspread::test
