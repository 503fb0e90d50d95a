#include <gtest/gtest.h>

#include "tests/support/simulated_fleet.h"

namespace celeryspread::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The platform's bounds: a request that ends the engines that run it may reach
/// this many more, from this long after it has ended the third.
constexpr Duration kContactTime = seconds(4);
constexpr size_t kToleratedCrashes = 3;
constexpr size_t kToleratedArrivals = 3;

} // namespace

/// Eight entries before six engines that answer plain requests in 60 ms. One
/// request, always with the same path, ends each engine 40 ms after it has
/// begun, before any byte of the answer.
class PoisonRequestTest : public ::testing::Test
{
protected:
  PoisonRequestTest()
  {
    m_engines.m_crashMoment = SimulatedEngines::CrashMoment::Nothing;
    m_entries.resize(kEntries);
    for (size_t i = 0; i < kEntries; ++i) {
      RestartEntry(i);
    }
    // An entry takes calls once it has the owner's lists.
    m_time.RunFor(milliseconds(200));
  }

  static SimulatedEngines::Options EngineOptions()
  {
    SimulatedEngines::Options options;
    options.m_engines = 6;
    options.m_events = 1;
    options.m_crashDelay = milliseconds(20);
    options.m_restartDelay = milliseconds(4000);
    return options;
  }
  void RestartEntry(size_t aIndex)
  {
    const std::vector<std::string> domains = { "here", "near", "far" };
    m_entries[aIndex].reset();
    m_entries[aIndex] =
      std::make_unique<SimulatedEntry>(m_time,
                                       m_engines,
                                       m_owner,
                                       domains[aIndex % domains.size()],
                                       kEntries,
                                       ++m_starts);
  }
  SimulatedEntry& AnyEntry()
  {
    for (;;) {
      SimulatedEntry& entry = *m_entries[m_random.Below(kEntries)];
      if (entry.IsReady()) {
        return entry;
      }
    }
  }
  /// Sends sound requests until aEnd: every second one alone of its kind, the
  /// others as polls of one status.
  void SendSound(Duration aPeriod, TimePoint aEnd)
  {
    if (m_time.Now() >= aEnd) {
      return;
    }
    const uint64_t number = m_soundSent++;
    const std::string path =
      number % 2 == 0 ? "/status/poll" : "/status/" + std::to_string(number);
    AnyEntry().CallPlain(path);
    m_time.Schedule(m_time.Now() + aPeriod,
                    [=, this] { SendSound(aPeriod, aEnd); });
  }
  /// Sends the request that ends engines until aEnd.
  void SendPoison(const std::string& aPath, Duration aPeriod, TimePoint aEnd)
  {
    if (m_time.Now() >= aEnd) {
      return;
    }
    SimulatedEntry& entry = AnyEntry();
    (m_hasPrompt ? entry.CallPrompt(aPath, { "first" }, "same")
                 : entry.CallPlain(aPath))
      .m_isPoison = true;
    m_time.Schedule(m_time.Now() + aPeriod,
                    [=, this] { SendPoison(aPath, aPeriod, aEnd); });
  }
  /// Requests with a path that engines received later than the contact time
  /// after the third of them had ended under it.
  size_t LateArrivals(const std::string& aPath)
  {
    const auto& crashes = m_engines.CrashesUnder(aPath);
    return crashes.size() < kToleratedCrashes
             ? 0
             : m_engines.ArrivalsAfter(
                 aPath, crashes[kToleratedCrashes - 1] + kContactTime);
  }
  /// Share of the sound requests sent from aFrom to aTo that were served.
  double ServedShare(TimePoint aFrom, TimePoint aTo)
  {
    size_t sent = 0;
    size_t served = 0;
    for (const auto& entry : m_entries) {
      for (const SimulatedEntry::Sent& call : entry->Calls()) {
        if (call.m_at >= aFrom && call.m_at < aTo && !call.m_isPoison) {
          ++sent;
          served += call.m_record.m_status == 200 ? 1 : 0;
        }
      }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }

  static constexpr size_t kEntries = 8;
  SimulatedTime m_time;
  SimulatedEngines m_engines{ m_time, EngineOptions() };
  SimulatedOwner m_owner{ m_time, m_engines, milliseconds(30) };
  SeededRandomSource m_random{ 11 };
  uint64_t m_starts = 0;
  uint64_t m_soundSent = 0;
  /// Whether the request that ends engines has a prompt.
  bool m_hasPrompt = false;
  std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
};

// Guards against a request without a prompt that ends engine after engine, as
// only parts of prompts were suspected.
TEST_F(PoisonRequestTest, RequestThatEndsEnginesIsHeldBackByAllEntries)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendSound(milliseconds(40), end);
  m_time.RunFor(seconds(5));
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(66));
  EXPECT_GE(m_engines.CrashesUnder("/status/bad").size(), kToleratedCrashes);
  EXPECT_LE(LateArrivals("/status/bad"), kToleratedArrivals);
}

// The same on a route whose requests run at most once, which are never sent to
// a second engine.
TEST_F(PoisonRequestTest, RequestThatRunsOnceIsHeldBack)
{
  m_engines.m_poisonParts = { "/pay/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendPoison("/pay/bad", milliseconds(300), end);
  m_time.RunFor(seconds(71));
  EXPECT_GE(m_engines.CrashesUnder("/pay/bad").size(), kToleratedCrashes);
  EXPECT_LE(LateArrivals("/pay/bad"), kToleratedArrivals);
}

// A request with a prompt may be the reason as a whole, while all its parts are
// sound in other requests.
TEST_F(PoisonRequestTest, RequestWithSoundPartsIsHeldBack)
{
  m_hasPrompt = true;
  m_engines.m_poisonParts = { "/chat/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendPoison("/chat/bad", milliseconds(300), end);
  for (int i = 0; i < 3000; ++i) {
    AnyEntry().Call("/chat/1", { "first" });
    m_time.RunFor(milliseconds(24));
  }
  EXPECT_GE(m_engines.CrashesUnder("/chat/bad").size(), kToleratedCrashes);
  EXPECT_LE(LateArrivals("/chat/bad"), kToleratedArrivals);
}

// Guards against one call that ends an engine for each run that its route
// allows, once the request is known to have ended one.
TEST_F(PoisonRequestTest, KnownSuspectIsNotSentToASecondEngine)
{
  m_engines.m_poisonParts = { "/status/bad" };
  m_entries[0]->CallPlain("/status/bad");
  m_time.RunFor(seconds(1));
  // The first call may try a second engine; three would be allowed.
  EXPECT_EQ(m_engines.CrashesUnder("/status/bad").size(), 2U);
  m_entries[0]->CallPlain("/status/bad");
  m_time.RunFor(seconds(1));
  EXPECT_EQ(m_engines.CrashesUnder("/status/bad").size(), 3U);
}

// Sound requests break off with each engine that ends. They may not be held
// back with the one that is the reason.
TEST_F(PoisonRequestTest, SoundRequestsGoOn)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendSound(milliseconds(20), end);
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(71));
  // All engines are back a few seconds after the request is held back.
  EXPECT_GE(ServedShare(end - seconds(55), end), 0.9);
}

// Guards against polls of a status that are held back because they were in
// progress in every crash that something else caused.
TEST_F(PoisonRequestTest, PollThatIsInEachCrashGoesOn)
{
  const TimePoint end = m_time.Now() + seconds(60);
  SendSound(milliseconds(4), end);
  for (size_t i = 0; i < 20; ++i) {
    m_time.RunFor(milliseconds(2900));
    m_engines.Crash(i % EngineOptions().m_engines);
  }
  EXPECT_GE(ServedShare(m_time.Now() - seconds(40), m_time.Now() - seconds(1)),
            0.9);
  for (const auto& entry : m_entries) {
    for (const SimulatedEntry::Sent& call : entry->Calls()) {
      EXPECT_NE(call.m_record.m_status, 503);
    }
  }
}

// Owners change, entries restart and are cut off; what was learned has to stay.
TEST_F(PoisonRequestTest, StaysHeldBackWhileOwnersAndEntriesChange)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendSound(milliseconds(40), end);
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(6));
  for (size_t i = 0; i < 16; ++i) {
    if (i % 3 == 0) {
      m_owner.Replace();
    }
    RestartEntry(i % kEntries);
    m_time.RunFor(seconds(4));
  }
  EXPECT_GE(m_engines.CrashesUnder("/status/bad").size(), kToleratedCrashes);
  EXPECT_LE(LateArrivals("/status/bad"), kToleratedArrivals);
}

// Guards against entries that forget what the owner listed while they are cut
// off from it.
TEST_F(PoisonRequestTest, StaysHeldBackAtEntriesThatAreCutOff)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  SendSound(milliseconds(40), end);
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(6));
  for (size_t i = 0; i < 5; ++i) {
    for (size_t entry = i % 2; entry < kEntries; entry += 2) {
      m_entries[entry]->SetCutOff(true);
    }
    m_time.RunFor(seconds(9));
    for (const auto& entry : m_entries) {
      entry->SetCutOff(false);
    }
    m_time.RunFor(seconds(3));
  }
  EXPECT_GE(m_engines.CrashesUnder("/status/bad").size(), kToleratedCrashes);
  EXPECT_LE(LateArrivals("/status/bad"), kToleratedArrivals);
}

// Entries that were cut off while engines ended may send the request until they
// are in touch again, and no longer.
TEST_F(PoisonRequestTest, EntriesThatWereCutOffHoldItBackOnceInTouch)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(70);
  for (size_t entry = 0; entry < kEntries; entry += 2) {
    m_entries[entry]->SetCutOff(true);
  }
  SendSound(milliseconds(40), end);
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(15));
  for (const auto& entry : m_entries) {
    entry->SetCutOff(false);
  }
  const TimePoint inTouchAt = m_time.Now() + kContactTime;
  m_time.RunFor(seconds(50));
  EXPECT_GE(m_engines.CrashesUnder("/status/bad").size(), kToleratedCrashes);
  EXPECT_LE(m_engines.ArrivalsAfter("/status/bad", inTouchAt),
            kToleratedArrivals);
}

// What was held back by mistake, or whose cause was mended, is served again.
TEST_F(PoisonRequestTest, MendedRequestIsServedAgain)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + seconds(120);
  SendPoison("/status/bad", milliseconds(300), end);
  m_time.RunFor(seconds(6));
  m_engines.m_poisonParts.clear();
  m_time.RunFor(seconds(100));
  const size_t before = m_engines.ArrivalsAfter("/status/bad", m_time.Now());
  ASSERT_EQ(before, 0U);
  const TimePoint since = m_time.Now();
  m_time.RunFor(seconds(10));
  EXPECT_GE(m_engines.ArrivalsAfter("/status/bad", since), 25U);
}

// Trials of a request that goes on coming for hours count, too.
TEST_F(PoisonRequestTest, TrialsEnd)
{
  m_engines.m_poisonParts = { "/status/bad" };
  const TimePoint end = m_time.Now() + std::chrono::hours(3);
  SendPoison("/status/bad", seconds(1), end);
  m_time.RunFor(std::chrono::hours(3));
  EXPECT_LE(LateArrivals("/status/bad"), kToleratedArrivals);
}

} // namespace celeryspread::test
