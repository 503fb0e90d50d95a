#pragma once

#include <array>
#include <string>

#include "core/clock.h"
#include "http/caller_server.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace celeryspread {

/// Counts and logs the clients that a server refuses or closes because of its
/// limits. In any second it writes a few lines at most; the next line states
/// how many were left out.
/// @thread loop thread only.
class ClientLimitLog : public ClientLimitObserver
{
public:
  /// Counts the clients of one server. @pre aClock and aLog outlive it.
  ClientLimitLog(const Clock& aClock, EventLog& aLog)
    : m_clock(aClock)
    , m_log(aLog)
  {
  }

  void OnClientLimited(ClientLimit aLimit, size_t aHeldBytes) override;
  /// Writes the counters and the state of the server. @pre none.
  void WriteTo(Metrics& aMetrics, const CallerServer& aServer) const;

private:
  static constexpr size_t kLimitCount = 4;

  const Clock& m_clock;
  EventLog& m_log;
  std::array<uint64_t, kLimitCount> m_counts{};
  TimePoint m_periodEnd;
  unsigned m_linesOfPeriod = 0;
  uint64_t m_omittedLines = 0;
};

} // namespace celeryspread
