#include <gtest/gtest.h>

#include "http/evhttp_upstream_client.h"
#include "platform/engine_client.h"
#include "tests/support/gateway_fakes.h"
#include "tests/support/scripted_server.h"

namespace celeryspread::test {

namespace {

const std::string kEmptyList = R"({"Instances":[]})";
const std::string kReport = R"({"Seq":7,"Models":[]})";

std::string AnswerOf(int aStatus, const std::string& aBody = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// The client for engines with the real HTTP client, before a server that
/// writes its first answer once more where the next one is due.
class EngineClientCopyTest : public ::testing::Test
{
protected:
  EngineClientCopyTest() { m_engine.m_address = Address(); }

  UpstreamAddress Address() { return { "127.0.0.1", m_server.Port() }; }
  std::string Next(const ScriptedServer::Request& aRequest)
  {
    if (m_server.Requests().size() == 1) {
      return m_refusal;
    }
    return aRequest.m_earlier > 0 ? m_refusal + m_answer : m_answer;
  }
  OrderReply Order()
  {
    std::optional<OrderReply> reply;
    m_engines.SendOrder(
      m_engine, EngineOrder{}, [&](OrderReply aReply) { reply = aReply; });
    EXPECT_TRUE(m_loop.RunUntil([&] { return reply.has_value(); }));
    return reply.value_or(OrderReply::NoAnswer);
  }

  std::string m_refusal = AnswerOf(409);
  std::string m_answer;
  TestLoop m_loop;
  EvhttpUpstreamClient m_http{ m_loop.Base(), m_loop.GetClock() };
  ScriptedServer m_server{ m_loop,
                           [this](const ScriptedServer::Request& aRequest) {
                             return Next(aRequest);
                           } };
  RecordingEventLog m_log;
  platform::EngineClient m_engines{ m_http, m_log, Address() };
  EngineRecord m_engine = MakeEngine("e1", "here");
};

} // namespace

/// An order that the engine carried out counted as refused, on the ground of
/// the copy of an earlier refusal.
TEST_F(EngineClientCopyTest, CopyOfARefusedOrderIsNoAnswerToTheNextOrder)
{
  m_answer = AnswerOf(202);
  EXPECT_EQ(Order(), OrderReply::Conflict);
  EXPECT_EQ(Order(), OrderReply::Accepted);
}

/// A 412 makes the owner believe that another one has taken over.
TEST_F(EngineClientCopyTest, CopyOfAFencedOrderIsNoAnswerToTheNextOrder)
{
  m_refusal = AnswerOf(412);
  m_answer = AnswerOf(200);
  EXPECT_EQ(Order(), OrderReply::FencedOff);
  EXPECT_EQ(Order(), OrderReply::Done);
}

/// The report counted as lost although the engine had sent it.
TEST_F(EngineClientCopyTest, CopyOfARefusedOrderIsNoReport)
{
  m_answer = AnswerOf(200, kReport);
  EXPECT_EQ(Order(), OrderReply::Conflict);
  bool isDone = false;
  m_engines.ReadReport(m_engine,
                       [&](const std::optional<EngineReport>& aReport) {
                         isDone = true;
                         ASSERT_TRUE(aReport);
                         EXPECT_EQ(aReport->m_sequence, 7U);
                       });
  EXPECT_TRUE(m_loop.RunUntil([&] { return isDone; }));
}

/// The list counted as unreadable after one refusal.
TEST_F(EngineClientCopyTest, CopyOfARefusedListIsNotTheNextList)
{
  m_refusal = AnswerOf(503);
  m_answer = AnswerOf(200, kEmptyList);
  for (const bool isReadable : { false, true }) {
    bool isDone = false;
    m_engines.ReadList([&](const auto& aEngines) {
      isDone = true;
      EXPECT_EQ(aEngines.has_value(), isReadable);
    });
    EXPECT_TRUE(m_loop.RunUntil([&] { return isDone; }));
  }
}

} // namespace celeryspread::test
