#include <gtest/gtest.h>

#include "quarantine/request_namer.h"
#include "quarantine/sound_parts.h"

namespace celeryspread::test {

// Guards against two requests with one name, one of which would be refused for
// what the other one did, and against one request with two names.
TEST(RequestNamerTest, NamesFollowWhatMakesARequestTheSame)
{
  const RequestNamer namer("key");
  const RequestIdentity request{ "GET", "host", "/a?b", "caller", "body" };
  const PromptPartId name = namer.Name(request);
  EXPECT_EQ(RequestNamer("key").Name(request), name);
  EXPECT_NE(RequestNamer("other").Name(request), name);
  const RequestIdentity others[] = {
    { "POST", "host", "/a?b", "caller", "body" },
    { "GET", "host2", "/a?b", "caller", "body" },
    { "GET", "host", "/a?c", "caller", "body" },
    { "GET", "host", "/a?b", "caller2", "body" },
    { "GET", "host", "/a?b", "caller", "body2" },
    // The same bytes, split in another place.
    { "GET", "host", "/a?bc", "aller", "body" },
  };
  for (const RequestIdentity& other : others) {
    EXPECT_NE(namer.Name(other), name) << other.m_target;
  }
}

TEST(RequestNamerTest, NamesAreNoIdsOfParts)
{
  const RequestNamer namer("key");
  EXPECT_TRUE(RequestNamer::IsRequest(namer.Name({})));
  EXPECT_FALSE(RequestNamer::IsRequest(PromptPartId("5c1e07a2")));
  EXPECT_FALSE(RequestNamer::IsRequest(PromptPartId()));
}

// Guards against requests, nearly each of which is new, that displace the parts
// known to be sound.
TEST(RequestNamerTest, RequestsDisplaceNoSoundParts)
{
  const RequestNamer namer("key");
  SoundParts sound;
  const TimePoint now{ std::chrono::seconds(10) };
  sound.Record(PromptPartId("part"), now);
  for (size_t i = 0; i < 2 * SoundParts::kMaxParts; ++i) {
    const std::string target = std::to_string(i);
    sound.Record(namer.Name({ "GET", "host", target, "", "" }), now);
  }
  EXPECT_TRUE(sound.SoundAt(PromptPartId("part")));
  EXPECT_EQ(sound.Size(), SoundParts::kMaxParts + 1);
}

} // namespace celeryspread::test
