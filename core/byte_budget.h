#pragma once

#include <cstddef>

namespace celeryspread {

/// Bounds the bytes that many peers together may make a process hold. While the
/// sum is within the limit, each holder may have as many as it needs. Beyond
/// it, a holder that has more than an equal part of the limit must give up, so
/// that a few large ones do not cost the many small ones anything.
/// @thread loop thread only.
class ByteBudget
{
public:
  /// Starts with no holder. @pre aLimit > 0. @unit bytes.
  explicit ByteBudget(size_t aLimit)
    : m_limit(aLimit)
  {
  }

  /// The bytes of one holder; gives them back when destroyed.
  /// @thread loop thread only.
  class Holding
  {
  public:
    /// Holds nothing yet. @pre aBudget outlives the holding.
    explicit Holding(ByteBudget& aBudget)
      : m_budget(aBudget)
    {
    }
    ~Holding() { Set(0); }
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    /// Records how many bytes the holder has now. @pre none. @unit bytes.
    /// @error false if the holder must give up; the bytes count nevertheless
    /// until they are given back.
    bool Set(size_t aBytes);

  private:
    ByteBudget& m_budget;
    size_t m_bytes = 0;
  };

  /// Returns the bytes of all holders. @pre none. @unit bytes.
  [[nodiscard]] size_t Used() const { return m_used; }
  /// Returns the limit. @pre none. @unit bytes.
  [[nodiscard]] size_t Limit() const { return m_limit; }

private:
  size_t m_limit;
  size_t m_used = 0;
  /// Holdings with any bytes.
  size_t m_holders = 0;
};

/// Returns the limit for bytes that upstreams may make a process hold which may
/// use aMemory; no limit for 0. A byte that is held costs up to three, as
/// strings grow by doubling and an answer is copied to be sent. @pre none.
/// @unit bytes.
/// @thread any.
size_t HeldBytesLimit(size_t aMemory);

} // namespace celeryspread
