#include <gtest/gtest.h>

#include "gateway/stream_origin_link.h"
#include "tests/support/test_loop.h"
#include "wire/message_bytes.h"
#include "wire/version_codec.h"
#include "wire/wire_server.h"

namespace celeryspread::test {

namespace {

const PoolId kPool("pool");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
constexpr const char* kAddresses[] = { "127.0.0.41",
                                       "127.0.0.42",
                                       "127.0.0.43" };

/// What a fake control instance knows of streams.
struct StreamScript
{
  StreamVersions m_streams{ kStreamMemory, 1000 };
  size_t m_reports = 0;
  /// Reports that fail before one is accepted.
  size_t m_failingReports = 0;
  bool m_isSilent = false;
  /// Empty for an instance that does not lead.
  std::set<SoftwareVersion> m_poolVersions;
};

class FakeStreamNode : public wire::ControlNode::Server
{
public:
  explicit FakeStreamNode(StreamScript& aScript)
    : m_script(aScript)
  {
  }

protected:
  kj::Promise<void> recordStreams(RecordStreamsContext aContext) override
  {
    if (m_script.m_isSilent) {
      return kj::NEVER_DONE;
    }
    KJ_REQUIRE(m_script.m_failingReports == 0 ||
                 m_script.m_failingReports-- == 0,
               "scripted failure");
    ++m_script.m_reports;
    const auto report = aContext.getParams().getReport();
    for (const auto stream : report.getStreams()) {
      m_script.m_streams.Record(
        StreamKey(stream.getStream()),
        SoftwareVersion(TextOf(report.getVersions()[stream.getVersion()])),
        TimePoint(std::chrono::hours(1)));
    }
    return kj::READY_NOW;
  }
  kj::Promise<void> findStream(FindStreamContext aContext) override
  {
    if (m_script.m_isSilent) {
      return kj::NEVER_DONE;
    }
    auto answer = aContext.getResults().initAnswer();
    const auto known =
      m_script.m_streams.Find(StreamKey(aContext.getParams().getStream()));
    answer.setIsKnown(known.has_value());
    answer.setVersion(known.value_or(SoftwareVersion()).Value());
    if (!m_script.m_poolVersions.empty()) {
      answer.setHasPoolVersions(true);
      auto list = answer.initPoolVersions(
        static_cast<unsigned>(m_script.m_poolVersions.size()));
      unsigned at = 0;
      for (const SoftwareVersion& version : m_script.m_poolVersions) {
        list.set(at++, version.Value());
      }
    }
    return kj::READY_NOW;
  }

private:
  StreamScript& m_script;
};

} // namespace

/// Three control instances, and entries that come and go.
class StreamOriginLinkTest : public ::testing::Test
{
protected:
  StreamOriginLinkTest()
  {
    for (size_t i = 0; i < std::size(kAddresses); ++i) {
      m_servers.push_back(std::make_unique<WireServer>(
        m_port, m_key, kj::heap<FakeStreamNode>(m_scripts[i])));
      const uint16_t port = i == 0 ? 0 : m_servers.front()->Port();
      EXPECT_TRUE(m_servers.back()->Listen(kAddresses[i], port));
      m_links.push_back(std::make_unique<WireLink>(
        m_port,
        m_key,
        WireEndpoint{ kAddresses[i], m_servers.front()->Port() },
        [](bool) {}));
    }
    EXPECT_TRUE(m_loop.RunUntil([this] { return UpLinks().size() == 3; }));
    m_entry = StartEntry();
  }
  ~StreamOriginLinkTest() noexcept override = default;

  std::vector<WireLink*> UpLinks()
  {
    std::vector<WireLink*> links;
    for (const auto& link : m_links) {
      if (link->IsUp()) {
        links.push_back(link.get());
      }
    }
    return links;
  }
  std::unique_ptr<StreamOriginLink> StartEntry()
  {
    return std::make_unique<StreamOriginLink>(
      StreamOriginLink::Dependencies{ m_port, m_loop.GetClock(), m_metrics },
      StreamOriginLink::ControlInstances{ [this] { return UpLinks(); },
                                          [this] { return m_hasSeveral; } });
  }
  /// Looks a stream up; "unknown" if nobody knows it.
  std::string Find(std::optional<StreamKey> aStream)
  {
    std::optional<std::string> found;
    m_entry->Find(kPool, aStream, [&](std::optional<SoftwareVersion> aVersion) {
      found = aVersion ? aVersion->Value() : "unknown";
    });
    EXPECT_TRUE(m_loop.RunUntil([&] { return found.has_value(); }));
    return found.value_or("no answer");
  }
  void RunFor(Duration aTime)
  {
    m_loop.RunFor(std::chrono::duration_cast<std::chrono::milliseconds>(aTime));
  }

  TestLoop m_loop;
  EventLoopPort m_port{ m_loop.Base() };
  const ClusterKey m_key{ "sixteen bytes and more" };
  StreamScript m_scripts[3];
  std::vector<std::unique_ptr<WireServer>> m_servers;
  std::vector<std::unique_ptr<WireLink>> m_links;
  Metrics m_metrics;
  bool m_hasSeveral = true;
  std::unique_ptr<StreamOriginLink> m_entry;
};

// Guards against streams of two versions after the loss of all entries: the new
// processes know nothing of the streams that callers take up again.
TEST_F(StreamOriginLinkTest, StreamsAreKnownAfterTheLossOfAllEntries)
{
  m_entry->RecordBegin(StreamKey(1), kOld);
  m_entry->RecordBegin(StreamKey(2), kNew);
  RunFor(2 * StreamOriginLink::kReportDelay);
  EXPECT_EQ(m_scripts[0].m_reports, 1U);
  EXPECT_EQ(m_scripts[1].m_reports, 1U);
  EXPECT_EQ(m_scripts[2].m_reports, 0U);
  m_entry = StartEntry();
  EXPECT_EQ(Find(StreamKey(1)), "v1");
  // One of the two instances that were told is lost as well.
  m_scripts[0].m_isSilent = true;
  EXPECT_EQ(Find(StreamKey(2)), "v2");
  EXPECT_EQ(Find(StreamKey(3)), "unknown");
}

// Guards against guesses: a stream whose entry was lost before it told anybody.
TEST_F(StreamOriginLinkTest, StreamThatNobodyWasToldOfIsUnknown)
{
  m_scripts[1].m_poolVersions = { kOld, kNew };
  m_entry->RecordBegin(StreamKey(1), kOld);
  EXPECT_EQ(Find(StreamKey(1)), "v1");
  m_entry = StartEntry();
  EXPECT_EQ(Find(StreamKey(1)), "unknown");
  EXPECT_EQ(Find(std::nullopt), "unknown");
}

// Guards against refusals where there is no choice: after the loss of all
// processes, a pool that has had one version only.
TEST_F(StreamOriginLinkTest, OnlyVersionOfAPoolNeedsNoRecord)
{
  m_scripts[2].m_poolVersions = { kOld };
  EXPECT_EQ(Find(StreamKey(7)), "v1");
  EXPECT_EQ(Find(std::nullopt), "v1");
}

// While one version serves, nothing is sent; what began before the second one
// came is told then.
TEST_F(StreamOriginLinkTest, ReportsOnceASecondVersionServes)
{
  m_hasSeveral = false;
  m_entry->RecordBegin(StreamKey(1), kOld);
  RunFor(4 * StreamOriginLink::kReportDelay);
  EXPECT_EQ(m_scripts[0].m_reports, 0U);
  m_hasSeveral = true;
  m_entry->RecordBegin(StreamKey(2), kNew);
  RunFor(2 * StreamOriginLink::kReportDelay);
  m_entry = StartEntry();
  EXPECT_EQ(Find(StreamKey(1)), "v1");
  EXPECT_EQ(Find(StreamKey(2)), "v2");
}

// Guards against refusals for want of a record that is on its way: what broke
// the stream off has broken the links of its entry as well.
TEST_F(StreamOriginLinkTest, ReportThatFailedIsSentAgainWhileTheCallerWaits)
{
  for (StreamScript& script : m_scripts) {
    script.m_failingReports = 1;
  }
  m_entry->RecordBegin(StreamKey(1), kOld);
  const auto other = StartEntry();
  std::optional<SoftwareVersion> found;
  other->Find(
    kPool, StreamKey(1), [&](std::optional<SoftwareVersion> aVersion) {
      found = aVersion.value_or(SoftwareVersion("unknown"));
    });
  EXPECT_TRUE(m_loop.RunUntil([&] { return found.has_value(); }));
  EXPECT_EQ(found, kOld);
}

// Guards against callers that wait for instances that do not answer.
TEST_F(StreamOriginLinkTest, SilentInstancesDelayACallerForAShortTime)
{
  for (StreamScript& script : m_scripts) {
    script.m_isSilent = true;
  }
  const TimePoint begin = m_loop.GetClock().Now();
  EXPECT_EQ(Find(StreamKey(1)), "unknown");
  EXPECT_LE(m_loop.GetClock().Now() - begin,
            2 * StreamOriginLink::kFindTimeout);
  m_links.clear();
  EXPECT_EQ(Find(StreamKey(1)), "unknown");
}

} // namespace celeryspread::test
