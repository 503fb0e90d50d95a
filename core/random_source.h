#pragma once

#include <cstdint>
#include <random>

namespace celeryspread {

/// Source of random numbers.
/// @thread one thread at a time.
class RandomSource
{
public:
  virtual ~RandomSource() = default;
  /// Returns a uniformly distributed number below aBound. @pre aBound > 0.
  virtual uint64_t Below(uint64_t aBound) = 0;
};

/// Mersenne Twister with a fixed seed, which makes a run reproducible.
/// @thread one thread at a time.
class SeededRandomSource : public RandomSource
{
public:
  /// Starts the sequence of aSeed. @pre none.
  explicit SeededRandomSource(uint64_t aSeed)
    : m_engine(aSeed)
  {
  }
  /// Returns a uniformly distributed number below aBound. @pre aBound > 0.
  uint64_t Below(uint64_t aBound) override
  {
    return std::uniform_int_distribution<uint64_t>(0, aBound - 1)(m_engine);
  }

private:
  std::mt19937_64 m_engine;
};

} // namespace celeryspread
