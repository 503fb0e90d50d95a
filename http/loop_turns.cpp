#include "http/loop_turns.h"

#include <algorithm>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace celeryspread {

namespace {

constexpr Duration kPeriod = std::chrono::seconds(10);
/// A longer turn delays the calls of everybody else noticeably.
constexpr Duration kLongTurn = std::chrono::milliseconds(50);
constexpr Duration kLinePeriod = std::chrono::seconds(1);

/// Returns the address of a socket's peer, "unknown" once it is closed.
std::string PeerText(evutil_socket_t aSocket)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  const bool isKnown =
    getpeername(aSocket, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
    address.sin_family == AF_INET;
  char text[INET_ADDRSTRLEN] = {};
  if (!isKnown ||
      inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text)) == nullptr) {
    return "unknown";
  }
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace

LoopTurns::LoopTurns(event_base* aBase, const Clock& aClock, EventLog& aLog)
  : m_clock(aClock)
  , m_log(aLog)
  , m_endEvent(event_new(aBase, -1, 0, OnEnd, this))
  , m_periodEnd(aClock.Now() + kPeriod)
{
}

LoopTurns::~LoopTurns()
{
  event_free(m_endEvent);
}

void LoopTurns::Begin(const char* aPeerKind, evutil_socket_t aSocket)
{
  const TimePoint now = m_clock.Now();
  if (m_isOpen) {
    End(now);
  } else {
    // Runs after what is ready now.
    event_active(m_endEvent, 0, 0);
  }
  m_isOpen = true;
  m_peerKind = aPeerKind;
  m_socket = aSocket;
  m_begunAt = now;
}

void LoopTurns::OnEnd(int /*aFd*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<LoopTurns*>(aSelf);
  self->End(self->m_clock.Now());
}

void LoopTurns::End(TimePoint aNow)
{
  m_isOpen = false;
  Record(aNow - m_begunAt, aNow);
}

void LoopTurns::Record(Duration aLength, TimePoint aNow)
{
  if (aNow >= m_periodEnd) {
    m_longestBefore = aNow < m_periodEnd + kPeriod ? m_longest : Duration();
    m_longest = Duration::zero();
    m_periodEnd = aNow + kPeriod;
  }
  m_longest = std::max(m_longest, aLength);
  if (aLength < kLongTurn) {
    return;
  }
  ++m_longTurns;
  if (aNow < m_nextLineAt) {
    return;
  }
  m_nextLineAt = aNow + kLinePeriod;
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLength);
  m_log.Write(EventId::LoopTurnLong,
              std::string("peer=") + m_peerKind +
                " address=" + PeerText(m_socket) +
                " ms=" + std::to_string(milliseconds.count()) +
                " long_turns=" + std::to_string(m_longTurns));
}

Duration LoopTurns::Longest() const
{
  return std::max(m_longest, m_longestBefore);
}

void LoopTurns::WriteTo(Metrics& aMetrics) const
{
  aMetrics.SetGauge("celeryspread_loop_longest_turn_seconds",
                    std::chrono::duration<double>(Longest()).count());
  aMetrics.SetGauge("celeryspread_loop_long_turns",
                    static_cast<double>(m_longTurns));
}

} // namespace celeryspread
