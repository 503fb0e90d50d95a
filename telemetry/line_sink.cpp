#include "telemetry/line_sink.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace celeryspread {

LineSink::LineSink(int aFd, SecondsClock aClock)
  : m_fd(aFd)
  , m_clock(std::move(aClock))
  , m_refilledAt(m_clock())
{
  struct stat status = {};
  const bool isPipeOrSocket =
    fstat(aFd, &status) == 0 &&
    (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
  if (isPipeOrSocket) {
    // A full pipe or socket with a slow reader would block the writer; a file
    // does not.
    fcntl(aFd, F_SETFL, fcntl(aFd, F_GETFL) | O_NONBLOCK);
  }
}

bool LineSink::TryAdmit()
{
  const double now = m_clock();
  m_tokens =
    std::min(kMaxBurstLines, m_tokens + (now - m_refilledAt) * kLinesPerSecond);
  m_refilledAt = now;
  if (m_tokens < 1) {
    ++m_dropped;
    return false;
  }
  m_tokens -= 1;
  return true;
}

void LineSink::Write(std::string_view aLine)
{
  if (m_pending.size() + aLine.size() > kMaxPendingBytes) {
    ++m_dropped;
  } else {
    m_pending += aLine;
    m_pending += '\n';
  }
  Flush();
}

void LineSink::Flush()
{
  if (m_pending.empty()) {
    return;
  }
  const ssize_t written = write(m_fd, m_pending.data(), m_pending.size());
  if (written > 0) {
    m_pending.erase(0, static_cast<size_t>(written));
  }
}

uint64_t LineSink::TakeDroppedCount()
{
  const uint64_t dropped = m_dropped;
  m_dropped = 0;
  return dropped;
}

} // namespace celeryspread
