#include <gtest/gtest.h>

#include "quarantine/crash_investigation.h"
#include "quarantine/request_namer.h"

namespace celeryspread::test {

// Guards against an owner that is busy for seconds, and loses its leadership,
// when many engines end together before many entries: the list of suspect parts
// was computed anew, from all crashes and parts, for each of their reports.
TEST(CrashInvestigationSizeTest, ManyReportsOfOneMomentUpdateTheListSeldom)
{
  constexpr size_t kEntries = 300;
  constexpr size_t kEngines = 40;
  constexpr size_t kParts = 64;
  constexpr Duration kStep = std::chrono::milliseconds(50);
  CrashInvestigation crashes;
  TimePoint now{ std::chrono::seconds(1000) };
  const TimePoint end = now + std::chrono::seconds(1);
  for (size_t entry = 0; now < end; now += kStep) {
    // Twenty steps, in each of which some of the entries report.
    for (const size_t last = entry + kEntries / 20; entry < last; ++entry) {
      for (size_t engine = 0; engine < kEngines; ++engine) {
        const std::string own =
          "p" + std::to_string((entry * kEngines + engine) % kParts);
        crashes.RecordCrash({ UpstreamId("e" + std::to_string(engine)),
                              now,
                              { { PromptPartId("all"), PromptPartId(own) } },
                              {} },
                            now);
      }
      for (size_t part = 0; part < kParts; ++part) {
        crashes.RecordSound(PromptPartId("p" + std::to_string(part)), now, now);
      }
    }
    crashes.Tick(now);
  }
  // Entries hear of a change within a few steps, whatever their number.
  constexpr uint64_t kMaxUpdates = 40;
  EXPECT_LE(crashes.UpdateCount(), kMaxUpdates);
}

// The last report of a burst still reaches the list.
TEST(CrashInvestigationSizeTest, LastReportOfABurstIsListed)
{
  CrashInvestigation crashes;
  TimePoint now{ std::chrono::seconds(1000) };
  for (const char* part : { "a", "b" }) {
    crashes.RecordCrash(
      { UpstreamId(part), now, { { PromptPartId(part) } }, {} }, now);
  }
  now += std::chrono::milliseconds(100);
  crashes.Tick(now);
  EXPECT_TRUE(crashes.Suspects().contains(PromptPartId("a")));
  EXPECT_TRUE(crashes.Suspects().contains(PromptPartId("b")));
}

// Guards against a list that grows with the number of different requests that
// end engines, and against requests that displace the parts held back.
TEST(CrashInvestigationSizeTest, ThousandsOfRequestsDisplaceNoPart)
{
  constexpr size_t kRequests = 1000;
  constexpr size_t kMaxListed = 128;
  const RequestNamer namer("key");
  CrashInvestigation crashes;
  TimePoint now{ std::chrono::seconds(1000) };
  size_t engine = 0;
  const auto crash = [&](const PromptParts& aParts) {
    now += std::chrono::milliseconds(100);
    crashes.RecordCrash(
      { UpstreamId("e" + std::to_string(++engine)), now, {}, { aParts } }, now);
    crashes.Tick(now);
  };
  const PromptPartId part("bad");
  for (int i = 0; i < 4; ++i) {
    crash({ part });
  }
  for (size_t i = 0; i < kRequests; ++i) {
    const std::string target = "/status/" + std::to_string(i);
    const PromptPartId name = namer.Name({ "GET", "host", target, "", "" });
    for (int run = 0; run < 3; ++run) {
      crash({ name });
    }
    ASSERT_LE(crashes.Suspects().size(), kMaxListed);
  }
  EXPECT_TRUE(crashes.Suspects().contains(part));
  EXPECT_TRUE(crashes.Suspects().at(part).m_isHeld);
}

} // namespace celeryspread::test
