#include <gtest/gtest.h>

#include "http/exchange_history.h"

namespace celeryspread::test {

TEST(ExchangeHistoryTest, ContainsTheCallsOfItsConnection)
{
  ExchangeHistory history;
  EXPECT_FALSE(history.Contains("a1"));
  history.Add("a1");
  EXPECT_TRUE(history.Contains("a1"));
  EXPECT_FALSE(history.Contains("a2"));
}

// An upstream that repeats no id has none that could be told from another.
TEST(ExchangeHistoryTest, KeepsNoEmptyId)
{
  ExchangeHistory history;
  history.Add("");
  EXPECT_FALSE(history.Contains(""));
  EXPECT_FALSE(history.IsFull());
}

// Forgetting the oldest id would let it come back to its connection.
TEST(ExchangeHistoryTest, IsFullInsteadOfForgetting)
{
  ExchangeHistory history;
  for (size_t i = 0; i < ExchangeHistory::kMaxCalls; ++i) {
    EXPECT_FALSE(history.IsFull());
    history.Add("a" + std::to_string(i));
  }
  EXPECT_TRUE(history.IsFull());
  EXPECT_TRUE(history.Contains("a0"));
}

} // namespace celeryspread::test
