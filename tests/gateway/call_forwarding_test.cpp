#include <gtest/gtest.h>

#include "gateway/call_forwarding.h"
#include "gateway/forwarded_call_handler.h"
#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

namespace {

const EntryPeer kFirstPeer{ InstanceId("peer1"),
                            { "10.0.0.7", 7381 },
                            FailureDomainId("far") };
const EntryPeer kSecondPeer{ InstanceId("peer2"),
                             { "10.0.0.8", 7381 },
                             FailureDomainId("far") };

/// A gateway that forwards calls while it is cut off, and takes those that
/// others forward.
class CallForwardingTest : public GatewayFixture
{
protected:
  CallForwardingTest()
  {
    m_context.m_forwarding = &m_forwarding;
    m_peers.Set({ kFirstPeer });
  }
  void CutOff()
  {
    for (const char* id : { "e1", "e2" }) {
      m_reach.RecordNoConnection(PoolId("pool"),
                                 UpstreamId(id),
                                 UpstreamReach::Source::Probe,
                                 2,
                                 m_clock.Now());
    }
  }
  void FailConnection(size_t aIndex)
  {
    Attempt(aIndex).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::ConnectFailed, false, "no connection" });
  }
  /// Receives a call that another entry forwards.
  void ReceiveForwarded(const std::string& aPath,
                        const ForwardedFields& aFields,
                        const std::string& aTarget)
  {
    HttpHeaders headers{ { "Host", "shop.example" }, { "id", "a1" } };
    m_forwarding.Protocol().WriteCall(aFields, "POST", aTarget, headers);
    m_handler.OnCall(std::make_unique<FakeCallerCall>(
      m_caller, "POST", aPath, std::move(headers)));
  }
  static ForwardedFields FromOther()
  {
    ForwardedFields fields;
    fields.m_forwarder = InstanceId("other");
    return fields;
  }
  static HttpHeaders NotRun()
  {
    HttpHeaders headers{ { "id", "a1" }, { "back-off", "2" } };
    ForwardingProtocol::WriteNotRun(headers);
    return headers;
  }
  [[nodiscard]] ForwardedAnswer CallersAnswer() const
  {
    return ForwardingProtocol::ReadAnswer(m_caller.m_headers);
  }

  const ClusterKey m_key{ "a secret of the test cluster" };
  UpstreamReach m_reach;
  PeerList m_peers{ FailureDomainId("here"), {}, m_random };
  CallForwarding m_forwarding{ m_reach,
                               m_peers,
                               ForwardingProtocol(m_key),
                               InstanceId("self") };
  bool m_takesCalls = true;
  ForwardedCallHandler m_handler{ m_forwarding.Protocol(),
                                  m_gateway,
                                  [this] { return m_takesCalls; },
                                  m_metrics };
};

} // namespace

/// Callers of an entry without a path to any upstream were refused, although
/// another entry could have served them.
TEST_F(CallForwardingTest, CallsOfACutOffEntryAreServedByAnother)
{
  CutOff();
  Call("/pay/1");
  ASSERT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(Attempt(0).m_request.m_address, kFirstPeer.m_address);
  HttpHeaders headers = m_good;
  ForwardingProtocol::WriteUpstream(UpstreamId("e1"), headers);
  Answer(0, 200, headers);
  Attempt(0).m_observer->OnUpstreamBody("paid");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_caller.m_body, "paid");
  // What the entries tell each other is not for the caller.
  EXPECT_TRUE(CallersAnswer().m_upstream.IsEmpty());
}

TEST_F(CallForwardingTest, CallsGoStraightToUpstreamsInReach)
{
  Call("/pay/1");
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e1"));
  CutOff();
  m_reach.RecordConnected(PoolId("pool"));
  Call("/pay/1");
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e2"));
}

/// The call that finds out that the entry is cut off is forwarded too.
TEST_F(CallForwardingTest, CallWhoseConnectionsFailIsForwarded)
{
  Call("/pay/1");
  FailConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  FailConnection(1);
  ASSERT_EQ(m_client.m_attempts.size(), 3U);
  EXPECT_EQ(Attempt(2).m_request.m_address, kFirstPeer.m_address);
}

/// A call that may have run is forwarded only if it may run again.
TEST_F(CallForwardingTest, CallThatMayHaveRunIsNotForwarded)
{
  Call("/pay/1");
  CutOff();
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(CallForwardingTest, PossibleRunsCountOverBothEntries)
{
  Call("/look/1");
  CutOff();
  LoseConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  FakeCallerCall forwarded(
    m_otherCaller, "POST", "/look/1", Attempt(1).m_request.m_headers);
  const auto fields = m_forwarding.Protocol().ReadCall(forwarded);
  ASSERT_TRUE(fields);
  EXPECT_EQ(fields->m_possibleRuns, 1U);
  // Two runs are allowed; the other entry has one of them left.
  LoseConnection(1);
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_caller.m_status, 502);
}

/// The other entry had sent the call to as many engines as the route allows,
/// and it was forwarded once more to a third entry: one run too many.
TEST_F(CallForwardingTest, CallThatRanAtAPeerIsNotForwardedAgain)
{
  m_peers.Set({ kFirstPeer, kSecondPeer });
  CutOff();
  Call("/look/1");
  HttpHeaders headers = m_good;
  ForwardingProtocol::WriteUpstream(UpstreamId("e2"), headers);
  Answer(0, 500, headers);
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 500);
  m_caller = CallerRecord();
  Call("/look/1");
  LoseConnection(1);
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_caller.m_status, 502);
}

/// A link to the other entry that breaks leaves the call in doubt.
TEST_F(CallForwardingTest, BrokenForwardedCallIsNotRefused)
{
  m_peers.Set({ kFirstPeer, kSecondPeer });
  CutOff();
  Call("/pay/1");
  LoseConnection(0);
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 502);
}

TEST_F(CallForwardingTest, AnotherEntryIsAskedIfOneCanNotBeReachedOrRefuses)
{
  m_peers.Set({ kFirstPeer, kSecondPeer });
  CutOff();
  Call("/pay/1");
  FailConnection(0);
  ASSERT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_NE(Attempt(0).m_request.m_address, Attempt(1).m_request.m_address);
  Answer(1, 503, NotRun());
  Attempt(1).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_client.m_attempts.size(), 2U);
  EXPECT_EQ(m_caller.m_status, 503);
}

/// A status alone is no promise of the other entry.
TEST_F(CallForwardingTest, RefusalWithoutItsProofProvesNothing)
{
  m_peers.Set({ kFirstPeer, kSecondPeer });
  CutOff();
  Call("/pay/1");
  Answer(0, 503, { { "id", "a1" }, { "not-run", "1" } });
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_caller.m_status, 502);
}

/// Waiting for a deadline helps nobody.
TEST_F(CallForwardingTest, CutOffEntryWithoutPeersRefusesAtOnce)
{
  m_peers.Set({});
  CutOff();
  Call("/pay/1");
  EXPECT_TRUE(m_client.m_attempts.empty());
  EXPECT_EQ(m_caller.m_status, 503);
}

TEST_F(CallForwardingTest, ForwardedCallIsServedAsAnyOther)
{
  ReceiveForwarded("/pay/1", FromOther(), "/pay/1");
  ASSERT_EQ(m_client.m_attempts.size(), 1U);
  EXPECT_EQ(m_codec.m_lastFields.m_upstream, UpstreamId("e1"));
  EXPECT_EQ(ForwardingProtocol::Strip(Attempt(0).m_request.m_headers).size(),
            Attempt(0).m_request.m_headers.size());
  Answer(0, 200, m_good);
  Attempt(0).m_observer->OnUpstreamBody("paid");
  Attempt(0).m_observer->OnUpstreamEnd();
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(CallersAnswer().m_upstream, UpstreamId("e1"));
  EXPECT_FALSE(CallersAnswer().m_hasNotRun);
}

TEST_F(CallForwardingTest, RefusalOfAForwardedCallBearsItsProof)
{
  ReceiveForwarded("/pay/1", FromOther(), "/pay/1");
  Reject(0);
  Reject(1);
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(CallersAnswer().m_hasNotRun);
}

TEST_F(CallForwardingTest, FailureOfAForwardedCallProvesNothing)
{
  ReceiveForwarded("/pay/1", FromOther(), "/pay/1");
  LoseConnection(0);
  EXPECT_EQ(m_caller.m_status, 502);
  EXPECT_FALSE(CallersAnswer().m_hasNotRun);
}

/// Two entries that are cut off would send a call to and fro.
TEST_F(CallForwardingTest, ForwardedCallIsNeverForwardedAgain)
{
  CutOff();
  ReceiveForwarded("/pay/1", FromOther(), "/pay/1");
  EXPECT_TRUE(m_client.m_attempts.empty());
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(CallersAnswer().m_hasNotRun);
}

TEST_F(CallForwardingTest, EntryThatTakesNoCallsSaysSo)
{
  m_takesCalls = false;
  ReceiveForwarded("/pay/1", FromOther(), "/pay/1");
  EXPECT_EQ(m_caller.m_status, 503);
  EXPECT_TRUE(CallersAnswer().m_isUnable);
  EXPECT_TRUE(CallersAnswer().m_hasNotRun);
}

/// A caller who writes the headers itself has no proof of the cluster key.
TEST_F(CallForwardingTest, CallWithoutProofIsRefused)
{
  HttpHeaders headers{ { "Host", "shop.example" }, { "id", "a1" } };
  ForwardingProtocol(ClusterKey("a secret of another cluster"))
    .WriteCall(FromOther(), "POST", "/pay/1", headers);
  m_handler.OnCall(
    std::make_unique<FakeCallerCall>(m_caller, "POST", "/pay/1", headers));
  EXPECT_EQ(m_caller.m_status, 403);
  // The proof is that of another target.
  ReceiveForwarded("/pay/1", FromOther(), "/look/1");
  EXPECT_EQ(m_caller.m_status, 403);
  EXPECT_TRUE(m_client.m_attempts.empty());
}

} // namespace celeryspread::test
