#include <set>

#include <gtest/gtest.h>

#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

using GatewayTest = GatewayFixture;

TEST_F(GatewayTest, RefusesBeforeAnyConfigurationIsKnown)
{
  Gateway fresh(m_context);
  fresh.OnCall(std::make_unique<FakeCallerCall>(
    m_caller, "GET", "/look/1", HttpHeaders{ { "id", "a1" } }));
  EXPECT_EQ(m_caller.m_status, 503);
}

TEST_F(GatewayTest, AnswersNotFoundWhenNoRouteMatches)
{
  Call("/elsewhere/");
  EXPECT_EQ(m_caller.m_status, 404);
}

// Guards against a certain "not found" for a route that a newer configuration
// has added, from an entry that has not heard of any change for long.
TEST_F(GatewayTest, NotFoundNeedsARecentProof)
{
  m_time.RunFor(m_context.m_routeProofTime + std::chrono::milliseconds(1));
  Call("/elsewhere/");
  EXPECT_EQ(m_caller.m_status, 503);
  m_access.RecordProof(Revision(3), m_clock.Now());
  m_time.RunFor(m_context.m_routeProofTime / 2);
  Call("/elsewhere/");
  EXPECT_EQ(m_caller.m_status, 404);
  // A version that the entry does not have yet is the newest by now.
  m_access.RecordProof(Revision(4), m_clock.Now());
  m_time.RunFor(m_context.m_routeProofTime);
  Call("/elsewhere/");
  EXPECT_EQ(m_caller.m_status, 503);
}

// Guards against calls that run as only an older version allows, at an entry
// that knows of a newer one and can't get it.
TEST_F(GatewayTest, RefusesCallsWhileANewerConfigurationIsOverdue)
{
  m_time.RunFor(std::chrono::milliseconds(100));
  m_access.RecordProof(Revision(4), m_clock.Now());
  Call("/look/1");
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  m_time.RunFor(m_context.m_routeProofTime);
  Call("/look/1");
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 503);
}

// Guards against an entry without any control instance in reach that refuses
// what it could serve.
TEST_F(GatewayTest, ServesOnWhileNothingNewerIsKnown)
{
  m_time.RunFor(10 * m_context.m_routeProofTime);
  Call("/look/1");
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
}

// Guards against an entry that has just started and obeys an older document,
// which an instance that lags gave it.
TEST_F(GatewayTest, RefusesUntilItsFirstConfigurationIsProven)
{
  AccessControl access({});
  GatewayContext context{ m_clock,   m_timers,   m_client,  m_codec,
                          m_table,   m_selector, m_retries, m_prefill,
                          m_control, m_control,  m_crashes, m_rates,
                          access,    m_quota,    m_domain,  m_metrics,
                          m_log };
  Gateway fresh(context);
  fresh.SetConfig(m_gateway.Config());
  access.RecordProof(Revision(4), m_clock.Now());
  EXPECT_FALSE(fresh.HasProvenConfig());
  fresh.OnCall(std::make_unique<FakeCallerCall>(
    m_caller, "GET", "/look/1", HttpHeaders{ { "id", "a1" } }));
  EXPECT_EQ(m_caller.m_status, 503);
  access.RecordProof(Revision(3), m_clock.Now());
  EXPECT_TRUE(fresh.HasProvenConfig());
}

TEST_F(GatewayTest, KeepsTheConfigurationWhenAnOlderOneArrives)
{
  RouteConfigData data;
  data.m_version = Revision(2);
  std::string reason;
  m_gateway.SetConfig(RouteConfig::Make(std::move(data), reason));
  EXPECT_EQ(m_gateway.Config()->Version(), Revision(3));
}

TEST_F(GatewayTest, PassesAnswersOnUnchanged)
{
  Call("/pay/1");
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("paid");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_caller.m_body, "paid");
}

TEST_F(GatewayTest, NeverRetriesACallThatMayHaveRun)
{
  Call("/pay/1");
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(GatewayTest, RetriesARejectedCallOnAnotherUpstream)
{
  Call("/pay/1");
  Reject(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e2"));
}

TEST_F(GatewayTest, RefusesACallThatEveryUpstreamRejected)
{
  Call("/pay/1");
  Reject(0);
  Reject(1);
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_EQ(m_caller.m_headers.front().m_name, "retry-after");
}

TEST_F(GatewayTest, FailsACallThatMayHaveRunBeforeARejection)
{
  Call("/look/1");
  LoseConnection(0);
  Reject(1);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(GatewayTest, RetriesAnIdempotentCallUpToItsMaxAttempts)
{
  Call("/look/1");
  LoseConnection(0);
  LoseConnection(1);
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(GatewayTest, DropsAnAnswerThatBelongsToAnotherCall)
{
  Call("/pay/1");
  Answer(0, 200, { { "id", "other" }, { "signed", "x" } });
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(GatewayTest, IgnoresTheRejectionOfAnotherCall)
{
  Call("/pay/1");
  Answer(0, 503, { { "id", "other" }, { "not-run", "1" } });
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  EXPECT_EQ(m_caller.m_status, 502);
}

/// An engine wrote an earlier refusal once more on a kept connection, without
/// the id that would have told so. The caller was told that its call did not
/// run, while the engine ran it.
TEST_F(GatewayTest, RejectionWithoutAnIdOnAReusedConnectionProvesNothing)
{
  for (const int status : { 503, 429, 421 }) {
    Call("/pay/1");
    const size_t attempt = m_client.m_attempts.size() - 1;
    Attempt(attempt).m_isConnectionReused = true;
    Answer(attempt, status, { { "not-run", "1" } });
    EXPECT_TRUE(Attempt(attempt).m_isCancelled);
    EXPECT_EQ(m_client.m_attempts.size(), attempt + 1) << status;
    EXPECT_EQ(m_caller.m_status, 502) << status;
  }
}

/// No earlier answer can be in the way on a new connection.
TEST_F(GatewayTest, RejectionWithoutAnIdOnANewConnectionIsOne)
{
  Call("/pay/1");
  Answer(0, 503, { { "not-run", "1" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
}

/// A status that promises that the call did not run was passed on although the
/// engine had not said so.
TEST_F(GatewayTest, PassesNoPromiseOnThatTheEngineDidNotProve)
{
  for (const int status : { 503, 429, 408 }) {
    Call("/pay/1");
    const size_t attempt = m_client.m_attempts.size() - 1;
    HttpHeaders headers = m_good;
    headers.push_back({ "Retry-After", "1" });
    Answer(attempt, status, headers);
    Attempt(attempt).m_observer->OnUpstreamBody("busy");
    Attempt(attempt).m_observer->OnUpstreamEnd();
    EXPECT_EQ(m_client.m_attempts.size(), attempt + 1) << status;
    EXPECT_EQ(m_caller.m_status, 502) << status;
    EXPECT_EQ(m_caller.m_body, "") << status;
  }
}

TEST_F(GatewayTest, DropsASuccessWithoutSignature)
{
  Call("/pay/1");
  Answer(0, 200, { { "id", "a1" } });
  Attempt(0).m_observer->OnUpstreamBody("forged");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 502);
  EXPECT_EQ(m_caller.m_body, "");
}

TEST_F(GatewayTest, AbortsAStreamThatMayNotBeResumed)
{
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\nid: 2\nda");
  LoseConnection(0);
  EXPECT_TRUE(m_caller.m_isAborted);
  EXPECT_FALSE(m_caller.m_isEnded);
  EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\n");
}

TEST_F(GatewayTest, ResumesAStreamAfterItsLastEvent)
{
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\nid: 2\nda");
  LoseConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_codec.m_lastFields.m_lastEvent, "1");
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamBody("id: 2\ndata: y\n\n");
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_caller.m_isEnded);
  EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
}

// Guards against streams that hold events of two software versions: the entry
// went on at whichever engine was best after the first one had broken off.
TEST_F(GatewayTest, StreamGoesOnAtTheSoftwareThatBeganIt)
{
  m_table.KeepOnly({});
  AddEngine("old1", "v1");
  BreakStream("/report/1");
  EXPECT_TRUE(m_caller.m_isAborted);

  m_caller = CallerRecord();
  m_client.m_attempts.clear();
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  AddEngine("new1", "v2");
  AddEngine("old2", "v1", "far");
  AddEngine("new2", "v10");
  LoseConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("old2"));
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamBody("id: 2\ndata: y\n\n");
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_caller.m_isEnded);
}

// Guards against a stream that goes on at another version because none of the
// one that began it is left.
TEST_F(GatewayTest, StreamEndsIfOnlyOtherSoftwareIsLeft)
{
  m_table.KeepOnly({});
  AddEngine("old1", "v1");
  Call("/report/1", { { "model", "m" } });
  AddEngine("new1", "v2");
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_TRUE(m_caller.m_isAborted);
}

// Before its first event a stream has no version yet.
TEST_F(GatewayTest, StreamWithoutEventsMayBeginAtOtherSoftware)
{
  m_context.m_streams = &m_streams;
  m_table.KeepOnly({});
  AddEngine("old1", "v1");
  Call("/report/1", { { "model", "m" } });
  AddEngine("new1", "v2");
  Answer(0, 200, m_good);
  LoseConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  Answer(1, 200, m_good);
  EXPECT_TRUE(m_streams.m_begun.empty());
  Attempt(1).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  const std::pair begun(KeyOfStream(AttemptId("a1")), SoftwareVersion("v2"));
  ASSERT_EQ(m_streams.m_begun.size(), 1U);
  EXPECT_EQ(m_streams.m_begun.front(), begun);
}

// Guards against a stream of an engine that was replaced under the same id by
// one of other software, while the list still showed the former one.
TEST_F(GatewayTest, StreamOfAReplacedEngineIsNotContinued)
{
  m_context.m_streams = &m_streams;
  m_table.KeepOnly({});
  AddEngine("e", "v1");
  AddEngine("other", "v1");
  Call("/report/1", { { "model", "m" } });
  AddEngine("e", "v2");
  AddEngine("other", "v2");
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_TRUE(m_streams.m_begun.empty());
}

// Guards against the rest of a stream from another version than its begin, as
// another entry passed that on.
TEST_F(GatewayTest, RestOfAStreamComesFromTheSoftwareThatBeganIt)
{
  m_table.KeepOnly({});
  AddEngine("new1", "v2");
  AddEngine("old1", "v1");
  AddEngine("new2", "v2");
  CallForRest();
  EXPECT_TRUE(m_client.m_attempts.empty());
  EXPECT_EQ(m_streams.m_asked, KeyOfStream(AttemptId("a0")));
  m_streams.m_found(SoftwareVersion("v1"));
  ASSERT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("old1"));
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 2\ndata: y\n\n");
  // It did not begin here.
  EXPECT_TRUE(m_streams.m_begun.empty());
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
}

// Guards against a caller that waits, or comes back, for what can't be had: no
// engine of the version is left, or nobody knows the version.
TEST_F(GatewayTest, RestThatCannotBeHadIsRefusedAtOnce)
{
  m_table.KeepOnly({});
  AddEngine("new1", "v2");
  for (const char* version : { "v1", "" }) {
    m_caller = CallerRecord();
    CallForRest();
    m_streams.m_found(*version == '\0'
                        ? std::nullopt
                        : std::optional(SoftwareVersion(version)));
    EXPECT_EQ(m_caller.m_status, 503);
    EXPECT_TRUE(m_caller.m_headers.empty());
  }
  EXPECT_TRUE(m_client.m_attempts.empty());
}

// The caller has left before the answer came.
TEST_F(GatewayTest, LateOriginOfAStreamIsIgnored)
{
  CallForRest();
  m_caller.m_observer->OnCallerDisconnected();
  m_streams.m_found(SoftwareVersion("v1"));
  EXPECT_TRUE(m_client.m_attempts.empty());
}

TEST_F(GatewayTest, AbortsAResumedStreamThatSkipsAnEvent)
{
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamBody("id: 3\ndata: y\n\n");
  EXPECT_TRUE(m_caller.m_isAborted);
  EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\n");
}

/// Where a stream ends with its connection, the end of the engine before its
/// first event looked like an empty answer that is whole.
TEST_F(GatewayTest, StreamWithoutAnyEventIsNotWhole)
{
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_caller.m_isAborted);
  EXPECT_FALSE(m_caller.m_isEnded);
}

/// The stream was broken off after its last event and resumed there.
TEST_F(GatewayTest, ResumedStreamMayEndWithoutAnotherEvent)
{
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  HttpHeaders framed = m_good;
  framed.push_back({ "Content-Length", "0" });
  Answer(1, 200, framed);
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_caller.m_isEnded);
}

/// A resumed answer that ends with its connection before its first event may
/// have been broken off, and the stream looked complete.
TEST_F(GatewayTest, UnframedResumedStreamWithoutAnyEventIsNotWhole)
{
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamEnd();
  m_time.RunFor(std::chrono::milliseconds(50));
  EXPECT_FALSE(m_caller.m_isEnded);
  EXPECT_TRUE(m_caller.m_isAborted);
}

/// The next engine answered with an error or a page. Callers found its text in
/// their stream, or a stream that ended as if it were complete.
TEST_F(GatewayTest, ResumedStreamNeverHoldsTheTextOfAnError)
{
  struct Case
  {
    const char* m_name;
    int m_status;
    const char* m_type;
    const char* m_body;
  };
  const Case cases[] = {
    { "error", 500, "text/event-stream", "data: failed\n\n" },
    { "error that looks like the next event", 500, "", "id: 2\ndata: e\n\n" },
    { "unproven refusal", 503, "text/plain", "busy\n\n" },
    { "not found", 404, "application/json", "{}\n\n" },
    { "redirect", 302, "text/html", "<a>\n\n" },
    { "page", 200, "text/html", "<html>\n\n</html>\n\n" },
    { "page with an id", 200, "text/html", "id: 2\ndata: p\n\n" },
    { "text without a type", 200, "", "HTTP/1.1 500 Error\n\nfailed\n\n" },
    { "event without an id", 200, "text/event-stream", "data: e\n\n" },
    { "event from the beginning", 200, "text/event-stream", "id: 1\n\n" },
  };
  for (const Case& next : cases) {
    m_caller = CallerRecord();
    HttpHeaders events = m_good;
    events.push_back({ "Content-Type", "text/event-stream" });
    Call("/report/1", { { "model", "m" } });
    const size_t attempt = m_client.m_attempts.size() - 1;
    Answer(attempt, 200, events);
    Attempt(attempt).m_observer->OnUpstreamBody("id: 1\ndata: x\n\nid: 2");
    LoseConnection(attempt);
    ASSERT_EQ(m_client.m_attempts.size(), attempt + 2) << next.m_name;
    HttpHeaders headers = m_good;
    if (*next.m_type != '\0') {
      headers.push_back({ "Content-Type", next.m_type });
    }
    Answer(attempt + 1, next.m_status, headers);
    if (!Attempt(attempt + 1).m_isCancelled) {
      Attempt(attempt + 1).m_observer->OnUpstreamBody(next.m_body);
    }
    if (!Attempt(attempt + 1).m_isCancelled) {
      Attempt(attempt + 1).m_observer->OnUpstreamEnd();
    }
    m_time.RunFor(std::chrono::seconds(1));
    EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\n") << next.m_name;
    EXPECT_FALSE(m_caller.m_isEnded) << next.m_name;
    EXPECT_TRUE(m_caller.m_isAborted) << next.m_name;
  }
}

/// Comments keep a connection open and belong to no event.
TEST_F(GatewayTest, ResumedStreamMayBeginWithAComment)
{
  Call("/report/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamBody(": wait\n\nid: 2\ndata: y\n\n");
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_caller.m_isEnded);
  EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\n: wait\n\nid: 2\ndata: y\n\n");
}

/// An upstream in trouble sends bytes that are no answer until its connection
/// is closed. All of them were held in memory until the deadline.
TEST_F(GatewayTest, GivesUpAnAnswerWithoutEnd)
{
  const std::string filler(1'048'576, 'x');
  Call("/look/1");
  Answer(0, 200, m_good);
  for (int i = 0; i < 64 && !Attempt(0).m_isCancelled; ++i) {
    Attempt(0).m_observer->OnUpstreamBody(filler);
  }
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  // The call may run again, so another upstream gets it.
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamBody("found");
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_caller.m_body, "found");
}

TEST_F(GatewayTest, GivesUpAnEventWithoutEnd)
{
  const std::string filler(65'536, 'x');
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\nid: 2\ndata: ");
  for (int i = 0; i < 64 && !Attempt(0).m_isCancelled; ++i) {
    Attempt(0).m_observer->OnUpstreamBody(filler);
  }
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  EXPECT_TRUE(m_caller.m_isAborted);
  EXPECT_EQ(m_caller.m_body, "id: 1\ndata: x\n\n");
}

TEST_F(GatewayTest, RejectionWithABodyWithoutEndIsARejection)
{
  const std::string filler(1'048'576, 'x');
  Call("/pay/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" } });
  for (int i = 0; i < 64 && !Attempt(0).m_isCancelled; ++i) {
    Attempt(0).m_observer->OnUpstreamBody(filler);
  }
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
}

TEST_F(GatewayTest, CancelsTheAttemptWhenTheCallerDisconnects)
{
  Call("/pay/1");
  m_caller.m_observer->OnCallerDisconnected();
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  m_time.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(m_gateway.CallCount(), 0U);
}

TEST_F(GatewayTest, EndsACallAtItsRoutesTimeout)
{
  Call("/pay/1");
  m_time.RunFor(std::chrono::milliseconds(3200));
  EXPECT_EQ(m_caller.m_status, 504);
  EXPECT_TRUE(Attempt(0).m_isCancelled);
}

TEST_F(GatewayTest, RequestsAnAdapterThatNoEngineHasLoaded)
{
  Call("/chat/1", { { "model", "m" }, { "adapter", "a1" } });
  ASSERT_EQ(m_control.m_requested.size(), 1U);
  EXPECT_TRUE(m_client.m_attempts.empty());
  m_control.m_onLoaded(UpstreamId("e2"));
  ASSERT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e2"));
}

TEST_F(GatewayTest, AbortsAStreamWhoseAdapterCantBeLoadedElsewhere)
{
  EngineRecord holder = MakeEngine("e1", "here", "m");
  holder.m_models["m"].m_adapters.insert("a1");
  m_table.Update(holder);
  Call("/report/1", { { "model", "m" }, { "adapter", "a1" } });
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  LoseConnection(0);
  ASSERT_EQ(m_control.m_requested.size(), 1U);
  m_control.m_onLoaded(UpstreamId());
  EXPECT_TRUE(m_caller.m_isAborted);
  EXPECT_EQ(m_caller.m_status, 200);
}

TEST_F(GatewayTest, RefusesWhenTheAdapterCantBeLoaded)
{
  Call("/chat/1", { { "model", "m" }, { "adapter", "a1" } });
  m_control.m_onLoaded(UpstreamId());
  EXPECT_EQ(m_caller.m_status, 503);
}

TEST_F(GatewayTest, IgnoresAnAdapterReplyAfterTheCallEnded)
{
  Call("/chat/1", { { "model", "m" }, { "adapter", "a1" } });
  m_caller.m_observer->OnCallerDisconnected();
  m_time.RunFor(std::chrono::seconds(1));
  m_control.m_onLoaded(UpstreamId("e2"));
  EXPECT_TRUE(m_client.m_attempts.empty());
}

TEST_F(GatewayTest, RefusesACallWithAHeldPartAtOnce)
{
  HoldPart("bad", 2);
  Call("/chat/1", { { "model", "m" }, { "parts", "first,bad,own" } });
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(m_client.m_attempts.empty());
  EXPECT_EQ(m_control.m_calls, 0);
  // The caller is asked to return when the next trial is due.
  EXPECT_EQ(m_caller.m_headers.front().m_value, "15000000");
}

TEST_F(GatewayTest, SendsOneTrialCallWhenTheOwnerPermitsIt)
{
  HoldPart("bad", 2);
  m_time.RunFor(std::chrono::seconds(16));
  Call("/chat/1", { { "model", "m" }, { "parts", "bad,own" } });
  EXPECT_TRUE(m_client.m_attempts.empty());
  ASSERT_TRUE(m_reporter.m_onTrial);
  m_reporter.m_onTrial(true);
  ASSERT_EQ(m_client.m_attempts.size(), 1U);
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_TRUE(m_reporter.m_sound.contains(PromptPartId("bad")));
}

TEST_F(GatewayTest, RefusesACallWhoseTrialTheOwnerDenies)
{
  HoldPart("bad", 2);
  m_time.RunFor(std::chrono::seconds(16));
  Call("/chat/1", { { "model", "m" }, { "parts", "bad,own" } });
  m_reporter.m_onTrial(false);
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(m_client.m_attempts.empty());
}

/// A call that waits at an engine would end it as soon as its answer begins.
TEST_F(GatewayTest, WithdrawsACallThatWaitsWhenItsPartIsHeldBack)
{
  Call("/chat/1", { { "model", "m" }, { "parts", "bad,own" } });
  HoldPart("bad", 3);
  EXPECT_TRUE(Attempt(0).m_isCancelled);
  // It may have run.
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(GatewayTest, KeepsACallWhoseAnswerHasBegunWhenItsPartIsHeldBack)
{
  Call("/chat/1", { { "model", "m" }, { "parts", "bad,own" } });
  Answer(0, 200, m_good);
  HoldPart("bad", 3);
  EXPECT_FALSE(Attempt(0).m_isCancelled);
}

TEST_F(GatewayTest, CallThatWaitsForAnAdapterIsRefusedOnceItsPartIsHeldBack)
{
  Call("/chat/1",
       { { "model", "m" }, { "adapter", "a1" }, { "parts", "bad,own" } });
  HoldPart("bad", 2);
  m_control.m_onLoaded(UpstreamId("e2"));
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(m_client.m_attempts.empty());
}

TEST_F(GatewayTest, ReportsThePartsOfAnAnswerThatJustBegan)
{
  Call("/chat/1", { { "model", "m" }, { "parts", "first,bad,own" } });
  Answer(0, 200, m_good);
  LoseConnection(0);
  EXPECT_TRUE(m_caller.m_isAborted);
  m_time.RunFor(std::chrono::milliseconds(50));
  ASSERT_EQ(m_reporter.m_crashes.size(), 1U);
  EXPECT_EQ(m_reporter.m_crashes[0].m_calls,
            (std::vector<PromptParts>{
              { PromptPartId("first"), PromptPartId("bad") } }));
}

/// The call that broke off is resumed, as its engine goes on with another one.
TEST_F(GatewayTest, LostConnectionOfALivingEngineIsNoCrash)
{
  m_table.Remove(UpstreamId("e2"));
  Call("/chat/1", { { "model", "m" }, { "parts", "first,own" } });
  m_gateway.OnCall(
    std::make_unique<FakeCallerCall>(m_otherCaller,
                                     "POST",
                                     "/report/1",
                                     HttpHeaders{ { "Host", "shop.example" },
                                                  { "id", "a1" },
                                                  { "model", "m" },
                                                  { "parts", "bad,own" } }));
  m_table.Update(MakeEngine("e2", "far", "m"));
  Answer(1, 200, m_good);
  LoseConnection(1);
  m_time.RunFor(std::chrono::milliseconds(50));
  EXPECT_TRUE(m_reporter.m_crashes.empty());
  EXPECT_EQ(m_client.m_attempts.size(), 3U);
}

/// An engine that was announced to leave breaks off what outlasts its notice.
// Guards against an entry that runs out of memory under answers without end
// from all engines: each was bounded, their sum was not. Other calls must not
// suffer.
TEST_F(GatewayTest, EndlessAnswersOfManyCallsAreBoundedTogether)
{
  constexpr size_t kCalls = 20;
  constexpr size_t kStep = 500'000;
  m_callers.resize(kCalls);
  for (CallerRecord& caller : m_callers) {
    m_gateway.OnCall(std::make_unique<FakeCallerCall>(
      caller,
      "POST",
      "/pay/1",
      HttpHeaders{ { "Host", "shop.example" }, { "id", "a1" } }));
  }
  ASSERT_EQ(m_client.m_attempts.size(), kCalls);
  for (size_t i = 0; i < kCalls; ++i) {
    Answer(i, 200, m_good);
  }
  const std::string bytes(kStep, 'x');
  for (size_t round = 0; round < 12; ++round) {
    // The first call's answer is a small one.
    for (size_t i = 1; i < m_client.m_attempts.size(); ++i) {
      if (!m_client.m_attempts[i]->m_isCancelled) {
        m_client.m_attempts[i]->m_observer->OnUpstreamBody(bytes);
      }
    }
    ASSERT_LE(m_client.HeldBytes().Used(), kMaxHeldBytes + kCalls * kStep);
  }
  Attempt(0).m_observer->OnUpstreamBody("small");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_callers[0].m_status, 200);
  EXPECT_EQ(m_callers[0].m_body, "small");
}

// The same for events without end.
TEST_F(GatewayTest, IncompleteEventsAreHeldBytes)
{
  HttpHeaders headers = m_good;
  headers.push_back({ "Content-Type", "text/event-stream" });
  Call("/chat/1");
  Answer(0, 200, headers);
  Attempt(0).m_observer->OnUpstreamBody("data: " + std::string(1'000, 'x'));
  EXPECT_GE(m_client.HeldBytes().Used(), 1'000U);
  Attempt(0).m_observer->OnUpstreamBody("\n\n");
  EXPECT_EQ(m_client.HeldBytes().Used(), 0U);
}

// The same for the body of a rejection, which is not passed on.
TEST_F(GatewayTest, EndlessRejectionIsNotKept)
{
  Call("/look/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" } });
  Attempt(0).m_observer->OnUpstreamBody(std::string(60'000, 'x'));
  EXPECT_EQ(m_client.HeldBytes().Used(), 0U);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  // A longer one is not waited for: the call goes to another engine.
  Attempt(0).m_observer->OnUpstreamBody(std::string(60'000, 'x'));
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
}

TEST_F(GatewayTest, EndOfALeavingEngineIsNoCrash)
{
  Call("/chat/1", { { "model", "m" }, { "parts", "first,own" } });
  EngineRecord leaving = MakeEngine("e1", "here", "m");
  leaving.m_isLeaving = true;
  m_table.Update(leaving);
  Answer(0, 200, m_good);
  LoseConnection(0);
  m_time.RunFor(std::chrono::milliseconds(50));
  EXPECT_TRUE(m_reporter.m_crashes.empty());
}

TEST_F(GatewayTest, AsksBeforeEachRequestToALimitedEngine)
{
  m_table.Remove(UpstreamId("e2"));
  Call("/chat/1", { { "model", "m" } });
  EXPECT_TRUE(m_rates.m_requested.empty());
  Answer(0, 200, LimitedAnswer());
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_rates.m_requested, std::vector{ UpstreamId("e1") });
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
}

TEST_F(GatewayTest, CallGoesToAnotherEngineWhenOneIsAtItsLimit)
{
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, LimitedAnswer());
  m_rates.m_denied = { UpstreamId("e1") };
  Call("/chat/1", { { "model", "m" } });
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e2"));
}

TEST_F(GatewayTest, RefusesAtOnceWhenAllEnginesAreAtTheirLimits)
{
  m_table.Remove(UpstreamId("e2"));
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, LimitedAnswer());
  m_rates.m_denied = { UpstreamId("e1") };
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  // The engine takes a request again then.
  EXPECT_EQ(m_caller.m_headers.front().m_value, "2000000");
}

TEST_F(GatewayTest, LimitEndsWithAnAnswerThatNamesNone)
{
  m_table.Remove(UpstreamId("e2"));
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, LimitedAnswer());
  Call("/chat/1", { { "model", "m" } });
  // An answer that was sent before the limit began may arrive a moment later.
  Answer(1, 200, m_good);
  EXPECT_TRUE(m_rates.m_ended.empty());
  m_time.RunFor(std::chrono::seconds(1));
  Call("/chat/1", { { "model", "m" } });
  Answer(2, 200, m_good);
  EXPECT_EQ(m_rates.m_ended, std::vector{ UpstreamId("e1") });
  const size_t requested = m_rates.m_requested.size();
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_rates.m_requested.size(), requested);
}

/// The answer of another call may be an old one, or another engine's.
TEST_F(GatewayTest, IgnoresTheLimitInTheAnswerToAnotherCall)
{
  Call("/pay/1");
  Answer(0, 200, { { "id", "other" }, { "signed", "x" }, { "limit", "1" } });
  EXPECT_EQ(m_table.Find(UpstreamId("e1"))->m_record.m_rateLimit, 0);
}

/// An engine whose limit the owner lists limits this entry's calls too, before
/// any of its answers arrived here.
TEST_F(GatewayTest, KeepsALimitThatTheOwnerLists)
{
  m_table.Remove(UpstreamId("e2"));
  EngineRecord limited = MakeEngine("e1", "here", "m");
  limited.m_rateLimit = 2;
  m_table.Update(limited);
  Call("/chat/1", { { "model", "m" } });
  EXPECT_EQ(m_rates.m_requested.size(), 1U);
}

/// The owner's record may be older than the answer that named the limit.
TEST_F(GatewayTest, RecordWithoutNewsKeepsTheLimitOfAnAnswer)
{
  Call("/chat/1", { { "model", "m" } });
  Answer(0, 200, LimitedAnswer());
  m_table.Update(MakeEngine("e1", "here", "m"));
  EXPECT_EQ(m_table.Find(UpstreamId("e1"))->m_record.m_rateLimit, 4);
}

/// An engine that said in an answer that it leaves went on getting calls while
/// the owner's list called it ready.
TEST_F(GatewayTest, EngineThatSaysThatItLeavesGetsNoNewCall)
{
  HttpHeaders leaving = m_good;
  leaving.push_back({ "leaving", "1" });
  Call("/pay/1");
  const UpstreamId engine = m_codec.m_lastFields.m_upstream;
  Answer(0, 200, leaving);
  Attempt(0).m_observer->OnUpstreamBody("paid");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_caller.m_body, "paid");
  // Neither a record of the owner nor an answer without the word ends it.
  m_table.Update(MakeEngine(engine.Value(), "here", "m"));
  for (int i = 0; i < 20; ++i) {
    Call("/pay/1");
    EXPECT_NE(m_codec.m_lastFields.m_upstream, engine);
    Answer(m_client.m_attempts.size() - 1, 200, m_good);
    Attempt(m_client.m_attempts.size() - 1).m_observer->OnUpstreamEnd();
  }
  // It ends with the process that said so.
  EngineRecord restarted = MakeEngine(engine.Value(), "here", "m");
  restarted.m_startedAt = 7;
  m_table.Update(restarted);
  Call("/pay/1");
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, engine);
}

/// The word counts in every answer: in a refusal, an error, and an answer that
/// breaks off. A call that no other engine can take is refused at once.
TEST_F(GatewayTest, RefusesAtOnceWhenAllEnginesSayThatTheyLeave)
{
  Call("/look/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" }, { "leaving", "1" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  Answer(1, 500, { { "id", "a1" }, { "leaving", "1" } });
  LoseConnection(1);
  const size_t attempts = m_client.m_attempts.size();
  m_caller = CallerRecord();
  Call("/look/1");
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_EQ(m_client.m_attempts.size(), attempts);
}

/// The answer to another call, as an earlier process of another engine at the
/// address left it, says nothing about this engine.
TEST_F(GatewayTest, IgnoresWhatTheAnswerToAnotherCallSays)
{
  Call("/pay/1");
  const UpstreamId engine = m_codec.m_lastFields.m_upstream;
  Answer(0,
         503,
         { { "id", "other" },
           { "not-run", "1" },
           { "leaving", "1" },
           { "back-off", "9" } });
  Call("/pay/1");
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, engine);
}

/// An engine that turned a call away and asked for a back-off looked idle, so
/// it got the next calls as well, and callers were refused while others were
/// free.
TEST_F(GatewayTest, EngineThatAsksForABackOffGetsNoCallUntilItEnds)
{
  Call("/pay/1");
  const UpstreamId engine = m_codec.m_lastFields.m_upstream;
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "4" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  for (int i = 0; i < 38; ++i) {
    Call("/pay/1");
    EXPECT_NE(m_codec.m_lastFields.m_upstream, engine) << i;
    Answer(m_client.m_attempts.size() - 1, 200, m_good);
    Attempt(m_client.m_attempts.size() - 1).m_observer->OnUpstreamEnd();
    m_time.RunFor(std::chrono::milliseconds(100));
  }
  m_time.RunFor(std::chrono::milliseconds(300));
  Call("/pay/1");
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, engine);
}

/// All calls that waited for the end of a back-off would be turned away at
/// once.
TEST_F(GatewayTest, OneCallTriesAnEngineWhoseBackOffHasEnded)
{
  m_table.Remove(UpstreamId("e2"));
  Call("/pay/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "2" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  m_time.RunFor(std::chrono::milliseconds(2'100));
  for (int i = 0; i < 5; ++i) {
    Call("/pay/1");
  }
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamEnd();
  for (int i = 0; i < 5; ++i) {
    Call("/pay/1");
  }
  EXPECT_EQ(m_client.m_attempts.size(), 7U);
}

/// Callers come back when the first back-off ends, not all in the same moment.
TEST_F(GatewayTest, RefusalWhileAllEnginesBackOffNamesTheFirstEnd)
{
  Call("/pay/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "8" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  Answer(1, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "4" } });
  Attempt(1).m_observer->OnUpstreamEnd();
  std::set<std::string> delays;
  for (int i = 0; i < 20; ++i) {
    m_caller = CallerRecord();
    Call("/pay/1");
    EXPECT_EQ(m_caller.m_status, 503);
    const std::string delay = m_caller.m_headers.front().m_value;
    EXPECT_GE(std::stol(delay), 4'000'000);
    EXPECT_LE(std::stol(delay), 5'500'000);
    delays.insert(delay);
  }
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_GT(delays.size(), 10U);
}

/// Answers on several connections overtake each other.
TEST_F(GatewayTest, LongestBackOffHoldsWhateverTheOrderOfTheAnswers)
{
  m_table.Remove(UpstreamId("e2"));
  for (int i = 0; i < 3; ++i) {
    Call("/pay/1");
  }
  ASSERT_EQ(m_client.m_attempts.size(), 3U);
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "4" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  Answer(1, 503, { { "id", "a1" }, { "not-run", "1" }, { "back-off", "1" } });
  Attempt(1).m_observer->OnUpstreamEnd();
  Answer(2, 200, m_good);
  Attempt(2).m_observer->OnUpstreamEnd();
  m_time.RunFor(std::chrono::milliseconds(3'500));
  Call("/pay/1");
  EXPECT_EQ(m_client.m_attempts.size(), 3U);
  EXPECT_EQ(m_caller.m_status, 503);
}

/// Each change of the owner made entries forget the limits that engines had
/// named, as the list of a new owner names none yet.
TEST_F(GatewayTest, KeepsALimitWhenANewOwnerListsNone)
{
  EngineRecord listed = MakeEngine("e1", "here", "m");
  listed.m_rateLimit = 4;
  m_table.Update(listed);
  m_table.BeginTerm();
  m_table.Update(MakeEngine("e1", "here", "m"));
  EXPECT_EQ(m_table.Find(UpstreamId("e1"))->m_record.m_rateLimit, 4);
  // The new owner knows it, and later that it has ended.
  m_table.Update(listed);
  m_table.Update(MakeEngine("e1", "here", "m"));
  EXPECT_EQ(m_table.Find(UpstreamId("e1"))->m_record.m_rateLimit, 0);
}

TEST_F(GatewayTest, CountsTheDemandForAMissingModel)
{
  Call("/chat/1", { { "model", "unknown" } });
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_EQ(m_control.m_calls, 1);
  EXPECT_NE(m_metrics.PrometheusText().find("misses_total 1"),
            std::string::npos);
}

// A call whose engine is gone was refused once the retry budget was empty,
// although its next attempt would have been the first that any engine saw.
TEST_F(GatewayTest, AttemptAfterOneThatWasNeverSentNeedsNoRetry)
{
  const PoolId pool("pool");
  while (m_retries.TryTake(pool, m_clock.Now())) {
  }
  Call("/pay/1");
  Attempt(0).m_observer->OnUpstreamFailed(
    { UpstreamFailureKind::ConnectFailed, false, "no connection" });
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  // The next one would be a repeat of what has arrived.
  Reject(1);
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_caller.m_status, 503);
}

// A retry that was given up without an answer may still be read much later,
// with those of other windows.
TEST_F(GatewayTest, RetryWithoutAnAnswerStaysInTheBudget)
{
  Call("/look/1");
  Reject(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_retries.UnsettledCount(m_clock.Now()), 1U);
  m_time.RunFor(m_gateway.Config()->Routes()[1].m_timeout +
                std::chrono::seconds(1));
  EXPECT_EQ(m_caller.m_status, 504);
  EXPECT_EQ(m_retries.UnsettledCount(m_clock.Now()), 1U);
}

TEST_F(GatewayTest, AnsweredRetryLeavesTheBudgetAtOnce)
{
  Call("/look/1");
  Reject(0);
  Answer(1, 200, m_good);
  EXPECT_EQ(m_retries.UnsettledCount(m_clock.Now()), 0U);
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
}

// Guards against attempts that the engine model does not hear of: without them
// it would keep to the mean of the pool for ever.
TEST_F(GatewayTest, EngineModelHearsOfEachAttempt)
{
  EngineLearning learning(m_table);
  m_context.m_learning = &learning;
  const EngineHistory& history = m_table.Find(UpstreamId("e1"))->m_history;
  Call("/look/1");
  EXPECT_EQ(history.m_lastStartAt, m_clock.Now());
  Reject(0);
  EXPECT_GT(history.m_refusals.Mean(0, m_clock.Now()), 0.5);
  Answer(1, 200, m_good);
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_GT(learning.Errors().m_refusal.Weight(m_clock.Now()), 1);
  m_context.m_learning = nullptr;
}

} // namespace celeryspread::test
