#include <gtest/gtest.h>

#include "streams/stream_versions.h"

namespace celeryspread::test {

namespace {

constexpr Duration kMemory = std::chrono::seconds(10);
constexpr size_t kMaxStreams = 1000;

TimePoint At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1) + aTime);
}

SoftwareVersion Version(const std::string& aName)
{
  return SoftwareVersion(aName);
}

} // namespace

TEST(StreamVersionsTest, KnowsAStreamForItsMemoryTime)
{
  StreamVersions streams(kMemory, kMaxStreams);
  streams.Record(StreamKey(1), Version("v1"), At({}));
  streams.Record(StreamKey(2), Version("v2"), At(kMemory - Duration(1)));
  streams.Record(StreamKey(1), Version("v2"), At(kMemory - Duration(1)));
  // The third generation forgets the first.
  streams.Record(StreamKey(3), Version("v3"), At(kMemory));
  EXPECT_EQ(streams.Find(StreamKey(1)), Version("v1"));
  EXPECT_EQ(streams.Find(StreamKey(2)), Version("v2"));
  streams.Record(StreamKey(4), Version("v1"), At(2 * kMemory));
  EXPECT_FALSE(streams.Find(StreamKey(1)));
  EXPECT_EQ(streams.Find(StreamKey(3)), Version("v3"));
  EXPECT_EQ(streams.Find(StreamKey(4)), Version("v1"));
  EXPECT_FALSE(streams.Find(StreamKey(5)));
}

// Guards against memory that grows with the streams. The bound is a small one
// here; an instance has StreamService::kMaxStreams.
TEST(StreamVersionsTest, MemoryIsBounded)
{
  StreamVersions streams(kMemory, kMaxStreams);
  for (uint64_t key = 0; key < 10 * kMaxStreams; ++key) {
    streams.Record(
      StreamKey(key), Version("v" + std::to_string(key % 3)), At({}));
    ASSERT_LE(streams.Size(), kMaxStreams);
    ASSERT_EQ(streams.Find(StreamKey(key)),
              Version("v" + std::to_string(key % 3)));
  }
  EXPECT_GE(streams.Size(), kMaxStreams / 2);
}

// A process that names new versions without end must not mix up the others.
TEST(StreamVersionsTest, ManyVersionsKeepTheirNames)
{
  constexpr uint64_t kVersions = 70'000;
  StreamVersions streams(kMemory, 4 * kVersions);
  streams.Record(StreamKey(kVersions), Version("first"), At({}));
  for (uint64_t key = 0; key < 300; ++key) {
    streams.Record(StreamKey(key), Version("v" + std::to_string(key)), At({}));
  }
  for (uint64_t key = 0; key < 300; ++key) {
    EXPECT_EQ(streams.Find(StreamKey(key)), Version("v" + std::to_string(key)));
  }
}

} // namespace celeryspread::test
