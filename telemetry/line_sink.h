#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace celeryspread {

/// Writes lines to a file descriptor without ever waiting for its reader, and
/// keeps those of low importance within a rate.
/// @thread loop thread only.
class LineSink
{
public:
  /// Lines of low importance that may follow each other at once, and how many
  /// a second are let through after that.
  static constexpr double kBurst = 200;
  static constexpr double kLinesPerSecond = 60;
  /// Bytes that wait for a slow reader before lines are dropped.
  static constexpr size_t kMaxPendingBytes = 262'144;

  /// Reads a monotonic time in seconds.
  using SecondsClock = std::function<double()>;

  /// Writes to aFd, which is made non-blocking if it is a pipe or a socket.
  /// @pre aFd stays open.
  LineSink(int aFd, SecondsClock aClock);

  /// Takes a place for a line of low importance, before it is formatted.
  /// @pre none. @error false when the rate is used up; the line is counted as
  /// dropped.
  bool TryAdmit();
  /// Writes a line. @pre aLine has no line break. @error the line is dropped
  /// and counted when too much waits.
  void Write(std::string_view aLine);
  /// Returns the lines dropped since the last call. @pre none.
  uint64_t TakeDropped();

private:
  void Flush();

  int m_fd;
  SecondsClock m_clock;
  std::string m_pending;
  double m_tokens = kBurst;
  double m_refilledAt = 0;
  uint64_t m_dropped = 0;
};

} // namespace celeryspread
