#include "http/client_limit_log.h"

namespace celeryspread {

namespace {

constexpr unsigned kMaxLinesPerPeriod = 5;
constexpr Duration kPeriod = std::chrono::seconds(1);
constexpr const char* kReasons[] = { "too_large",
                                     "no_progress",
                                     "no_room",
                                     "too_many_connections" };

} // namespace

void ClientLimitLog::OnClientLimited(ClientLimit aLimit, size_t aHeldBytes)
{
  const auto index = static_cast<size_t>(aLimit);
  ++m_counts.at(index);
  const TimePoint now = m_clock.Now();
  if (now >= m_periodEnd) {
    m_periodEnd = now + kPeriod;
    m_linesOfPeriod = 0;
  }
  if (m_linesOfPeriod >= kMaxLinesPerPeriod) {
    ++m_omittedLines;
    return;
  }
  ++m_linesOfPeriod;
  m_log.Write(EventId::ClientLimited,
              std::string("reason=") + kReasons[index] +
                " held_bytes=" + std::to_string(aHeldBytes) +
                " omitted_lines=" + std::to_string(m_omittedLines));
  m_omittedLines = 0;
}

void ClientLimitLog::WriteTo(Metrics& aMetrics,
                             const CallerServer& aServer) const
{
  for (size_t i = 0; i < m_counts.size(); ++i) {
    aMetrics.SetGauge(std::string("celeryspread_clients_limited_") +
                        kReasons[i],
                      static_cast<double>(m_counts.at(i)));
  }
  aMetrics.SetGauge("celeryspread_clients_held_bytes",
                    static_cast<double>(aServer.HeldBytes()));
  aMetrics.SetGauge("celeryspread_clients_connections",
                    static_cast<double>(aServer.ConnectionCount()));
}

} // namespace celeryspread
