#include <functional>

#include "tests/support/entry_fixture.h"
#include "tests/support/scripted_server.h"

namespace celeryspread::test {

namespace {

const std::string kAnswer = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\npaid";

std::string RefusalOf(int aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nX-Outcome: not_run\r\nContent-Length: 4\r\n\r\nfull";
}

/// An entry with a plain service that answers as the test says.
class EntryRepeatedRefusalTest : public EntryFixture
{
protected:
  void SetUp() override
  {
    EntryFixture::SetUp();
    auto tree = DefaultTree();
    tree["upstreams"]["p1"]["port"] = m_scripted.Port();
    SetTree(tree);
  }
  std::unique_ptr<RawClient> Call(const std::string& aMethod = "GET")
  {
    return SendAndWait(aMethod + " /services/pay/transfer HTTP/1.1\r\n"
                                 "Host: x\r\nAuthorization: Bearer desk.s1\r\n"
                                 "\r\n");
  }

  std::function<std::string(const ScriptedServer::Request&)> m_script;
  ScriptedServer m_scripted{ m_loop,
                             [this](const ScriptedServer::Request& aRequest) {
                               return m_script(aRequest);
                             } };
};

} // namespace

/// The next caller got the refusal of another call; for a 5xx it was told "not
/// run" although its call ran.
TEST_F(EntryRepeatedRefusalTest, NextCallerGetsItsOwnAnswer)
{
  for (const int status : { 409, 421, 429, 503 }) {
    m_script = [&](const ScriptedServer::Request&) {
      return RefusalOf(status);
    };
    EXPECT_NE(Call()->Status(), 200) << status;
    m_script = [&](const ScriptedServer::Request& aRequest) {
      return aRequest.m_earlier > 0 ? RefusalOf(status) + kAnswer : kAnswer;
    };
    const auto next = Call();
    EXPECT_EQ(next->Status(), 200) << status << next->Received();
    EXPECT_TRUE(next->Has("paid")) << status;
    EXPECT_FALSE(next->Has("not_run")) << status;
  }
}

/// A refusal without an id on a connection that was used before proves nothing,
/// whatever the connection has brought.
TEST_F(EntryRepeatedRefusalTest, OnlyANewConnectionProvesThatACallHasNotRun)
{
  m_script = [](const ScriptedServer::Request&) { return kAnswer; };
  EXPECT_EQ(Call()->Status(), 200);
  m_script = [](const ScriptedServer::Request&) { return RefusalOf(503); };
  const auto onUsed = Call();
  EXPECT_GT(m_scripted.Requests().back().m_earlier, 0U);
  EXPECT_TRUE(onUsed->Has("\"outcome\":\"failed\"")) << onUsed->Received();
  const auto onNew = Call();
  EXPECT_EQ(m_scripted.Requests().back().m_earlier, 0U);
  EXPECT_TRUE(onNew->Has("\"outcome\":\"not_run\"")) << onNew->Received();
}

} // namespace celeryspread::test
