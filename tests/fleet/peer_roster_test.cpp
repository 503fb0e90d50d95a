#include <gtest/gtest.h>

#include <set>

#include "fleet/peer_roster.h"

namespace celeryspread::test {

namespace {

using std::chrono::milliseconds;

EntryPeer Peer(const std::string& aName, const std::string& aDomain)
{
  constexpr uint16_t kPort = 9000;
  return { InstanceId(aName), { "10.0.0.1", kPort }, FailureDomainId(aDomain) };
}

} // namespace

class PeerRosterTest : public ::testing::Test
{
protected:
  /// Has entries d0.0, d1.0, ... of several domains follow.
  void RecordEntries(size_t aDomains, size_t aEach)
  {
    for (size_t i = 0; i < aDomains * aEach; ++i) {
      const std::string domain = "d" + std::to_string(i % aDomains);
      m_roster.RecordEntry(
        Peer(domain + "." + std::to_string(i / aDomains), domain), m_now);
    }
  }
  /// Returns the names of a sample, empty also if none is due.
  std::set<std::string> Names(const std::string& aRequester,
                              const std::string& aDomain = "d0")
  {
    std::set<std::string> names;
    const auto sample =
      m_roster.Sample(InstanceId(aRequester), FailureDomainId(aDomain), m_now);
    for (const EntryPeer& peer : sample.value_or(std::vector<EntryPeer>())) {
      names.insert(peer.m_instance.Value());
    }
    return names;
  }

  SeededRandomSource m_random{ 1 };
  PeerRoster m_roster{ m_random };
  TimePoint m_now{ std::chrono::seconds(100) };
};

// Guards against an entry that forwards to itself, and against peers of one
// failure domain only, which may be cut off together.
TEST_F(PeerRosterTest, SampleIsSpreadOverDomainsWithoutTheRequester)
{
  RecordEntries(3, 20);
  const auto sample =
    m_roster.Sample(InstanceId("d0.1"), FailureDomainId("d0"), m_now);
  ASSERT_TRUE(sample);
  std::map<std::string, size_t> counts;
  for (const EntryPeer& peer : *sample) {
    EXPECT_NE(peer.m_instance, InstanceId("d0.1"));
    ++counts[peer.m_domain.Value()];
  }
  EXPECT_EQ(
    counts,
    (std::map<std::string, size_t>{ { "d0", 2 }, { "d1", 3 }, { "d2", 3 } }));
  RecordEntries(1, 2);
  EXPECT_FALSE(Names("d0.0").contains("d0.0"));
}

// Guards against a domain whose entries all forward to the same few peers.
TEST_F(PeerRosterTest, SamplesOfADomainCoverAllEntriesInTime)
{
  constexpr size_t kDomains = 7;
  constexpr size_t kEach = 83;
  RecordEntries(kDomains, kEach);
  std::map<std::string, size_t> uses;
  size_t named = 0;
  for (size_t i = 0; i < kEach; ++i) {
    for (const std::string& name : Names("d0." + std::to_string(i))) {
      ++uses[name];
      ++named;
    }
  }
  EXPECT_EQ(named, kEach * PeerRoster::kMaxSample);
  size_t most = 0;
  for (const auto& [name, count] : uses) {
    most = std::max(most, count);
  }
  EXPECT_GT(uses.size(), (kDomains - 1) * kEach / 2);
  EXPECT_LE(most, PeerRoster::kMaxSample);
  const auto before = Names("other");
  m_now += milliseconds(1000);
  EXPECT_NE(Names("other"), before);
}

// Guards against replies that grow by a list each time.
TEST_F(PeerRosterTest, GivesARequesterOneSampleASecond)
{
  RecordEntries(1, 2);
  const InstanceId requester("e");
  EXPECT_TRUE(m_roster.Sample(requester, {}, m_now));
  m_now += milliseconds(999);
  EXPECT_FALSE(m_roster.Sample(requester, {}, m_now));
  m_now += milliseconds(1);
  EXPECT_TRUE(m_roster.Sample(requester, {}, m_now));
}

// Guards against calls to entries that stopped, drain or are cut off.
TEST_F(PeerRosterTest, ForgetsEntriesThatStopOrRefuse)
{
  using Set = std::set<std::string>;
  RecordEntries(1, 3);
  EXPECT_EQ(Names("x"), (Set{ "d0.0", "d0.1", "d0.2" }));
  m_roster.RecordNoEntry(InstanceId("d0.1"), m_now);
  EXPECT_EQ(Names("y"), (Set{ "d0.0", "d0.2" }));
  // A relay that it followed before may report it a moment longer.
  m_roster.RecordRelayed(
    InstanceId("c2"), { Peer("d0.1", "d0"), Peer("r", "d0") }, m_now);
  m_now += milliseconds(2400);
  m_roster.RecordEntry(Peer("d0.2", "d0"), m_now);
  EXPECT_EQ(Names("x"), (Set{ "d0.0", "d0.2", "r" }));
  m_now += milliseconds(2400);
  EXPECT_EQ(Names("y"), (Set{ "d0.2", "r" }));
  m_now += milliseconds(260);
  EXPECT_EQ(Names("z"), Set{});
  m_roster.RecordEntry(Peer("d0.1", "d0"), m_now += milliseconds(1000));
  EXPECT_EQ(Names("z"), (Set{ "d0.1" }));
}

// Guards against samples to a relay that are full of its own entries, and
// against entries that it would never report.
TEST_F(PeerRosterTest, RelayReportsAllItsEntriesAndHearsOfOthers)
{
  constexpr size_t kEntries = 40;
  RecordEntries(1, kEntries);
  std::set<InstanceId> reported;
  PeerRoster owner(m_random);
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(m_roster.IsReportDue(m_now));
    const auto report = m_roster.Report(m_now);
    EXPECT_EQ(report.size(), PeerRoster::kMaxReported);
    EXPECT_FALSE(m_roster.IsReportDue(m_now + milliseconds(999)));
    for (const EntryPeer& peer : report) {
      reported.insert(peer.m_instance);
    }
    owner.RecordRelayed(InstanceId("c2"), report, m_now);
    m_now += milliseconds(1000);
    RecordEntries(1, kEntries);
  }
  EXPECT_EQ(reported.size(), kEntries);
  owner.RecordRelayed(InstanceId("c3"), { Peer("far", "d1") }, m_now);
  const auto named =
    owner.Sample(InstanceId("c2"), FailureDomainId("d0"), m_now);
  EXPECT_EQ(named, std::vector{ Peer("far", "d1") });
  m_roster.RecordNamed(*named, m_now);
  EXPECT_TRUE(Names("d0.3").contains("far"));
  m_now += milliseconds(5000);
  EXPECT_FALSE(Names("d0.3").contains("far"));
}

} // namespace celeryspread::test
