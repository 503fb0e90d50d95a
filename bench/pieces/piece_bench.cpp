/// Measures what bytes cost that arrive in small pieces, as an upstream or a
/// caller in trouble sends them. For each part of a message and size of pieces,
/// prints the nanoseconds a byte for the first and the second half of the
/// bytes. Work in proportion to the bytes costs the same in both.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <event2/event.h>

#include "core/socket_address.h"
#include "core/system_clock.h"
#include "http/caller_server.h"
#include "http/event_base.h"
#include "http/evhttp_upstream_client.h"

using namespace celeryspread;

namespace {

/// A part of a message that is sent without end.
struct Part
{
  const char* m_name;
  /// Sent at once before the measurement.
  std::string m_before;
  /// Sent again and again.
  std::string m_repeated;
  size_t m_bytes;
};

class IgnoringObserver : public UpstreamObserver
{
public:
  void OnUpstreamHeaders(int /*aStatus*/, const HttpHeaders&) override {}
  void OnUpstreamBody(std::string_view /*aBytes*/) override {}
  void OnUpstreamEnd() override { m_hasEnded = true; }
  void OnUpstreamFailed(const UpstreamFailure&) override { m_hasEnded = true; }

  bool m_hasEnded = false;
};

class HoldingHandler : public CallHandler
{
public:
  void OnCall(std::unique_ptr<CallerCall> aCall) override
  {
    m_call = std::move(aCall);
  }

  std::unique_ptr<CallerCall> m_call;
};

void RunLoop(event_base* aBase)
{
  event_base_loop(aBase, EVLOOP_NONBLOCK);
}

void SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Sends the part in pieces, one for each turn of the loop.
void Measure(event_base* aBase,
             int aSocket,
             const char* aSide,
             const Part& aPart,
             size_t aPieceSize)
{
  std::string bytes;
  while (bytes.size() < aPart.m_bytes) {
    bytes += aPart.m_repeated;
  }
  send(aSocket, aPart.m_before.data(), aPart.m_before.size(), MSG_NOSIGNAL);
  constexpr int kTurnsToSettle = 20;
  for (int i = 0; i < kTurnsToSettle; ++i) {
    RunLoop(aBase);
  }
  double nanos[2] = {};
  size_t sent[2] = {};
  for (size_t at = 0; at < bytes.size(); at += aPieceSize) {
    const size_t half = at < bytes.size() / 2 ? 0 : 1;
    const size_t size = std::min(aPieceSize, bytes.size() - at);
    if (send(aSocket, bytes.data() + at, size, MSG_NOSIGNAL) <= 0) {
      break;
    }
    const auto begin = std::chrono::steady_clock::now();
    RunLoop(aBase);
    nanos[half] += std::chrono::duration<double, std::nano>(
                     std::chrono::steady_clock::now() - begin)
                     .count();
    sent[half] += size;
  }
  if (sent[1] == 0) {
    std::printf("%-9s %-22s %5zu  closed after %zu bytes\n",
                aSide,
                aPart.m_name,
                aPieceSize,
                sent[0]);
    return;
  }
  const double first = nanos[0] / static_cast<double>(sent[0]);
  const double second = nanos[1] / static_cast<double>(sent[1]);
  std::printf("%-9s %-22s %5zu %10zu %10.0f %10.0f %8.2f\n",
              aSide,
              aPart.m_name,
              aPieceSize,
              sent[0] + sent[1],
              first,
              second,
              second / first);
}

void MeasureAnswer(const Part& aPart, size_t aPieceSize)
{
  const EventBasePointer base(event_base_new());
  const SystemClock clock;
  const auto address = MakeSocketAddress("127.0.0.1", 0);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const auto length = static_cast<socklen_t>(address->m_length);
  if (bind(listener, address->Get(), length) != 0 || listen(listener, 1) != 0) {
    std::perror("listen");
    return;
  }
  EvhttpUpstreamClient client(base.get(), clock);
  IgnoringObserver observer;
  UpstreamRequest request;
  request.m_address = { "127.0.0.1", BoundPort(listener) };
  request.m_method = "GET";
  request.m_path = "/";
  request.m_firstByteTimeout = std::chrono::seconds(100);
  request.m_progressTimeout = std::chrono::seconds(100);
  const auto call = client.Start(std::move(request), observer);
  RunLoop(base.get());
  const int accepted = accept(listener, nullptr, nullptr);
  SetNoDelay(accepted);
  Measure(base.get(), accepted, "answer", aPart, aPieceSize);
  close(accepted);
  close(listener);
}

void MeasureRequest(const Part& aPart, size_t aPieceSize)
{
  const EventBasePointer base(event_base_new());
  const SystemClock clock;
  HoldingHandler handler;
  CallerServer server(base.get(), clock, {}, handler);
  server.Listen("127.0.0.1", 0);
  const auto address = MakeSocketAddress("127.0.0.1", server.Port());
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const auto length = static_cast<socklen_t>(address->m_length);
  if (connect(client, address->Get(), length) != 0) {
    std::perror("connect");
    return;
  }
  SetNoDelay(client);
  Measure(base.get(), client, "request", aPart, aPieceSize);
  close(client);
}

} // namespace

int main()
{
  signal(SIGPIPE, SIG_IGN);
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const Part answers[] = {
    { "head, one line", ok + "A: ", "x", 60'000 },
    { "head, many lines", ok, "A: x\r\n", 60'000 },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 60'000 },
    { "chunk line", chunked, "0", 200'000 },
    { "chunks", chunked, "2\r\nx\n\r\n", 200'000 },
    { "trailers, one line", chunked + "0\r\nA: ", "x", 60'000 },
    { "trailers, many lines", chunked + "0\r\n", "A: x\r\n", 60'000 },
    { "body with a length",
      ok + "Content-Length: 4000000\r\n\r\n",
      "x",
      200'000 },
    { "one large chunk", chunked + "3d0900\r\n", "x", 200'000 },
    { "body without a length", ok + "\r\n", "x", 200'000 },
  };
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string posted = post + "Transfer-Encoding: chunked\r\n\r\n";
  const Part requests[] = {
    { "head, one line", post + "A: ", "x", 30'000 },
    { "head, many lines", post, "A: x\r\n", 30'000 },
    { "chunk line", posted, "0", 200'000 },
    { "chunks", posted, "2\r\nx\n\r\n", 200'000 },
    { "trailers, one line", posted + "0\r\nA: ", "x", 30'000 },
    { "trailers, many lines", posted + "0\r\n", "A: x\r\n", 30'000 },
    { "body with a length",
      post + "Content-Length: 4000000\r\n\r\n",
      "x",
      200'000 },
    { "one large chunk", posted + "3d0900\r\n", "x", 200'000 },
  };
  std::printf("%-9s %-22s %5s %10s %10s %10s %8s\n",
              "message",
              "part",
              "piece",
              "bytes",
              "ns/B 1st",
              "ns/B 2nd",
              "ratio");
  for (const size_t pieceSize : { 1, 2, 16 }) {
    for (const Part& part : answers) {
      MeasureAnswer(part, pieceSize);
    }
    for (const Part& part : requests) {
      MeasureRequest(part, pieceSize);
    }
  }
  return 0;
}
