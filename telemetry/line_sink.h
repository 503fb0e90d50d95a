#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Writes lines to a file descriptor without blocking on its reader, and limits
/// the rate of lines of low importance by a token bucket.
/// @thread loop thread only.
class LineSink
{
public:
  /// Size of the token bucket, in lines of low importance.
  static constexpr double kMaxBurstLines = 200;
  /// Rate at which the token bucket is refilled.
  static constexpr double kLinesPerSecond = 60;
  /// Bytes that are buffered for a slow reader before lines are dropped.
  static constexpr size_t kMaxPendingBytes = 262'144;

  /// Returns a monotonic time. @unit seconds.
  using SecondsClock = std::function<double()>;

  /// Writes to aFd, which is made non-blocking if it is a pipe or a socket.
  /// @pre aFd stays open.
  LineSink(int aFd, SecondsClock aClock);

  /// Takes a token for a line of low importance; called before the line is
  /// formatted. @pre none. @error false when no token is left; the line is
  /// counted as dropped.
  bool TryAdmit();
  /// Writes a line. @pre aLine has no line break. @error the line is dropped
  /// and counted when the buffer is full.
  void Write(std::string_view aLine);
  /// Returns the number of lines dropped since the last call and resets it.
  /// @pre none.
  uint64_t TakeDroppedCount();

private:
  void Flush();

  int m_fd;
  SecondsClock m_clock;
  std::string m_pending;
  double m_tokens = kMaxBurstLines;
  double m_refilledAt = 0;
  uint64_t m_dropped = 0;
};

} // namespace celeryspread
