#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include "core/byte_budget.h"

namespace celeryspread::test {

TEST(ByteBudgetTest, OneHolderMayHaveAllThatIsFree)
{
  ByteBudget budget(100);
  ByteBudget::Holding holding(budget);
  EXPECT_TRUE(holding.Set(100));
  EXPECT_FALSE(holding.Set(101));
  EXPECT_EQ(budget.Used(), 101U);
}

TEST(ByteBudgetTest, DestroyedHoldingGivesItsBytesBack)
{
  ByteBudget budget(100);
  {
    ByteBudget::Holding holding(budget);
    holding.Set(80);
  }
  EXPECT_EQ(budget.Used(), 0U);
  ByteBudget::Holding other(budget);
  EXPECT_TRUE(other.Set(100));
}

// Guards against small answers that are given up because of large ones.
TEST(ByteBudgetTest, SmallHolderStaysWhileLargeOnesExceedTheLimit)
{
  ByteBudget budget(1'000);
  ByteBudget::Holding large(budget);
  ByteBudget::Holding small(budget);
  EXPECT_TRUE(large.Set(999));
  EXPECT_TRUE(small.Set(10));
  EXPECT_FALSE(large.Set(1'200));
}

// Guards against a sum that grows with the number of peers: each answer is
// bounded, and a hundred of them at once are not.
TEST(ByteBudgetTest, SumStaysNearTheLimitWhateverTheNumberOfHolders)
{
  constexpr size_t kLimit = 1'000'000;
  constexpr size_t kStep = 1'000;
  for (const size_t count : { 1U, 10U, 100U, 900U }) {
    ByteBudget budget(kLimit);
    std::vector<std::unique_ptr<ByteBudget::Holding>> holdings;
    std::vector<size_t> sizes(count, 0);
    for (size_t i = 0; i < count; ++i) {
      holdings.push_back(std::make_unique<ByteBudget::Holding>(budget));
    }
    // Every holder grows without end and starts anew when it must give up.
    for (size_t round = 0; round < 3'000; ++round) {
      for (size_t i = 0; i < count; ++i) {
        sizes[i] += kStep;
        if (!holdings[i]->Set(sizes[i])) {
          sizes[i] = 0;
          holdings[i]->Set(0);
        }
      }
      ASSERT_LE(budget.Used(), kLimit + count * kStep);
    }
  }
}

} // namespace celeryspread::test
