#include <gtest/gtest.h>

#include "core/random_source.h"
#include "fleet/model_shares.h"

namespace celeryspread::test {

TEST(ModelSharesTest, FillsHoldersToACommonLevel)
{
  ModelShares shares(2, 3);
  shares.SetLoad(0, 0.5);
  shares.AddCopy(0, 0);
  shares.SetLoad(1, 1.0);
  for (size_t engine = 0; engine < 3; ++engine) {
    shares.AddCopy(1, engine);
  }
  shares.Settle();
  for (size_t engine = 0; engine < 3; ++engine) {
    EXPECT_NEAR(shares.EngineLoad(engine), 0.5, 1e-6);
  }
  EXPECT_EQ(shares.UsedCopies(1), 2U);
  EXPECT_NEAR(shares.Level(1), 0.5, 1e-6);
}

TEST(ModelSharesTest, LeavesOutAHolderThatIsBusierThanTheOthers)
{
  ModelShares shares(2, 2);
  shares.SetLoad(0, 2.0);
  shares.AddCopy(0, 0);
  shares.SetLoad(1, 0.4);
  shares.AddCopy(1, 0);
  shares.AddCopy(1, 1);
  shares.Settle();
  EXPECT_NEAR(shares.EngineLoad(0), 2.0, 1e-6);
  EXPECT_NEAR(shares.Share(1, 1), 0.4, 1e-6);
  EXPECT_NEAR(shares.LeastElsewhere(1, 0), 0.4, 1e-6);
}

TEST(ModelSharesTest, KeepsTheSumOfLoads)
{
  SeededRandomSource random(5);
  for (int run = 0; run < 100; ++run) {
    constexpr size_t kModels = 7;
    constexpr size_t kEngines = 5;
    ModelShares shares(kModels, kEngines);
    double sum = 0;
    for (size_t model = 0; model < kModels; ++model) {
      const double load = static_cast<double>(random.Below(100)) / 50;
      shares.SetLoad(model, load);
      sum += load;
      const size_t first = random.Below(kEngines);
      const size_t copies = 1 + random.Below(kEngines);
      for (size_t i = 0; i < copies; ++i) {
        shares.AddCopy(model, (first + i) % kEngines);
      }
    }
    shares.Settle();
    const size_t dropped = random.Below(kModels);
    if (shares.Copies(dropped) > 1) {
      size_t engine = 0;
      while (shares.Share(dropped, engine) == 0) {
        ++engine;
      }
      shares.DropCopy(dropped, engine);
      shares.Settle();
    }
    double spread = 0;
    for (size_t engine = 0; engine < kEngines; ++engine) {
      EXPECT_GE(shares.EngineLoad(engine), -1e-9);
      spread += shares.EngineLoad(engine);
    }
    EXPECT_NEAR(spread, sum, 1e-6);
  }
}

} // namespace celeryspread::test
