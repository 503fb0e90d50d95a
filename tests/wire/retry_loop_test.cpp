#include <stdexcept>

#include <gtest/gtest.h>
#include <kj/debug.h>

#include "tests/support/test_loop.h"
#include "wire/retry_loop.h"

namespace celeryspread::test {

namespace {

constexpr Duration kPause = std::chrono::milliseconds(5);

} // namespace

// Guards against loops that end for good when a round throws before its promise
// exists, so that an entry follows nobody for the rest of its life.
TEST(RetryLoopTest, GoesOnWhateverFails)
{
  TestLoop loop;
  EventLoopPort port{ loop.Base() };
  size_t rounds = 0;
  size_t failures = 0;
  auto running =
    RepeatForever(port,
                  { [&]() -> kj::Promise<void> {
                     switch (++rounds % 4) {
                       case 0:
                         throw std::runtime_error("thrown");
                       case 1:
                         KJ_FAIL_REQUIRE("required");
                       case 2:
                         return KJ_EXCEPTION(FAILED, "a broken promise");
                       default:
                         return PromiseAfter(loop.Base(), kPause.count());
                     }
                   },
                    [&](const kj::Exception&) {
                      ++failures;
                      throw std::runtime_error("thrown by the handler");
                    },
                    kPause })
      .eagerlyEvaluate(nullptr);
  EXPECT_TRUE(loop.RunUntil([&] { return rounds >= 40; }));
  EXPECT_GE(failures, 29U);
}

} // namespace celeryspread::test
