#include <gtest/gtest.h>

#include "core/random_source.h"
#include "gateway/directory_link.h"
#include "gateway/retry_budget_share.h"
#include "tests/support/gateway_fakes.h"
#include "tests/support/test_loop.h"
#include "wire/engine_codec.h"
#include "wire/message_bytes.h"
#include "wire/route_encoding.h"
#include "wire/wire_server.h"

namespace celeryspread::test {

namespace {

constexpr const char* kOwnerAddress = "127.0.0.1";
constexpr const char* kRelayAddress = "127.0.0.2";
/// Route version that control instances prove.
constexpr uint64_t kProvenVersion = 3;
constexpr const char* kOtherAddress = "127.0.0.11";

/// What a fake control instance answers, and what it was asked.
struct ControlScript
{
  bool m_isOwner = false;
  bool m_hasDirectory = true;
  bool m_recordsStreams = false;
  /// Age of the proof of route version 3; negative for none.
  std::chrono::milliseconds m_proofAge{ -1 };
  /// Newest route version that the instance has, 0 for none.
  uint64_t m_offeredVersion = 0;
  std::string m_document = "document";
  /// Document against which m_document is sent compressed; version 0 for none.
  uint64_t m_baseVersion = 0;
  std::string m_base;
  /// Bytes of routes that pass the link in a second, 0 for any number.
  uint64_t m_routeBytesPerSecond = 0;
  size_t m_pieces = 0;
  bool m_failsFollows = false;
  /// Takes calls and never answers, as a frozen process.
  bool m_isSilent = false;
  uint64_t m_epoch = 5;
  uint64_t m_version = 10;
  std::chrono::milliseconds m_listAge{ 100 };
  size_t m_follows = 0;
  size_t m_adapterLoads = 0;
  uint32_t m_demandedCalls = 0;
  uint64_t m_lastKnownVersion = 0;
  /// Reports that fail before one is accepted.
  size_t m_failingReports = 0;
  CrashReport m_report;
  bool m_permitsTrials = false;
  uint64_t m_suspectVersion = 1;
  CrashInvestigation::Parts m_suspects;
};

/// Control instance that answers each follow call after a moment, as its script
/// says.
class FakeControlNode : public wire::ControlNode::Server
{
public:
  FakeControlNode(EventLoopPort& aPort, ControlScript& aScript)
    : m_port(aPort)
    , m_script(aScript)
  {
  }

protected:
  kj::Promise<void> ping(PingContext /*aContext*/) override
  {
    return kj::READY_NOW;
  }
  kj::Promise<void> follow(FollowContext aContext) override
  {
    constexpr int64_t kAnswerDelayMicros = 5'000;
    const auto request = aContext.getParams().getRequest();
    ++m_script.m_follows;
    KJ_REQUIRE(!m_script.m_failsFollows, "scripted failure");
    if (m_script.m_isSilent) {
      return kj::NEVER_DONE;
    }
    m_script.m_lastKnownVersion = request.getDirectoryVersion();
    for (const auto demand : request.getDemand()) {
      m_script.m_demandedCalls += demand.getCalls();
    }
    const uint64_t knownEpoch = request.getEpoch();
    const uint64_t routeVersion = request.getRouteVersion();
    const uint32_t maxBytes = request.getMaxRouteBytes();
    const bool sendsRoutes =
      m_script.m_offeredVersion > routeVersion &&
      (maxBytes == 0 || m_script.m_document.size() <= maxBytes);
    const int64_t delay =
      kAnswerDelayMicros +
      (sendsRoutes ? TransferMicros(m_script.m_document.size()) : 0);
    return PromiseAfter(m_port.Base(), delay)
      .then([this, aContext, knownEpoch, sendsRoutes]() mutable {
        Answer(knownEpoch, aContext.getResults().initReply());
        AnswerRoutes(sendsRoutes, aContext.getResults().getReply());
      });
  }
  kj::Promise<void> readRoutes(ReadRoutesContext aContext) override
  {
    const auto params = aContext.getParams();
    const uint64_t offset =
      params.getVersion() == m_script.m_offeredVersion ? params.getOffset() : 0;
    const std::string bytes =
      m_script.m_document.substr(offset, RouteAssembly::kPieceBytes);
    ++m_script.m_pieces;
    return PromiseAfter(m_port.Base(), TransferMicros(bytes.size()))
      .then([this, aContext, offset, bytes]() mutable {
        auto piece = aContext.getResults().initPiece();
        piece.setVersion(m_script.m_offeredVersion);
        piece.setTotalBytes(m_script.m_document.size());
        piece.setOffset(offset);
        piece.setBytes(DataOf(bytes));
      });
  }
  kj::Promise<void> loadAdapter(LoadAdapterContext aContext) override
  {
    ++m_script.m_adapterLoads;
    aContext.getResults().setEngine("e1");
    return kj::READY_NOW;
  }

  kj::Promise<void> reportCrashes(ReportCrashesContext aContext) override
  {
    KJ_REQUIRE(m_script.m_isOwner, "not the owner");
    if (m_script.m_failingReports > 0) {
      --m_script.m_failingReports;
      return KJ_EXCEPTION(FAILED, "scripted failure");
    }
    const CrashReport report =
      ReadCrashReport(aContext.getParams().getReport(), TimePoint());
    for (const CrashRecord& crash : report.m_crashes) {
      m_script.m_report.m_crashes.push_back(crash);
    }
    m_script.m_report.m_sound.insert(report.m_sound.begin(),
                                     report.m_sound.end());
    for (const SuspectPart& part : report.m_carried) {
      m_script.m_report.m_carried.push_back(part);
    }
    aContext.getResults().setEpoch(m_script.m_epoch);
    aContext.getResults().setVersion(m_script.m_suspectVersion);
    return kj::READY_NOW;
  }
  kj::Promise<void> requestTrial(RequestTrialContext aContext) override
  {
    aContext.getResults().setIsPermitted(m_script.m_permitsTrials);
    return kj::READY_NOW;
  }

private:
  /// Returns how long bytes take on the link.
  [[nodiscard]] int64_t TransferMicros(uint64_t aBytes) const
  {
    constexpr uint64_t kMicrosPerSecond = 1'000'000;
    return m_script.m_routeBytesPerSecond == 0
             ? 0
             : static_cast<int64_t>(aBytes * kMicrosPerSecond /
                                    m_script.m_routeBytesPerSecond);
  }
  void AnswerRoutes(bool aSendsRoutes, wire::FollowReply::Builder aReply)
  {
    aReply.setOfferedRouteVersion(m_script.m_offeredVersion);
    if (aSendsRoutes) {
      auto routes = aReply.initRoutes();
      routes.setVersion(m_script.m_offeredVersion);
      const bool isEncoded = m_script.m_baseVersion != 0;
      const std::string bytes =
        isEncoded ? EncodeRoutes(m_script.m_document, m_script.m_base)
                  : m_script.m_document;
      routes.setDocument(DataOf(bytes));
      aReply.setRoutesEncoded(isEncoded);
      aReply.setRoutesBase(m_script.m_baseVersion);
    }
  }
  void Answer(uint64_t aKnownEpoch, wire::FollowReply::Builder aReply)
  {
    aReply.setIsLeader(m_script.m_isOwner);
    if (!m_script.m_isOwner) {
      aReply.initLeader().setAddress(kOwnerAddress);
    }
    aReply.setHasDirectory(m_script.m_hasDirectory);
    aReply.setRecordsStreams(m_script.m_recordsStreams);
    if (m_script.m_proofAge >= std::chrono::milliseconds::zero()) {
      aReply.setProvenRouteVersion(kProvenVersion);
      aReply.setRouteProofAgeMicros(
        std::chrono::duration_cast<Duration>(m_script.m_proofAge).count());
    }
    if (!m_script.m_hasDirectory) {
      return;
    }
    aReply.setEpoch(m_script.m_epoch);
    aReply.setDirectoryVersion(m_script.m_version);
    aReply.setEntryCount(2);
    aReply.setListAgeMicros(
      std::chrono::duration_cast<Duration>(m_script.m_listAge).count());
    const bool isWhole = aKnownEpoch != m_script.m_epoch;
    aReply.setIsWhole(isWhole);
    if (isWhole) {
      WriteEngine(MakeEngine("e1", "here", "m"), aReply.initEngines(1)[0]);
    }
    aReply.setHasSuspects(true);
    aReply.setSuspectEpoch(m_script.m_epoch);
    aReply.setSuspectVersion(m_script.m_suspectVersion);
    WriteSuspects(
      m_script.m_suspects,
      TimePoint(),
      aReply.initSuspects(static_cast<unsigned>(m_script.m_suspects.size())));
    auto relays = aReply.initRelays(2);
    relays[0].setAddress(kOwnerAddress);
    relays[0].setFailureDomain("far");
    relays[1].setAddress(kRelayAddress);
    relays[1].setFailureDomain("here");
  }

  EventLoopPort& m_port;
  ControlScript& m_script;
};

} // namespace

class DirectoryLinkTest : public ::testing::Test
{
protected:
  DirectoryLinkTest()
  {
    m_ownerScript.m_isOwner = true;
    EXPECT_TRUE(m_owner.Listen(kOwnerAddress, 0));
    EXPECT_TRUE(m_relay.Listen(kRelayAddress, m_owner.Port()));
  }
  ~DirectoryLinkTest() noexcept override = default;

  /// Starts an entry in the failure domain of the relay, which knows both
  /// instances as seeds.
  void StartEntry(const std::vector<std::string>& aMoreSeeds = {})
  {
    NodeSettings settings;
    settings.m_instance = InstanceId("entry");
    settings.m_failureDomain = FailureDomainId("here");
    settings.m_wirePort = m_owner.Port();
    settings.m_seeds = { { kOwnerAddress, 1 }, { kRelayAddress, 1 } };
    for (const std::string& address : aMoreSeeds) {
      settings.m_seeds.push_back({ address, 1 });
    }
    m_link = std::make_unique<DirectoryLink>(
      DirectoryLink::Dependencies{ m_port,
                                   m_loop.GetClock(),
                                   m_log,
                                   m_table,
                                   m_retries,
                                   m_quarantine,
                                   m_access,
                                   m_peers,
                                   [] { return false; } },
      m_key,
      settings,
      [this](Revision aVersion, const std::string& aDocument) {
        KJ_REQUIRE(m_failingDocuments == 0 || m_failingDocuments-- == 0,
                   "scripted failure");
        m_routeVersion = aVersion;
        m_document = aDocument;
        return true;
      });
  }
  /// Runs until an instance has answered two more follow calls.
  bool RunUntilFollowed(const ControlScript& aScript)
  {
    const size_t before = aScript.m_follows;
    return m_loop.RunUntil([&] { return aScript.m_follows >= before + 2; });
  }

  /// Gives the entry a configuration of a version.
  void SetRouteVersion(uint64_t aVersion)
  {
    RouteConfigData data;
    data.m_version = Revision(aVersion);
    std::string reason;
    auto config = RouteConfig::Make(std::move(data), reason);
    ASSERT_NE(config, nullptr) << reason;
    m_access.SetConfig(std::move(config));
  }
  /// Returns the age of the proof, empty without one.
  std::optional<Duration> ProofAge()
  {
    return m_access.ProofAge(m_loop.GetClock().Now());
  }

  TestLoop m_loop;
  EventLoopPort m_port{ m_loop.Base() };
  const ClusterKey m_key{ "sixteen bytes and more" };
  ControlScript m_ownerScript;
  ControlScript m_relayScript;
  WireServer m_owner{ m_port,
                      m_key,
                      kj::heap<FakeControlNode>(m_port, m_ownerScript) };
  WireServer m_relay{ m_port,
                      m_key,
                      kj::heap<FakeControlNode>(m_port, m_relayScript) };
  RecordingEventLog m_log;
  EngineTable m_table;
  RetryBudgetShare m_retries{ RetryBounds{}, TimePoint() };
  PartQuarantine m_quarantine;
  AccessControl m_access{ {} };
  SeededRandomSource m_random{ 1 };
  PeerList m_peers{ FailureDomainId("here"), {}, m_random };
  std::unique_ptr<DirectoryLink> m_link;
  /// Documents that can't be put in force before one can.
  size_t m_failingDocuments = 0;
  /// What the entry received last.
  Revision m_routeVersion;
  std::string m_document;
};

TEST_F(DirectoryLinkTest, FollowsTheRelayOfItsFailureDomain)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  const size_t ownerFollows = m_ownerScript.m_follows;
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_EQ(m_ownerScript.m_follows, ownerFollows);
  EXPECT_NE(m_table.Find(UpstreamId("e1")), nullptr);
}

// Guards against entries that stay with a distant instance for seconds, because
// a call to another one failed before.
TEST_F(DirectoryLinkTest, FailureOfAnotherInstanceDoesNotKeepItFromItsRelay)
{
  constexpr auto kAtOnce = std::chrono::milliseconds(1000);
  m_ownerScript.m_failsFollows = true;
  ControlScript otherScript;
  WireServer other(
    m_port, m_key, kj::heap<FakeControlNode>(m_port, otherScript));
  ASSERT_TRUE(other.Listen(kOtherAddress, m_owner.Port()));
  StartEntry({ kOtherAddress });
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_ownerScript.m_follows >= 1; }));
  m_loop.RunFor(kAtOnce);
  const size_t otherFollows = otherScript.m_follows;
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_EQ(otherScript.m_follows, otherFollows);
}

/// A relay that was cut off from the owner has no recent copy.
TEST_F(DirectoryLinkTest, FollowsTheOwnerWhileTheRelayHasNoDirectory)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_relayScript.m_hasDirectory = false;
  ASSERT_TRUE(RunUntilFollowed(m_ownerScript));
  const size_t relayFollows = m_relayScript.m_follows;
  m_loop.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(m_relayScript.m_follows, relayFollows);
  m_relayScript.m_hasDirectory = true;
  EXPECT_TRUE(RunUntilFollowed(m_relayScript));
}

TEST_F(DirectoryLinkTest, RelayThatLagsDoesNotSetTheVersionBack)
{
  m_ownerScript.m_version = 20;
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_EQ(m_relayScript.m_lastKnownVersion, 20U);
}

// Guards against entries that obey an older configuration for as long as their
// relay's replica lags, because its copy of the engine directory is fresh.
TEST_F(DirectoryLinkTest, LeavesARelayThatLacksTheProvenRoutes)
{
  // The platform's bound for a change to be in force everywhere.
  constexpr Duration kApplyTime = std::chrono::milliseconds(3000);
  m_ownerScript.m_offeredVersion = kProvenVersion - 1;
  m_relayScript.m_offeredVersion = kProvenVersion - 1;
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  ASSERT_EQ(m_routeVersion, Revision(kProvenVersion - 1));
  m_ownerScript.m_offeredVersion = kProvenVersion;
  m_relayScript.m_proofAge = std::chrono::milliseconds(0);
  m_loop.RunFor(kApplyTime);
  EXPECT_EQ(m_routeVersion, Revision(kProvenVersion));
  EXPECT_TRUE(m_log.Has(EventId::RoutesOutdated));
}

// Guards against an entry that obeys an older configuration for good, because
// the newer document failed once on its way into the table.
TEST_F(DirectoryLinkTest, DocumentThatFailedOnceIsPutInForceLater)
{
  constexpr Duration kApplyTime = std::chrono::milliseconds(3000);
  constexpr size_t kSizes[] = { 100, 3 * RouteAssembly::kPieceBytes };
  for (const size_t bytes : kSizes) {
    m_ownerScript.m_document = std::string(bytes, 'd');
    m_relayScript.m_document = m_ownerScript.m_document;
    m_ownerScript.m_offeredVersion = kProvenVersion;
    m_relayScript.m_offeredVersion = kProvenVersion;
    m_routeVersion = Revision();
    m_failingDocuments = 1;
    StartEntry();
    m_loop.RunFor(kApplyTime);
    EXPECT_EQ(m_routeVersion, Revision(kProvenVersion)) << bytes;
    m_link.reset();
  }
}

// Guards against an entry that stays with a former owner, or with a relay that
// follows one, which others have replaced without its knowledge: it answers,
// but proves nothing any more.
TEST_F(DirectoryLinkTest, LeavesARelayWhoseProofGetsOld)
{
  constexpr Duration kApplyTime = std::chrono::milliseconds(3000);
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_proofAge = std::chrono::milliseconds(0);
    script->m_offeredVersion = kProvenVersion;
  }
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_relayScript.m_proofAge = std::chrono::milliseconds(5000);
  m_ownerScript.m_offeredVersion = kProvenVersion + 1;
  m_loop.RunFor(kApplyTime);
  EXPECT_EQ(m_routeVersion, Revision(kProvenVersion + 1));
}

// Guards against an entry that hears nothing of the engines any more because
// the only instance in reach has outdated routes.
TEST_F(DirectoryLinkTest, EnginesOfAnOutdatedRelayAreUsed)
{
  constexpr Duration kMaxAge = std::chrono::milliseconds(1500);
  m_relayScript.m_offeredVersion = kProvenVersion - 1;
  m_relayScript.m_proofAge = std::chrono::milliseconds(0);
  m_ownerScript.m_failsFollows = true;
  StartEntry();
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_link->HasDirectory(); }));
  for (int i = 0; i < 6; ++i) {
    m_loop.RunFor(std::chrono::milliseconds(700));
    ASSERT_TRUE(m_link->ListAge());
    EXPECT_LE(*m_link->ListAge(), kMaxAge);
  }
  EXPECT_TRUE(m_log.Has(EventId::RoutesOutdated));
}

// Guards against a document that is larger than what a slow link carries in the
// time of one call: it was asked for again and again, and never arrived.
TEST_F(DirectoryLinkTest, LargeDocumentArrivesOverASlowLink)
{
  // 7 Mbit/s, and the platform's bound for a change to be in force.
  constexpr uint64_t kBytesPerSecond = 875'000;
  constexpr Duration kApplyTime = std::chrono::milliseconds(3000);
  constexpr size_t kDocumentBytes = 1'500'000;
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_routeBytesPerSecond = kBytesPerSecond;
    script->m_document = std::string(kDocumentBytes, 'd');
    script->m_offeredVersion = kProvenVersion;
  }
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  const size_t follows = m_relayScript.m_follows;
  m_loop.RunFor(kApplyTime);
  EXPECT_EQ(m_routeVersion, Revision(kProvenVersion));
  EXPECT_EQ(m_document.size(), kDocumentBytes);
  // Engines that leave are heard of meanwhile.
  EXPECT_GT(m_relayScript.m_follows, follows + 10);
}

// Guards against an entry that can't restore a compressed document and asks for
// the same bytes again and again: it has another base than the instance
// assumes.
TEST_F(DirectoryLinkTest, DocumentThatCannotBeRestoredIsReadWhole)
{
  const std::string kText =
    "a text of some length, to which the compressed document refers";
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_document = "the first document";
    script->m_offeredVersion = kProvenVersion;
  }
  StartEntry();
  ASSERT_TRUE(m_loop.RunUntil(
    [this] { return m_routeVersion == Revision(kProvenVersion); }));
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_baseVersion = kProvenVersion;
    script->m_base = script->m_document;
    script->m_document = "the second document";
    script->m_offeredVersion = kProvenVersion + 1;
  }
  ASSERT_TRUE(m_loop.RunUntil(
    [this] { return m_routeVersion == Revision(kProvenVersion + 1); }));
  EXPECT_EQ(m_ownerScript.m_pieces + m_relayScript.m_pieces, 0U);
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_baseVersion = kProvenVersion + 1;
    script->m_base = "another document " + kText;
    script->m_document = kText + " the third document";
    script->m_offeredVersion = kProvenVersion + 2;
  }
  ASSERT_TRUE(m_loop.RunUntil(
    [this] { return m_routeVersion == Revision(kProvenVersion + 2); }));
  EXPECT_EQ(m_document, kText + " the third document");
  EXPECT_EQ(m_ownerScript.m_pieces + m_relayScript.m_pieces, 1U);
}

// Guards against an entry that never reads a document again, because no control
// instance was in reach when the next piece was due.
TEST_F(DirectoryLinkTest, ReadingGoesOnAfterNoInstanceWasInReach)
{
  m_ownerScript.m_offeredVersion = kProvenVersion;
  m_ownerScript.m_document = std::string(20 * RouteAssembly::kPieceBytes, 'd');
  m_ownerScript.m_routeBytesPerSecond = 40 * RouteAssembly::kPieceBytes;
  WireLink link(
    m_port, m_key, WireEndpoint{ kOwnerAddress, m_owner.Port() }, [](bool) {});
  ASSERT_TRUE(m_loop.RunUntil([&] { return link.IsUp(); }));
  bool isInReach = false;
  size_t bytes = 0;
  RouteFetch fetch(
    m_port,
    [&] { return isInReach ? &link : nullptr; },
    [&](const RouteArrival& aArrival) {
      bytes = aArrival.m_document.m_bytes.size();
      return true;
    });
  EXPECT_NO_THROW(fetch.Want(Revision(kProvenVersion)));
  m_loop.RunFor(std::chrono::milliseconds(50));
  isInReach = true;
  m_loop.RunFor(std::chrono::milliseconds(300));
  EXPECT_GE(m_ownerScript.m_pieces, 2U);
  isInReach = false;
  m_loop.RunFor(std::chrono::milliseconds(300));
  isInReach = true;
  m_loop.RunFor(std::chrono::milliseconds(2000));
  EXPECT_EQ(bytes, m_ownerScript.m_document.size());
}

// Guards against a document of which nothing is kept when an instance stops
// answering halfway.
TEST_F(DirectoryLinkTest, DocumentGoesOnWhereAnotherInstanceStopped)
{
  constexpr size_t kDocumentBytes = 20 * RouteAssembly::kPieceBytes;
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_routeBytesPerSecond = 10 * RouteAssembly::kPieceBytes;
    script->m_document = std::string(kDocumentBytes, 'd');
    script->m_offeredVersion = kProvenVersion;
  }
  StartEntry();
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_relayScript.m_pieces >= 10; }));
  m_relayScript.m_failsFollows = true;
  ASSERT_TRUE(m_loop.RunUntil(
    [this] { return m_routeVersion == Revision(kProvenVersion); }));
  EXPECT_EQ(m_document.size(), kDocumentBytes);
  EXPECT_LE(m_relayScript.m_pieces + m_ownerScript.m_pieces, 24U);
}

/// A relay may not know yet that the owner was replaced.
TEST_F(DirectoryLinkTest, LeavesARelayOfAnEarlierTerm)
{
  m_ownerScript.m_epoch = 6;
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  ASSERT_TRUE(RunUntilFollowed(m_ownerScript));
  // The directory of the later term stays.
  EXPECT_EQ(m_ownerScript.m_lastKnownVersion, m_ownerScript.m_version);
  m_relayScript.m_epoch = 6;
  EXPECT_TRUE(RunUntilFollowed(m_relayScript));
}

/// While many entries ask for the whole directory, some get none yet.
TEST_F(DirectoryLinkTest, HasNoDirectoryBeforeTheFirstWholeOne)
{
  m_ownerScript.m_epoch = 0;
  m_relayScript.m_epoch = 0;
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_FALSE(m_link->HasDirectory());
  m_relayScript.m_epoch = 5;
  EXPECT_TRUE(m_loop.RunUntil([&] { return m_link->HasDirectory(); }));
}

// Guards against streams that are not reported although the entry has engines
// of several versions: an instance without a directory, whose replica is
// behind, was believed.
TEST_F(DirectoryLinkTest, VersionsAreThoseOfTheDirectory)
{
  m_relayScript.m_recordsStreams = true;
  StartEntry();
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_link->HasSeveralVersions(); }));
  m_relayScript.m_failsFollows = true;
  m_ownerScript.m_hasDirectory = false;
  ASSERT_TRUE(RunUntilFollowed(m_ownerScript));
  EXPECT_TRUE(m_link->HasSeveralVersions());
  m_ownerScript.m_hasDirectory = true;
  EXPECT_TRUE(
    m_loop.RunUntil([this] { return !m_link->HasSeveralVersions(); }));
}

TEST_F(DirectoryLinkTest, DemandOfAFailedReportIsReportedAgain)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_relayScript.m_failsFollows = true;
  m_ownerScript.m_failsFollows = true;
  m_link->RecordDemand(PoolId("p"), { "m", "" }, Duration::zero());
  m_loop.RunFor(std::chrono::milliseconds(300));
  m_relayScript.m_failsFollows = false;
  m_ownerScript.m_failsFollows = false;
  EXPECT_TRUE(m_loop.RunUntil([&] {
    return m_relayScript.m_demandedCalls + m_ownerScript.m_demandedCalls == 1;
  }));
}

TEST_F(DirectoryLinkTest, AsksTheOwnerForAdapters)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  std::string engine;
  m_link->LoadAdapter(
    PoolId("p"), { "m", "a1" }, UpstreamId(), [&](const UpstreamId& aEngine) {
      engine = aEngine.Value();
    });
  EXPECT_TRUE(m_loop.RunUntil([&] { return engine == "e1"; }));
  EXPECT_EQ(m_ownerScript.m_adapterLoads, 1U);
  EXPECT_EQ(m_relayScript.m_adapterLoads, 0U);
}

/// Crashes have to reach the owner soon, or the next engine ends as well.
TEST_F(DirectoryLinkTest, ReportsCrashesToTheOwnerUntilItAccepts)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_ownerScript.m_failingReports = 2;
  m_link->ReportCrash(
    { UpstreamId("e1"), m_loop.GetClock().Now(), { { PromptPartId("bad") } } });
  m_link->ReportSound(PromptPartId("first"), m_loop.GetClock().Now());
  const CrashReport& report = m_ownerScript.m_report;
  ASSERT_TRUE(m_loop.RunUntil([&] { return !report.m_crashes.empty(); }));
  EXPECT_EQ(report.m_crashes[0].m_calls,
            std::vector<PromptParts>{ { PromptPartId("bad") } });
  EXPECT_TRUE(m_loop.RunUntil([&] { return !report.m_sound.empty(); }));
}

/// A new owner knows neither the crashes nor the parts that are held back.
TEST_F(DirectoryLinkTest, TellsANewOwnerWhatTheFormerOneKnew)
{
  SuspectPart part;
  part.m_part = PromptPartId("bad");
  part.m_crashes = 2;
  part.m_isHeld = true;
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_suspects = { { part.m_part, part } };
  }
  StartEntry();
  ASSERT_TRUE(
    m_loop.RunUntil([&] { return m_quarantine.Find(part.m_part) != nullptr; }));
  m_link->ReportCrash(
    { UpstreamId("e1"), m_loop.GetClock().Now(), { { part.m_part } } });
  const CrashReport& report = m_ownerScript.m_report;
  ASSERT_TRUE(m_loop.RunUntil([&] { return report.m_crashes.size() == 1; }));
  for (ControlScript* script : { &m_ownerScript, &m_relayScript }) {
    script->m_epoch = 6;
    script->m_suspects.clear();
  }
  EXPECT_TRUE(m_loop.RunUntil([&] {
    return report.m_crashes.size() == 2 && report.m_carried.size() == 1;
  }));
  EXPECT_EQ(report.m_carried[0].m_crashes, 2U);
}

TEST_F(DirectoryLinkTest, AsksTheOwnerForTrials)
{
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_ownerScript.m_permitsTrials = true;
  std::optional<bool> isPermitted;
  m_link->RequestTrial(PromptPartId("bad"),
                       [&](bool aIsPermitted) { isPermitted = aIsPermitted; });
  ASSERT_TRUE(m_loop.RunUntil([&] { return isPermitted.has_value(); }));
  EXPECT_TRUE(*isPermitted);
}

// Guards against an entry that hears for more than five seconds of no engine
// that leaves, because two control instances in a row stand still.
TEST_F(DirectoryLinkTest, HearsInTimeAfterTwoSilentControlInstances)
{
  // An engine that leaves gets no more calls after this, at the latest; the
  // owner reads the list each 0.7 s.
  constexpr Duration kDrainTime = std::chrono::milliseconds(4000);
  constexpr Duration kListPeriod = std::chrono::milliseconds(700);
  ControlScript otherScript;
  otherScript.m_isOwner = true;
  WireServer other{ m_port,
                    m_key,
                    kj::heap<FakeControlNode>(m_port, otherScript) };
  ASSERT_TRUE(other.Listen(kOtherAddress, m_owner.Port()));
  StartEntry({ kOtherAddress });
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  m_loop.RunFor(std::chrono::milliseconds(200));
  m_relayScript.m_isSilent = true;
  m_ownerScript.m_isSilent = true;
  const TimePoint begin = m_loop.GetClock().Now();
  const size_t before = otherScript.m_follows;
  while (otherScript.m_follows < before + 2 &&
         m_loop.GetClock().Now() < begin + 2 * kDrainTime) {
    m_loop.RunFor(std::chrono::milliseconds(20));
  }
  EXPECT_LE(m_loop.GetClock().Now() - begin, kDrainTime - kListPeriod);
  EXPECT_GE(m_link->FollowFailures(), 2U);
  EXPECT_TRUE(m_log.Has(EventId::FollowFailed));
}

TEST_F(DirectoryLinkTest, KnowsTheAgeOfTheList)
{
  m_relayScript.m_listAge = std::chrono::milliseconds(900);
  StartEntry();
  EXPECT_FALSE(m_link->ListAge());
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  ASSERT_TRUE(m_link->ListAge());
  EXPECT_LT(*m_link->ListAge(), std::chrono::milliseconds(900));
  m_relayScript.m_isSilent = true;
  m_ownerScript.m_isSilent = true;
  m_loop.RunFor(std::chrono::milliseconds(500));
  EXPECT_GE(*m_link->ListAge(), std::chrono::milliseconds(500));
}

/// The proof is as old as the request that brought it and the age in the
/// answer. Dated from the answer, it would hold for longer than it may.
TEST_F(DirectoryLinkTest, DatesTheRouteProofFromItsRequest)
{
  constexpr auto kAge = std::chrono::milliseconds(700);
  constexpr auto kAnswerDelay = std::chrono::milliseconds(4);
  m_relayScript.m_proofAge = kAge;
  SetRouteVersion(kProvenVersion);
  StartEntry();
  EXPECT_FALSE(ProofAge());
  ASSERT_TRUE(m_loop.RunUntil([&] { return ProofAge().has_value(); }));
  EXPECT_GE(*ProofAge(), kAge + kAnswerDelay);
}

/// A configuration of an earlier version may hold a key that was withdrawn.
TEST_F(DirectoryLinkTest, RouteProofDoesNotHoldForAnEarlierVersion)
{
  m_ownerScript.m_proofAge = std::chrono::milliseconds(0);
  m_relayScript.m_proofAge = std::chrono::milliseconds(0);
  SetRouteVersion(kProvenVersion - 1);
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_FALSE(ProofAge());
  SetRouteVersion(kProvenVersion);
  EXPECT_TRUE(ProofAge());
}

/// While the owner changes, no instance has a directory. Callers must not be
/// refused for that.
TEST_F(DirectoryLinkTest, AnswerWithoutEnginesCarriesTheRouteProof)
{
  m_ownerScript.m_hasDirectory = false;
  m_ownerScript.m_proofAge = std::chrono::milliseconds(50);
  m_relayScript.m_hasDirectory = false;
  SetRouteVersion(kProvenVersion);
  StartEntry();
  EXPECT_TRUE(m_loop.RunUntil([&] { return ProofAge().has_value(); }));
}

/// The link drops the directory of a relay that does not know the new owner
/// yet, but the relay's proof is as good as any.
TEST_F(DirectoryLinkTest, AnswerOfAnEarlierTermCarriesTheRouteProof)
{
  m_ownerScript.m_epoch = 6;
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_ownerScript));
  m_relayScript.m_proofAge = std::chrono::milliseconds(50);
  SetRouteVersion(kProvenVersion);
  EXPECT_TRUE(m_loop.RunUntil([&] { return ProofAge().has_value(); }));
}

/// A relay that has just started proves nothing; that must not void what is
/// proved already, nor count as a proof.
TEST_F(DirectoryLinkTest, AnswerWithoutAProofChangesNothing)
{
  SetRouteVersion(kProvenVersion);
  StartEntry();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  EXPECT_FALSE(ProofAge());
  m_relayScript.m_proofAge = std::chrono::milliseconds(0);
  ASSERT_TRUE(m_loop.RunUntil([&] { return ProofAge().has_value(); }));
  m_relayScript.m_proofAge = std::chrono::milliseconds(-1);
  const Duration before = *ProofAge();
  ASSERT_TRUE(RunUntilFollowed(m_relayScript));
  ASSERT_TRUE(ProofAge());
  EXPECT_GT(*ProofAge(), before);
}

} // namespace celeryspread::test
