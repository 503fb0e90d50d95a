#include <gtest/gtest.h>

#include "core/socket_address.h"
#include "http/caller_server.h"
#include "http/evhttp_upstream_client.h"
#include "tests/support/test_loop.h"

namespace celeryspread::test {

namespace {

/// Answers each call with the length of its body, and keeps calls to /stream
/// after the beginning of their answers.
class LengthHandler : public CallHandler
{
public:
  void OnCall(std::unique_ptr<CallerCall> aCall) override
  {
    if (aCall->Path() == "/stream") {
      aCall->StartStream(200, {});
      aCall->SendChunk("begun");
      m_stream = std::move(aCall);
      return;
    }
    m_lastBody = aCall->Body();
    m_lastTarget = aCall->Target();
    const std::string length = std::to_string(m_lastBody.size());
    aCall->Reply(200, {}, length);
  }

  std::unique_ptr<CallerCall> m_stream;
  std::string m_lastBody;
  std::string m_lastTarget;
};

/// Records one answer.
class AnswerRecorder : public UpstreamObserver
{
public:
  void OnUpstreamHeaders(int /*aStatus*/,
                         const HttpHeaders& /*aHeaders*/) override
  {
  }
  void OnUpstreamBody(std::string_view aBytes) override { m_body += aBytes; }
  void OnUpstreamEnd() override { m_hasEnded = true; }
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    m_body = aFailure.m_reason;
    m_hasEnded = true;
  }

  std::string m_body;
  bool m_hasEnded = false;
};

} // namespace

class CallerServerTest : public ::testing::Test
{
protected:
  CallerServerTest() { m_server.Listen("127.0.0.1", 0); }

  std::string Call(const std::string& aMethod, size_t aBodyBytes)
  {
    UpstreamRequest request;
    request.m_address = { "127.0.0.1", m_server.Port() };
    request.m_method = aMethod;
    request.m_path = "/";
    request.m_body = std::string(aBodyBytes, 'x');
    request.m_firstByteTimeout = std::chrono::seconds(2);
    request.m_progressTimeout = std::chrono::seconds(2);
    AnswerRecorder recorder;
    const auto call = m_client.Start(std::move(request), recorder);
    m_loop.RunUntil([&] { return recorder.m_hasEnded; });
    m_loop.RunFor(std::chrono::milliseconds(20));
    return recorder.m_body;
  }

  /// Sends bytes on a new connection; returns all that comes back.
  std::string Exchange(const std::string& aBytes)
  {
    const auto address = MakeSocketAddress("127.0.0.1", m_server.Port());
    bufferevent* bev =
      bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
      bev, address->Get(), static_cast<int>(address->m_length));
    bufferevent_write(bev, aBytes.data(), aBytes.size());
    m_loop.RunFor(std::chrono::milliseconds(100));
    evbuffer* input = bufferevent_get_input(bev);
    std::string answer(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, answer.data(), answer.size());
    bufferevent_free(bev);
    return answer;
  }

  TestLoop m_loop;
  LengthHandler m_handler;
  CallerServer m_server{ m_loop.Base(),
                         m_loop.GetClock(),
                         CallerServerLimits{},
                         m_handler };
  EvhttpUpstreamClient m_client{ m_loop.Base(), m_loop.GetClock() };
};

/// While a call was answered, the input of its connection was limited to what
/// may be pipelined, and it stayed so: a later request of the connection with a
/// longer body was never read.
TEST_F(CallerServerTest, ReadsLongBodiesOnAKeptConnection)
{
  for (const size_t bytes :
       { 100'000U, 100'000U, 10U, 65'536U, 65'537U, 4'000'000U, 0U, 70'000U }) {
    EXPECT_EQ(Call("POST", bytes), std::to_string(bytes));
  }
  EXPECT_EQ(m_server.ConnectionCount(), 1U);
}

/// A body in chunks was passed on without its length, like one with a length,
/// for every method but POST and PUT.
TEST_F(CallerServerTest, ReadsBodiesInChunksForEveryMethod)
{
  for (const std::string method : { "POST", "PUT", "PATCH", "DELETE" }) {
    EXPECT_EQ(Exchange(method + " / HTTP/1.1\r\nHost: h\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
                .substr(0, 15),
              "HTTP/1.1 200 OK")
      << method;
    EXPECT_EQ(m_handler.m_lastBody, "abcdefg") << method;
  }
}

/// An empty query lost its question mark, and what stands behind a number sign
/// was left out, so the upstream got another target than the caller had sent.
TEST_F(CallerServerTest, KeepsTheTargetAsTheCallerSentIt)
{
  for (const std::string target : { "/a/b",
                                    "/a?",
                                    "/a?x=1&y=?",
                                    "/a??",
                                    "/a#b",
                                    "/a?x#",
                                    "/a%20b",
                                    "//a" }) {
    Exchange("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(m_handler.m_lastTarget, target);
  }
  Exchange("GET http://h/a?x HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(m_handler.m_lastTarget, "/a?x");
}

/// Parsers disagree about control characters and blanks within a target: to
/// some, the rest is a header or another request.
TEST_F(CallerServerTest, RefusesATargetWithControlCharacters)
{
  for (const std::string target : { "/a\rX: y", "/a\tb", "/a\x01", "/a\x7f" }) {
    m_handler.m_lastTarget = "none";
    const std::string answer =
      Exchange("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 400 ") << target;
    EXPECT_EQ(m_handler.m_lastTarget, "none") << target;
  }
}

// Guards against requests that nobody sent: the body of a HEAD request was not
// read, so it was taken for the next request of the connection.
TEST_F(CallerServerTest, BodyOfAHeadRequestIsNoRequest)
{
  const std::string hidden =
    "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const std::string framings[] = {
    "Content-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden,
    "Transfer-Encoding: chunked\r\n\r\n" + hidden,
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
  };
  for (const std::string& framing : framings) {
    m_handler.m_lastTarget = "none";
    const std::string answer =
      Exchange("HEAD /first HTTP/1.1\r\nHost: h\r\n" + framing);
    EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 400 ") << framing;
    EXPECT_EQ(m_handler.m_lastTarget, "none") << framing;
  }
}

TEST_F(CallerServerTest, HeadRequestWithAnEmptyBodyIsServed)
{
  Exchange("HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(m_handler.m_lastTarget, "/a");
}

/// Two statements about the end of a body would let the upstream's parser and
/// ours disagree about it.
TEST_F(CallerServerTest, RefusesAmbiguousFraming)
{
  for (const char* framing :
       { "Content-Length: 3\r\nContent-Length: 4\r\n",
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: gzip, chunked\r\n" }) {
    for (const std::string method : { "POST", "PATCH", "GET" }) {
      m_handler.m_lastBody = "none";
      const std::string answer =
        Exchange(method + " / HTTP/1.1\r\nHost: h\r\n" + framing +
                 "\r\n3\r\nabc\r\n0\r\n\r\n");
      EXPECT_EQ(answer.find("HTTP/1.1 2"), std::string::npos)
        << method << framing;
      EXPECT_EQ(m_handler.m_lastBody, "none") << method << framing;
    }
  }
}

/// A stream whose headers left before a drain was announced could not say that
/// its connection would close. It was closed right after the stream, and the
/// caller's next request on it got no answer.
TEST_F(CallerServerTest, KeepsTheConnectionOfAStreamBegunBeforeTheDrain)
{
  UpstreamRequest request;
  request.m_address = { "127.0.0.1", m_server.Port() };
  request.m_method = "POST";
  request.m_path = "/stream";
  request.m_firstByteTimeout = std::chrono::seconds(2);
  request.m_progressTimeout = std::chrono::seconds(2);
  AnswerRecorder stream;
  const auto call = m_client.Start(std::move(request), stream);
  EXPECT_TRUE(m_loop.RunUntil([&] { return stream.m_body == "begun"; }));
  m_server.AnnounceDrain();
  m_handler.m_stream->EndStream();
  EXPECT_TRUE(m_loop.RunUntil([&] { return stream.m_hasEnded; }));
  m_loop.RunFor(std::chrono::milliseconds(50));
  EXPECT_EQ(m_server.ConnectionCount(), 1U);
  EXPECT_EQ(m_client.IdleConnectionCount(), 1U);
  // The next answer says that the connection closes.
  EXPECT_EQ(Call("POST", 3), "3");
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
  m_loop.RunFor(std::chrono::milliseconds(50));
  EXPECT_EQ(m_server.ConnectionCount(), 0U);
}

/// Bytes behind the answer to a HEAD request would be read as the next answer.
TEST_F(CallerServerTest, AnswersAHeadRequestWithoutABody)
{
  const std::string answer = Exchange("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
}

} // namespace celeryspread::test
